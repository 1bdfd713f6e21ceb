#include "coordination/leadership.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace finchrun::coordination {

namespace {

using controller::ControllerState;

constexpr double kDecisionIntervalS = 0.25;
// A decision from an older view may overlook that the leader is back.
constexpr double kMaxViewAgeS = 1.0;
// A start command without an answer for this long is invalidated by a new fencing token; until then its task
// keeps its resources.
constexpr double kUnansweredStartLimitS = 10;
// A controller that has just started may fail again, and each transfer costs its partition a new fencing
// token.
constexpr double kAliveBeforeTransferS = 8;

// How long a partition without a leader waits for each label that is preferred to this controller's: long
// for a controller that is alive and will acquire it, short for one that is not listed.
struct AcquisitionWaits {
  double base_s;  // for the most preferred label
  double per_alive_label_s;
  double per_absent_label_s;
};
constexpr AcquisitionWaits kFailoverWaits{0.2, 3.0, 0.3};
// The partition has never had a leader: the deployment is starting, and absent controllers may still come
// up.
constexpr AcquisitionWaits kFirstLeaderWaits{0.0, 3.0, 1.5};

double acquisition_wait_s(const PartitionSnapshot& partition, const LeadershipSnapshot& snapshot) {
  const auto& waits = partition.leader.empty() ? kFirstLeaderWaits : kFailoverWaits;
  double wait_s = waits.base_s;
  for (const auto& label : partition.preference) {
    if (label == snapshot.label) break;
    wait_s += snapshot.alive_since.contains(label) ? waits.per_alive_label_s : waits.per_absent_label_s;
  }
  return wait_s;
}

// Returns true if this process should acquire the partition now. An earlier process of this label is dead, so
// its partitions are acquired without waiting. If start commands of this process stay unanswered, it acquires
// the partition again for a new fencing token.
bool should_acquire(const PartitionSnapshot& partition, const LeadershipSnapshot& snapshot,
                    core::TimePoint now) {
  switch (partition.status) {
    case LeaderStatus::this_process:
      return partition.oldest_unanswered_start &&
             core::seconds_between(*partition.oldest_unanswered_start, now) > kUnansweredStartLimitS;
    case LeaderStatus::earlier_process:
      return true;
    case LeaderStatus::alive:
      return false;
    case LeaderStatus::missing:
      return core::seconds_between(partition.leader_missing_since, now) >=
             acquisition_wait_s(partition, snapshot);
  }
  return false;
}

// Returns the first label that is preferred to this controller's and has been alive for long enough.
std::optional<std::string> preferred_successor(const PartitionSnapshot& partition,
                                               const LeadershipSnapshot& snapshot, core::TimePoint now) {
  for (const auto& label : partition.preference) {
    if (label == snapshot.label) break;
    const auto alive = snapshot.alive_since.find(label);
    if (alive != snapshot.alive_since.end() &&
        core::seconds_between(alive->second, now) > kAliveBeforeTransferS)
      return label;
  }
  return std::nullopt;
}

LeaderStatus leader_status(const ControllerState& state, core::PartitionId partition) {
  const auto& leader = state.cache.leadership(partition).leader;
  if (state.holds_leadership(partition)) return LeaderStatus::this_process;
  if (leader == state.settings.label) return LeaderStatus::earlier_process;
  return !leader.empty() && state.is_member_alive(leader) ? LeaderStatus::alive : LeaderStatus::missing;
}

// Returns, by partition, the time at which the oldest direct start under the partition's fencing token was
// sent that has no answer.
std::vector<std::optional<core::TimePoint>> oldest_unanswered_starts(const ControllerState& state) {
  std::vector<std::optional<core::TimePoint>> oldest(state.partitions.size());
  for (const auto& [_, machine] : state.fleet.machines()) {
    if (!machine.partition.valid() || machine.direct_starts.size() == 0) continue;
    const auto sent_at = machine.direct_starts.oldest_unanswered(state.fencing_token(machine.partition));
    auto& of_partition = oldest[machine.partition.index];
    if (sent_at) of_partition = std::min(of_partition.value_or(*sent_at), *sent_at);
  }
  return oldest;
}

// Returns nullopt while the cache does not list this process as a member.
std::optional<state::Transaction> acquisition_transaction(const ControllerState& state,
                                                          const AcquireLeadership& decision) {
  const auto& label = state.settings.label;
  const auto* own_member = state.cache.member(label);
  if (!own_member || own_member->incarnation != state.incarnation) return std::nullopt;
  const auto key = state::keys::leadership(state.names.partitions.name(decision.partition));
  state::Transaction transaction;
  transaction.compares.push_back({key, state.cache.leadership(decision.partition).revision});
  transaction.compares.push_back({state::keys::member(label), own_member->revision});
  // An earlier process of the same label is dead; any other leader must have lost its membership.
  if (!decision.from.empty() && decision.from != label)
    transaction.compares.push_back({state::keys::member(decision.from), 0});
  transaction.writes.push_back({key, state::encode(state::LeadershipRecord{label, state.incarnation, 0})});
  return transaction;
}

// Returns nullopt if the successor's membership or this process's leadership has ended since.
std::optional<state::Transaction> transfer_transaction(const ControllerState& state,
                                                       const TransferLeadership& decision) {
  const auto* successor = state.cache.member(decision.to);
  if (!successor || !state.holds_leadership(decision.partition)) return std::nullopt;
  const auto key = state::keys::leadership(state.names.partitions.name(decision.partition));
  state::Transaction transaction;
  transaction.compares.push_back({key, state.cache.leadership(decision.partition).revision});
  transaction.compares.push_back({state::keys::member(decision.to), successor->revision});
  transaction.writes.push_back(
      {key, state::encode(state::LeadershipRecord{decision.to, successor->incarnation, 0})});
  return transaction;
}

std::string partition_name(controller::SharedState& state, core::PartitionId partition) {
  return state.with([&](ControllerState& shared) { return shared.names.partitions.name(partition); });
}

}  // namespace

