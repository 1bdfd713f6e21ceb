// Changes of this controller's records: what several jobs need goes into few keys of one transaction.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "app/world.hpp"
#include "state/store.hpp"
#include "worker/fleet.hpp"

namespace finchrun::app {

// One transaction, and what follows once it is durable.
struct Edit {
  std::vector<state::Condition> when;
  std::vector<state::Change> then;
  std::vector<std::string> log;                                  // told then
  std::map<core::MachineId, std::vector<worker::Start>> starts;  // that may leave then

  void require(const std::string& key, std::uint64_t stamp);  // once for each key
};

// The shards of one part, as they shall be. Jobs that are over and have nothing on any machine are left out
// of every shard that is written anyway.
class PartWriter {
 public:
  PartWriter(const World& w, core::PartId part);

  // Puts the entries where they fit. False, with nothing changed, if that would touch too many shards.
  bool add(core::JobId id, const std::vector<jobs::Entry>& entries);
  // Removes the fact's entry and marks what is done: in its shard if that is written anyway, else ahead of it
  // among the part's ends. False if there is no room for it in this transaction.
  bool settle(const worker::Fact& f);
  // Done tasks of the job over all parts, with what this writer has marked.
  [[nodiscard]] std::uint32_t done(core::JobId id) const;
  [[nodiscard]] std::size_t touched() const { return open_.size() + (ends_changed_ ? 1 : 0); }
  // Adds the shards' changes and the conditions that make a late or deposed writer's fail.
  void finish(Edit& e) const;

 private:
  struct Open {
    std::uint64_t stamp = 0;
    std::size_t bytes = 0;
    std::map<core::JobId, jobs::RunRecord> jobs;
  };
  Open* open(const std::string& name);
  // Puts it among the part's ends; rewrites the shard that they say most of when they have grown too long.
  bool note_end(const std::string& shard, core::JobId id, const state::Ended& item);
  // The open or known shard with room for so much; a new one if there is none.
  Open* with_room(core::JobId id, std::size_t bytes);

  const World& w_;
  core::PartId part_;
  std::size_t most_shards_, most_bytes_;
  std::map<std::string, Open> open_;
  std::map<std::string, std::map<core::JobId, std::vector<state::Ended>>>
      ends_;  // of shards that aren't open
  std::size_t ends_bytes_ = 0;
  bool ends_changed_ = false;
  std::map<std::string, std::size_t> sizes_;  // of shards that were looked at for room
};

jobs::JobRecord finished(const jobs::JobRecord& job);

}  // namespace finchrun::app
