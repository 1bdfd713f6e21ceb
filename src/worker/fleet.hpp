// What this controller knows of the machines: from the cloud's list, from reports, from its own orders.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "cloud/cloud.hpp"
#include "core/clock.hpp"
#include "core/ids.hpp"
#include "jobs/job.hpp"
#include "membership/parts.hpp"
#include "wire/messages.hpp"

namespace finchrun::worker {

struct Machine {
  core::MachineId id;
  std::string name;
  std::string endpoint;
  core::TypeId type;
  core::ZoneId zone;
  core::PartId part;
  bool spot = false;
  core::TimePoint first_seen{};

  // The cloud's list.
  bool listed = false;  // in the newest list
  bool ever_listed = false;
  std::string status;  // starting, running, failed
  core::TimePoint starting_since{};

  // Reports, newest only.
  bool reported = false;
  std::uint64_t session = 0, seq = 0, token = 0;
  core::TimePoint last_report{};  // that its worker sent by itself
  core::TimePoint last_push{};
  std::optional<core::TimePoint> direct_failed_at;  // a direct order got no answer, and none has since
  core::TimePoint sent_away{};                      // when we last told its worker to report to the owner
  bool relayed = false;  // its last report to us was relayed though its worker had not been sent away
  std::optional<double> notice_s;
  // Since when nothing shows that what we say arrives there, though its reports come. Such a machine gets
  // nothing new: its tasks would wait on it in vain.
  std::optional<core::TimePoint> deaf_since;
  core::TimePoint deaf_in_session{};  // the same, but since its newest session began
  [[nodiscard]] bool deaf() const { return deaf_since.has_value(); }
  void suspect_unreachable(core::TimePoint now) {
    deaf_in_session = now;
    if (!deaf_since) deaf_since = now;
  }
  void heard() { deaf_since.reset(); }
  std::size_t unrecorded_tasks = 0;  // pieces on it that no record knows
  core::TimePoint idle_since{};

  // Images it should hold, least recently used first.
  std::vector<std::pair<core::ImageId, double>> images;

  [[nodiscard]] bool holds(core::ImageId image) const {
    return std::any_of(images.begin(), images.end(), [&](const auto& i) { return i.first == image; });
  }

  // Faults: jobs whose tasks failed here since the last task that ended well.
  std::set<core::JobId> failed_jobs;
  core::TimePoint avoid_until{};
  bool sick = false;
  bool releasing = false;
  bool gone = false;  // its deletion was answered; the list may show it a little longer

  // Room is being made here for this job.
  core::JobId reserved_for;
  core::TimePoint reserved_ready{};  // when the room is expected to be there
  core::TimePoint reserved_until{};
};

// An entry of a run record, as a key.
using Start = std::tuple<core::JobId, std::uint32_t, std::uint64_t>;  // job, task, attempt

// What reports have shown and the state service does not know yet.
struct Fact {
  core::JobId job;
  core::PartId part;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  bool done = false;
  auto operator<=>(const Fact&) const = default;
};

// A start order that went straight to the worker.
struct Sent {
  std::uint64_t token = 0;
  // Sequence number of the worker's answer; nothing: it did not answer, and may still carry the order out.
  std::optional<std::uint64_t> answered_seq;
  core::TimePoint at{};
};

// A stop order that goes straight to the worker, again and again until the task is proved gone.
struct Stopping {
  core::TimePoint next{};
  int tries = 0;
};

class Fleet {
 public:
  Machine& intern(jobs::Names& names, const std::string& name) {
    const auto id = names.machines.intern(name);
    auto [it, fresh] = machines_.try_emplace(id);
    if (fresh) {
      it->second.id = id;
      it->second.name = name;
    }
    return it->second;
  }
  [[nodiscard]] Machine* find(core::MachineId id) {
    auto it = machines_.find(id);
    return it == machines_.end() ? nullptr : &it->second;
  }
  [[nodiscard]] const Machine* find(core::MachineId id) const {
    auto it = machines_.find(id);
    return it == machines_.end() ? nullptr : &it->second;
  }
  [[nodiscard]] std::map<core::MachineId, Machine>& all() { return machines_; }
  [[nodiscard]] const std::map<core::MachineId, Machine>& all() const { return machines_; }

  std::vector<cloud::Flavor> flavors;  // empty: not known yet
  std::vector<core::TypeId> flavor_ids;
  [[nodiscard]] const cloud::Flavor* flavor(core::TypeId t) const {
    for (std::size_t i = 0; i < flavor_ids.size(); ++i)
      if (flavor_ids[i] == t) return &flavors[i];
    return nullptr;
  }

  std::set<Fact> facts;
  [[nodiscard]] bool ended(core::JobId job, core::PartId part, const jobs::Entry& e) const {
    return facts.contains({job, part, e.task, e.attempt, false}) ||
           facts.contains({job, part, e.task, e.attempt, true});
  }
  std::map<Start, core::TimePoint> seen;  // starts that a report has shown on their machine, and since when
  std::map<Start, Sent> sent;
  // Machines whose deletion was answered: no late report or list brings them back.
  std::set<core::MachineId> deleted;
  [[nodiscard]] bool was_deleted(const jobs::Names& names, const std::string& name) const {
    const auto id = names.machines.find(name);
    return id && deleted.contains(*id);
  }
  std::map<Start, double> to_stop;     // starts to be stopped, with the grace to save
  std::map<Start, Stopping> stopping;  // tasks of cancelled jobs

 private:
  std::map<core::MachineId, Machine> machines_;
};

}  // namespace finchrun::worker
