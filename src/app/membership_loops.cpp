// Membership, the state cache, and the claims on partitions.
#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "app/controller.hpp"

namespace finchrun::app {
namespace {

namespace json = boost::json;

json::value leadership_value(const std::string& leader, std::uint64_t incarnation) {
  return json::object{{"owner", leader}, {"inc", incarnation}};
}

state::Transaction member_txn(const std::string& label, std::uint64_t incarnation,
                              std::uint64_t store_lease) {
  state::Transaction txn;
  txn.writes.push_back({state::keys::member(label),
                        json::object{{"inc", incarnation}, {"level", state::kRecordLevel}}, store_lease});
  return txn;
}

// For the log: which of the budget's changes went where.
std::string keys_of(const std::vector<state::KeyUpdate>& changes) {
  std::string out;
  for (const auto& c : changes) out += (out.empty() ? "" : ",") + c.key;
  return out;
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

asio::awaitable<bool> Controller::join() {
  const auto store_lease = co_await store_.grant_lease(static_cast<int>(tuning_.member_ttl_s * 1000));
  if (!store_lease) co_return false;
  // The first hold's number names this process: the key-value store never gives it out again.
  const auto incarnation =
      state_.with([&](ControllerState& w) { return w.incarnation != 0 ? w.incarnation : *store_lease; });
  // Our label's earlier process is dead (each label runs once), so its member key is overwritten unseen.
  const auto result = co_await commit(member_txn(settings_.label, incarnation, *store_lease));
  if (result.outcome != state::CommitStatus::done) co_return false;
  state_.with([&](ControllerState& w) {
    w.incarnation = incarnation;
    w.store_lease = *store_lease;
    w.joined_revision = result.revision;
  });
  spdlog::info("member label={} incarnation={} hold={}", settings_.label, incarnation, *store_lease);
  sync_wakeup_.cancel();
  co_return true;
}

asio::awaitable<void> Controller::member_loop() {
  while (true) {
    const auto store_lease = state_.with([](ControllerState& w) { return w.store_lease; });
    if (store_lease == 0) {
      if (!co_await join()) co_await sleep(0.3);
      continue;
    }
    co_await sleep(tuning_.member_ttl_s / 4);
    const int status = co_await store_.renew_lease(store_lease);
    // The key can be lost under a living lease: a late write of our label's earlier process took it along.
    const bool listed = state_.with([&](ControllerState& w) {
      const auto* me = w.cache.member(w.settings.label);
      return !w.loaded || w.cache.revision() < w.joined_revision || (me && me->incarnation == w.incarnation);
    });
    if (status == 404 || !listed) {
      spdlog::warn("member hold={} has ended", store_lease);
      state_.with([](ControllerState& w) { w.store_lease = 0; });
    }
  }
}

asio::awaitable<bool> Controller::load() {
  std::vector<state::KeyUpdate> all;
  std::string after;
  std::optional<std::uint64_t> revision;
  while (true) {
    auto page = co_await store_.list(after, 500);
    if (!page.ok) co_return false;
    if (!revision) revision = page.revision;
    for (auto& item : page.items) all.push_back(std::move(item));
    if (!page.more || page.items.empty()) break;
    after = all.back().key;
  }
  state_.with([&](ControllerState& w) {
    w.cache.reset();
    for (const auto& e : all) w.cache.apply(e);
    // Pages are read one after the other, and own writes may be newer than they: not to be decided from until
    // the changes since the first one have been read. A heartbeat would find its tasks unknown and stop them.
    w.cache.synchronized(*revision);
    w.loaded = false;
  });
  spdlog::info("state loaded keys={} epoch={}", all.size(), *revision);
  co_return true;
}

asio::awaitable<void> Controller::follow_changes_loop() {
  boost::system::error_code ec;
  // After a cut or an outage all changes since would come in one answer, as large as they are; everything in
  // pages is less, and what is known is kept until it has come.
  constexpr double kLongGap = 8;
  bool filled = false;
  while (true) {
    const double gap = state_.with([](ControllerState& w) {
      return w.synchronized_at == core::TimePoint{} ? 0 : core::since(w.synchronized_at, core::Steady::now());
    });
    if (!filled || gap > kLongGap) {
      if (!co_await load()) {
        co_await sleep(0.3);
        continue;
      }
      filled = true;
    }
    const auto from = state_.with([](ControllerState& w) { return w.cache.revision(); });
    const auto sent = core::Steady::now();
    const auto changes = co_await store_.changes(from);
    if (changes.kind == state::ChangesResult::Kind::too_old) {
      state_.with([](ControllerState& w) { w.loaded = false; });
      filled = false;
      continue;
    }
    if (changes.kind == state::ChangesResult::Kind::ok) {
      state_.with([&](ControllerState& w) {
        for (const auto& e : changes.events) w.cache.apply(e);
        w.cache.synchronized(changes.revision);
        w.synchronized_at = sent;
        w.loaded = true;
      });
      for (auto it = waiters_.begin(); it != waiters_.end();) {
        if ((*it)->arrived <= sent) {
          (*it)->served = true;
          (*it)->timer.cancel();
          it = waiters_.erase(it);
        } else {
          ++it;
        }
      }
    }
    // Polls share reads: at most one read in each short interval, at least one in each long one.
    core::Timer least(io_, core::secs(tuning_.sync_least_s));
    co_await least.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    if (changes.kind != state::ChangesResult::Kind::ok) {
      co_await sleep(0.2);
    } else if (waiters_.empty()) {
      sync_wakeup_.expires_after(core::secs(tuning_.sync_s));
      co_await sync_wakeup_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
  }
}

asio::awaitable<bool> Controller::linearizable_read(core::TimePoint deadline) {
  // Bounded: a waiter more than this would not be answered in time either.
  constexpr std::size_t kMostWaiters = 2000;
  if (waiters_.size() >= kMostWaiters) co_return false;
  auto waiter = std::make_shared<Waiter>(Waiter{core::Steady::now(), false, core::Timer(io_, deadline)});
  waiters_.push_back(waiter);
  sync_wakeup_.cancel();
  boost::system::error_code ec;
  co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  if (!waiter->served) waiters_.remove(waiter);
  co_return waiter->served;
}

asio::awaitable<state::CommitResult> Controller::commit(state::Transaction txn) {
  std::vector<state::KeyUpdate> local;
  for (const auto& c : txn.writes) local.push_back({c.key, c.value, 0});
  auto result = co_await store_.commit(std::move(txn));
  if (spdlog::should_log(spdlog::level::debug))
    spdlog::debug("commit outcome={} epoch={} changes={}", static_cast<int>(result.outcome), result.revision,
                  keys_of(local));
  if (result.outcome == state::CommitStatus::done) {
    state_.with([&](ControllerState& w) {
      for (auto& e : local) {
        e.revision = result.revision;
        w.cache.apply(e);
      }
    });
  }
  co_return result;
}

asio::awaitable<void> Controller::leadership(core::PartitionId partition, std::string from) {
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
  const auto result = co_await commit(std::move(txn));
  if (result.outcome == state::CommitStatus::done)
    spdlog::info("claimed part={} term={} from={}", name, result.revision, from.empty() ? "-" : from);
  sync_wakeup_.cancel();
}

asio::awaitable<void> Controller::transfer_leadership(core::PartitionId partition, std::string to) {
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
  const auto result = co_await commit(std::move(txn));
  if (result.outcome == state::CommitStatus::done)
    spdlog::info("handed part={} to={} term={}", name, to, result.revision);
}

asio::awaitable<void> Controller::leadership_loop() {
  std::map<std::string, core::TimePoint> alive_since;
  while (true) {
    co_await sleep(0.25);
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
          alive_since.erase(m.label);
        } else {
          alive_since.try_emplace(m.label, now);
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
            auto it = alive_since.find(label);
            if (it != alive_since.end() && core::since(it->second, now) > 8) {
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
    for (const auto& step : guarantees) co_await leadership(step.partition, step.from);
    for (const auto& step : returns) co_await transfer_leadership(step.partition, step.to);
  }
}

}  // namespace finchrun::app