LeadershipDecisions decide_leadership(const LeadershipSnapshot& snapshot, core::TimePoint now) {
  LeadershipDecisions decisions;
  for (const auto& partition : snapshot.partitions) {
    if (should_acquire(partition, snapshot, now))
      decisions.acquisitions.push_back({partition.partition, partition.leader});
    if (partition.status != LeaderStatus::this_process) continue;
    if (auto successor = preferred_successor(partition, snapshot, now))
      decisions.transfers.push_back({partition.partition, std::move(*successor)});
  }
  return decisions;
}

void Leadership::log_new_leader(const ControllerState& state, core::PartitionId partition,
                                core::TimePoint now) {
  logged_tokens_.resize(state.partitions.size());
  const auto& record = state.cache.leadership(partition);
  auto& logged = logged_tokens_[partition.index];
  if (logged == record.revision) return;
  logged = record.revision;
  spdlog::info(
      "leader seen partition={} leader={} incarnation={} fencing_token={} revision={} state_age_s={:.2f}",
      state.names.partitions.name(partition), record.leader, record.incarnation, record.revision,
      state.cache.revision(), core::seconds_between(state.synchronized_at, now));
}

std::optional<LeadershipSnapshot> Leadership::take_snapshot(ControllerState& state, core::TimePoint now) {
  if (!state.cache_loaded || state.incarnation == 0 || state.store_lease == 0) return std::nullopt;
  if (core::seconds_between(state.synchronized_at, now) > kMaxViewAgeS) return std::nullopt;
  for (const auto& member : state.settings.members) {
    if (state.is_member_alive(member.label)) {
      alive_since_.try_emplace(member.label, now);
    } else {
      alive_since_.erase(member.label);
    }
  }
  LeadershipSnapshot snapshot{state.settings.label, alive_since_, {}};
  const auto unanswered_starts = oldest_unanswered_starts(state);
  for (std::uint32_t index = 0; index < state.partitions.size(); ++index) {
    const core::PartitionId partition{index};
    const auto status = leader_status(state, partition);
    log_new_leader(state, partition, now);
    if (!state.leads(partition)) state.leading_since[index] = now;
    auto& missing_since = state.leader_missing_since[index];
    if (status == LeaderStatus::this_process || status == LeaderStatus::alive) missing_since = {};
    if (status == LeaderStatus::missing && missing_since == core::TimePoint{}) missing_since = now;
    const auto unanswered = status == LeaderStatus::this_process ? unanswered_starts[index] : std::nullopt;
    snapshot.partitions.push_back({partition, state.cache.leadership(partition).leader, status, missing_since,
                                   state.partitions.leader_preference(partition), unanswered});
  }
  return snapshot;
}

asio::awaitable<void> Leadership::acquire(AcquireLeadership decision) {
  auto transaction =
      state_.with([&](const ControllerState& state) { return acquisition_transaction(state, decision); });
  if (!transaction) co_return;
  const auto partition = partition_name(state_, decision.partition);
  // If no answer comes, the next read of the store shows the outcome: only the record says who leads the
  // partition.
  const auto result = co_await follower_.commit(std::move(*transaction));
  if (result.outcome == state::CommitStatus::done)
    spdlog::info("leadership acquired partition={} fencing_token={} from={}", partition, result.revision,
                 decision.from.empty() ? "-" : decision.from);
  follower_.request_read();
}

asio::awaitable<void> Leadership::transfer(TransferLeadership decision) {
  auto transaction =
      state_.with([&](const ControllerState& state) { return transfer_transaction(state, decision); });
  if (!transaction) co_return;
  const auto partition = partition_name(state_, decision.partition);
  const auto result = co_await follower_.commit(std::move(*transaction));
  if (result.outcome == state::CommitStatus::done)
    spdlog::info("leadership transferred partition={} fencing_token={} to={}", partition, result.revision,
                 decision.to);
}

asio::awaitable<void> Leadership::run() {
  while (true) {
    co_await runtime_.sleep(kDecisionIntervalS);
    const auto now = core::SteadyClock::now();
    const auto snapshot = state_.with([&](ControllerState& state) { return take_snapshot(state, now); });
    if (!snapshot) continue;
    const auto decisions = decide_leadership(*snapshot, now);
    for (const auto& decision : decisions.acquisitions) co_await acquire(decision);
    for (const auto& decision : decisions.transfers) co_await transfer(decision);
  }
}

}  // namespace finchrun::coordination
