// Changes of this controller's records: what several jobs need goes into few keys of one transaction.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "app/shard_split.hpp"
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
  PartWriter(const World& w, core::PartId part) : PartWriter(w, part, w.s.state_limits.most_changes()) {}
  // `most_changes`: so many of its transaction's changes the writer may use.
  PartWriter(const World& w, core::PartId part, std::size_t most_changes);

  // Puts the entries where they fit. False, with nothing changed, if that would touch too many shards.
  bool add(core::JobId id, const std::vector<jobs::Entry>& entries);
  // So many entries of one job always fit into a transaction that holds nothing else.
  static std::size_t most_entries(const config::StateLimits& limits);
  // One step towards values within the limits, for what was written under larger ones: one shard is split, or
  // those are rewritten that a too long list of ends speaks of. For a writer that does nothing else. False if
  // there is nothing to do, or nothing that fits into one transaction.
  bool shrink();
  // Is the shard within the limit on values?
  [[nodiscard]] bool fits(core::ShardId shard) const;
  [[nodiscard]] bool ends_too_long() const { return ends_too_long_; }
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
    ShardContents jobs;
  };
  // Nothing if too many are open, or if it is over the limit and has to be split first.
  Open* open(const std::string& name);
  // What the shard shall hold from now on: what this writer's ends say of it is taken in.
  [[nodiscard]] ShardContents contents(core::ShardId shard) const;
  void drop_ends(const std::string& shard);
  // How many ends are noted for the shard.
  [[nodiscard]] std::size_t ends_of(const std::string& shard) const;
  // Spreads the shard's contents over itself and new ones.
  bool split(const std::string& name);
  [[nodiscard]] bool may_hold(const std::string& shard, core::JobId id) const;
  [[nodiscard]] std::string unused_name() const;
  // Puts it among the part's ends; rewrites the shard that they say most of when they have grown too long.
  bool note_end(const std::string& shard, core::JobId id, const state::Ended& item);
  // The open or known shard with room for so much; a new one if there is none.
  Open* with_room(core::JobId id, std::size_t bytes);

  const World& w_;
  core::PartId part_;
  std::size_t most_changes_, most_shards_, most_bytes_;
  std::map<std::string, Open> open_;
  std::map<std::string, state::EndedOfJobs> ends_;  // of shards that aren't open
  std::size_t ends_bytes_ = 0;
  // Written under larger limits: the ends stay as they are until every shard that they speak of is written
  // without what has ended. Until then ends go into their shards.
  bool ends_too_long_ = false;
  bool ends_changed_ = false;
};

jobs::JobRecord finished(const jobs::JobRecord& job);

}  // namespace finchrun::app
