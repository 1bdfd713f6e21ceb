// This controller's copy of everything in the state service, fed by its changes. It is the only source of
// decisions: what isn't in it (or in an answered commit of our own) is not durable.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/job.hpp"
#include "ledger/usage.hpp"
#include "state/store.hpp"

namespace finchrun::state {

struct Member {
  std::uint64_t incarnation = 0;
  std::uint64_t stamp = 0;
};
struct Claim {
  std::string owner;  // label; empty: nobody yet
  std::uint64_t incarnation = 0;
  std::uint64_t stamp = 0;  // the part's term
};
struct UsageRecord {
  std::int64_t index = 0;
  std::deque<std::vector<double>> windows;
  std::uint64_t stamp = 0;
};
using RunKey = std::pair<core::JobId, core::PartId>;

namespace keys {
std::string job(const std::string& id);
std::string run(const std::string& id, const std::string& part);
std::string part(const std::string& part);
std::string member(const std::string& label);
std::string team(const std::string& team);
std::string usage(const std::string& part);
}  // namespace keys

class Mirror {
 public:
  Mirror(jobs::Names& names, std::size_t parts, std::size_t teams)
      : names_(names), claims_(parts), team_stamps_(teams, 0), usage_(parts) {}

  // Applies one change. Older ones than what is known are passed over, so repeats do no harm.
  void apply(const Event& e);
  void synced(std::uint64_t epoch);
  // Starts again from nothing (the service no longer keeps the changes since our epoch).
  void reset();

  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
  // Highest epoch seen in any answer: attempts numbered by it rise with every start.
  [[nodiscard]] std::uint64_t newest() const { return newest_; }

  // Moves with every change of a job or of what runs.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] const std::unordered_map<core::JobId, jobs::JobRecord>& jobs() const { return jobs_; }
  [[nodiscard]] const jobs::JobRecord* job(core::JobId id) const;
  // Jobs that are accepted and not over.
  [[nodiscard]] const std::set<core::JobId>& live() const { return live_; }
  [[nodiscard]] const std::map<RunKey, jobs::RunRecord>& runs() const { return runs_; }
  [[nodiscard]] const jobs::RunRecord* run(RunKey key) const;
  // Done tasks of a job over all parts.
  [[nodiscard]] std::uint32_t done(core::JobId id) const;
  [[nodiscard]] std::uint32_t placed(core::JobId id) const;
  // Calls f(part, record) for each run record of the job.
  template <class F>
  void each_run(core::JobId id, F&& f) const {
    for (auto it = runs_.lower_bound({id, core::PartId{0}}); it != runs_.end() && it->first.first == id; ++it)
      f(it->first.second, it->second);
  }
  [[nodiscard]] const Claim& claim(core::PartId p) const { return claims_.at(p.v); }
  [[nodiscard]] std::size_t parts() const { return claims_.size(); }
  [[nodiscard]] const Member* member(const std::string& label) const;
  [[nodiscard]] std::uint64_t team_stamp(core::TeamId t) const { return team_stamps_.at(t.v); }
  [[nodiscard]] const UsageRecord& usage(core::PartId p) const { return usage_.at(p.v); }

 private:
  jobs::Names& names_;
  std::uint64_t epoch_ = 0, newest_ = 0, version_ = 0;
  std::unordered_map<core::JobId, jobs::JobRecord> jobs_;
  std::set<core::JobId> live_;
  std::map<RunKey, jobs::RunRecord> runs_;
  std::unordered_map<std::string, Member> members_;
  std::vector<Claim> claims_;
  std::vector<std::uint64_t> team_stamps_;
  std::vector<UsageRecord> usage_;
  // Keys that we deleted before the changes told us so: an older value must not bring them back.
  std::unordered_map<std::string, std::uint64_t> deleted_;
};

}  // namespace finchrun::state
