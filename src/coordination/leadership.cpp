#include "coordination/leadership.hpp"

#include <spdlog/spdlog.h>

namespace finchrun::coordination {

namespace {

namespace json = boost::json;
using controller::ControllerState;

json::value leadership_value(const std::string& leader, std::uint64_t incarnation) {
  return json::object{{"owner", leader}, {"inc", incarnation}};
}

// A start command that got no answer for this long is made void by a new term; until then its task stays
// booked.
bool has_unanswered_starts(const ControllerState& w, core::PartitionId partition, core::TimePoint now) {
  constexpr double kPatience = 10;
  return std::any_of(w.fleet.direct_starts.begin(), w.fleet.direct_starts.end(), [&](const auto& item) {
    const auto& sent = item.second;
    return !sent.answered_sequence && sent.fencing_token == w.fencing_token(partition) &&
           core::since(sent.at, now) > kPatience;
  });
}

}  // namespace

asio::awaitable<void> Leadership::acquire(core::PartitionId partition, std::string from) {
  state::Transaction txn;
  std::string name;
  const bool go = state_.with([&](ControllerState& w) {
    const auto* me = w.cache.member(w.settings.label);
    if (!me || me->incarnation != w.incarnation) return false;
    name = w.names.partitions.name(partition);
    txn.compares.push_back({state::keys::partition(name), w.cache.leadership(partition).revision});
    txn.compares.push_back({state::keys::member(w.settings.label), me->revision});
    // Its own label's earlier process is dead; another leader must have lost its membership.
    if (!from.empty() && from != w.settings.label) txn.compares.push_back({state::keys::member(from), 0});
    txn.writes.push_back({state::keys::partition(name), leadership_value(w.settings.label, w.incarnation)});
    return true;
  });
  if (!go) co_return;
  // An answer that does not come is read back by the next sync: only the record says who owns the partition.
  const auto result = co_await follower_.commit(std::move(txn));
  if (result.outcome == state::CommitStatus::done)
    spdlog::info("claimed part={} term={} from={}", name, result.revision, from.empty() ? "-" : from);
  follower_.wake();
}

asio::awaitable<void> Leadership::transfer(core::PartitionId partition, std::string to) {
  state::Transaction txn;
  const auto name = state_.with([&](ControllerState& w) {
    const auto& name = w.names.partitions.name(partition);
    const auto* heir = w.cache.member(to);
    if (!heir || !w.holds_leadership(partition)) return std::string();
    txn.compares.push_back({state::keys::partition(name), w.cache.leadership(partition).revision});
    txn.compares.push_back({state::keys::member(to), heir->revision});
    txn.writes.push_back({state::keys::partition(name), leadership_value(to, heir->incarnation)});
    return name;
  });
  if (name.empty()) co_return;
  const auto result = co_await follower_.commit(std::move(txn));
  if (result.outcome == state::CommitStatus::done)
    spdlog::info("handed part={} to={} term={}", name, to, result.revision);
}

asio::awaitable<void> Leadership::run() {
  while (true) {
    co_await runtime_.sleep(0.25);
    const auto now = core::Steady::now();
    struct Step {
      core::PartitionId partition;
      std::string from, to;
    };
    std::vector<Step> guarantees, returns;
    state_.with([&](ControllerState& w) {
      if (!w.loaded || w.incarnation == 0 || w.store_lease == 0) return;
      if (core::since(w.synchronized_at, now) > 1.0) return;
      for (const auto& m : w.settings.members) {
        if (!w.alive(m.label)) {
          alive_since_.erase(m.label);
        } else {
          alive_since_.try_emplace(m.label, now);
        }
      }
      for (std::uint32_t p = 0; p < w.partitions.size(); ++p) {
        const core::PartitionId partition{p};
        const auto& c = w.cache.leadership(partition);
        auto& missing = w.leader_missing_since[p];
        if (!w.leads(partition)) w.leading_since[p] = now;
        if (w.holds_leadership(partition)) {
          missing = {};
          if (has_unanswered_starts(w, partition, now)) guarantees.push_back({partition, c.leader, {}});
          for (const auto& label : w.partitions.preference(partition)) {
            if (label == w.settings.label) break;
            auto it = alive_since_.find(label);
            if (it != alive_since_.end() && core::since(it->second, now) > 8) {
              returns.push_back({partition, {}, label});
              break;
            }
          }
          continue;
        }
        if (c.leader == w.settings.label) {
          guarantees.push_back({partition, c.leader, {}});
          continue;
        }
        if (!c.leader.empty() && w.alive(c.leader)) {
          missing = {};
          continue;
        }
        if (missing == core::TimePoint{}) missing = now;
        // The first living label of the partition's preference claims; each later one waits its turn.
        double wait = c.leader.empty() ? 0.0 : 0.2;
        for (const auto& label : w.partitions.preference(partition)) {
          if (label == w.settings.label) break;
          wait += w.alive(label) ? 3.0 : c.leader.empty() ? 1.5 : 0.3;
        }
        if (core::since(missing, now) >= wait) guarantees.push_back({partition, c.leader, {}});
      }
    });
    for (const auto& step : guarantees) co_await acquire(step.partition, step.from);
    for (const auto& step : returns) co_await transfer(step.partition, step.to);
  }
}

}  // namespace finchrun::coordination
