// Changes of this controller's records, packed into transactions within the service's limits.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "app/world.hpp"
#include "state/store.hpp"
#include "worker/fleet.hpp"

namespace finchrun::app {

// One job's or one team's change within a transaction.
struct Edit {
  std::vector<state::Condition> when;
  std::vector<state::Change> then;
  std::vector<std::string> log;                                  // told once it is durable
  std::map<core::MachineId, std::vector<worker::Start>> starts;  // that may leave once it is durable
};

// Conditions and changes that several edits share (the part's term, a team's allowances) count once.
struct Batch {
  state::Txn txn;
  std::vector<const Edit*> edits;
  std::size_t bytes = 0;
  bool add(const Edit& e, std::size_t ops);
};

// `ops` changes a transaction, four times as many conditions.
std::vector<Batch> pack(const std::vector<Edit>& edits, std::size_t ops);

state::Change set_run(const World& w, state::RunKey key, const jobs::RunRecord& run);
jobs::JobRecord finished(const jobs::JobRecord& job);
// Removes what the facts say is gone, marks what they say is done.
jobs::RunRecord settled(const World& w, state::RunKey key, const jobs::RunRecord& run,
                        const std::vector<worker::Fact>& facts);

}  // namespace finchrun::app
