// Membership, the mirror, and the claims on parts.
#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "app/controller.hpp"

namespace finchrun::app {
namespace {

namespace json = boost::json;

json::value claim_value(const std::string& owner, std::uint64_t incarnation) {
  return json::object{{"owner", owner}, {"inc", incarnation}};
}

state::Txn member_txn(const std::string& label, std::uint64_t incarnation, std::uint64_t hold) {
  state::Txn txn;
  txn.then.push_back(
      {state::keys::member(label), json::object{{"inc", incarnation}, {"level", state::kRecordLevel}}, hold});
  return txn;
}

// For the log: which of the budget's changes went where.
std::string keys_of(const std::vector<state::Event>& changes) {
  std::string out;
  for (const auto& c : changes) out += (out.empty() ? "" : ",") + c.key;
  return out;
}

// A start order that got no answer for this long is made void by a new term; until then its task stays
// booked.
bool has_loose_orders(const World& w, core::PartId part, core::TimePoint now) {
  constexpr double kPatience = 10;
  return std::any_of(w.fleet.sent.begin(), w.fleet.sent.end(), [&](const auto& item) {
    const auto& sent = item.second;
    return !sent.answered_seq && sent.token == w.token(part) && core::since(sent.at, now) > kPatience;
  });
}

}  // namespace

asio::awaitable<bool> Controller::join() {
  const auto hold = co_await store_.grant(static_cast<int>(tuning_.member_ttl_s * 1000));
  if (!hold) co_return false;
  // The first hold's number names this process: the state service never gives it out again.
  const auto incarnation = world_.with([&](World& w) { return w.incarnation != 0 ? w.incarnation : *hold; });
  // Our label's earlier process is dead (each label runs once), so its member key is overwritten unseen.
  const auto result = co_await commit(member_txn(settings_.label, incarnation, *hold));
  if (result.outcome != state::Outcome::done) co_return false;
  world_.with([&](World& w) {
    w.incarnation = incarnation;
    w.hold = *hold;
    w.joined_epoch = result.epoch;
  });
  spdlog::info("member label={} incarnation={} hold={}", settings_.label, incarnation, *hold);
  sync_wake_.cancel();
  co_return true;
}

asio::awaitable<void> Controller::member_loop() {
  while (true) {
    const auto hold = world_.with([](World& w) { return w.hold; });
    if (hold == 0) {
      if (!co_await join()) co_await sleep(0.3);
      continue;
    }
    co_await sleep(tuning_.member_ttl_s / 4);
    const int status = co_await store_.extend(hold);
    // The key can be lost under a living hold: a late write of our label's earlier process took it along.
    const bool listed = world_.with([&](World& w) {
      const auto* me = w.mirror.member(w.s.label);
      return !w.loaded || w.mirror.epoch() < w.joined_epoch || (me && me->incarnation == w.incarnation);
    });
    if (status == 404 || !listed) {
      spdlog::warn("member hold={} has ended", hold);
      world_.with([](World& w) { w.hold = 0; });
    }
  }
}

asio::awaitable<bool> Controller::load() {
  std::vector<state::Event> all;
  std::string after;
  std::optional<std::uint64_t> epoch;
  while (true) {
    auto page = co_await store_.list(after, 500);
    if (!page.ok) co_return false;
    if (!epoch) epoch = page.epoch;
    for (auto& item : page.items) all.push_back(std::move(item));
    if (!page.more || page.items.empty()) break;
    after = all.back().key;
  }
  world_.with([&](World& w) {
    w.mirror.reset();
    for (const auto& e : all) w.mirror.apply(e);
    // Pages are read one after the other, and own writes may be newer than they: not to be decided from until
    // the changes since the first one have been read. A report would find its tasks unknown and stop them.
    w.mirror.synced(*epoch);
    w.loaded = false;
  });
  spdlog::info("state loaded keys={} epoch={}", all.size(), *epoch);
  co_return true;
}

asio::awaitable<void> Controller::sync_loop() {
  boost::system::error_code ec;
  // After a cut or an outage all changes since would come in one answer, as large as they are; everything in
  // pages is less, and what is known is kept until it has come.
  constexpr double kLongGap = 8;
  bool filled = false;
  while (true) {
    const double gap = world_.with([](World& w) {
      return w.synced_at == core::TimePoint{} ? 0 : core::since(w.synced_at, core::Steady::now());
    });
    if (!filled || gap > kLongGap) {
      if (!co_await load()) {
        co_await sleep(0.3);
        continue;
      }
      filled = true;
    }
    const auto from = world_.with([](World& w) { return w.mirror.epoch(); });
    const auto sent = core::Steady::now();
    const auto changes = co_await store_.changes(from);
    if (changes.kind == state::Changes::Kind::too_old) {
      world_.with([](World& w) { w.loaded = false; });
      filled = false;
      continue;
    }
    if (changes.kind == state::Changes::Kind::ok) {
      world_.with([&](World& w) {
        for (const auto& e : changes.events) w.mirror.apply(e);
        w.mirror.synced(changes.epoch);
        w.synced_at = sent;
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
    if (changes.kind != state::Changes::Kind::ok) {
      co_await sleep(0.2);
    } else if (waiters_.empty()) {
      sync_wake_.expires_after(core::secs(tuning_.sync_s));
      co_await sync_wake_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
  }
}

asio::awaitable<bool> Controller::barrier(core::TimePoint deadline) {
  // Bounded: a waiter more than this would not be answered in time either.
  constexpr std::size_t kMostWaiters = 2000;
  if (waiters_.size() >= kMostWaiters) co_return false;
  auto waiter = std::make_shared<Waiter>(Waiter{core::Steady::now(), false, core::Timer(io_, deadline)});
  waiters_.push_back(waiter);
  sync_wake_.cancel();
  boost::system::error_code ec;
  co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  if (!waiter->served) waiters_.remove(waiter);
  co_return waiter->served;
}

asio::awaitable<state::Committed> Controller::commit(state::Txn txn) {
  std::vector<state::Event> local;
  for (const auto& c : txn.then) local.push_back({c.key, c.value, 0});
  auto result = co_await store_.commit(std::move(txn));
  if (spdlog::should_log(spdlog::level::debug))
    spdlog::debug("commit outcome={} epoch={} changes={}", static_cast<int>(result.outcome), result.epoch,
                  keys_of(local));
  if (result.outcome == state::Outcome::done) {
    world_.with([&](World& w) {
      for (auto& e : local) {
        e.stamp = result.epoch;
        w.mirror.apply(e);
      }
    });
  }
  co_return result;
}

asio::awaitable<void> Controller::claim(core::PartId part, std::string from) {
  state::Txn txn;
  std::string name;
  const bool go = world_.with([&](World& w) {
    const auto* me = w.mirror.member(w.s.label);
    if (!me || me->incarnation != w.incarnation) return false;
    name = w.names.parts.name(part);
    txn.when.push_back({state::keys::part(name), w.mirror.claim(part).stamp});
    txn.when.push_back({state::keys::member(w.s.label), me->stamp});
    // Its own label's earlier process is dead; another owner must have lost its membership.
    if (!from.empty() && from != w.s.label) txn.when.push_back({state::keys::member(from), 0});
    txn.then.push_back({state::keys::part(name), claim_value(w.s.label, w.incarnation)});
    return true;
  });
  if (!go) co_return;
  // An answer that does not come is read back by the next sync: only the record says who owns the part.
  const auto result = co_await commit(std::move(txn));
  if (result.outcome == state::Outcome::done)
    spdlog::info("claimed part={} term={} from={}", name, result.epoch, from.empty() ? "-" : from);
  sync_wake_.cancel();
}

asio::awaitable<void> Controller::hand_back(core::PartId part, std::string to) {
  state::Txn txn;
  const auto name = world_.with([&](World& w) {
    const auto& name = w.names.parts.name(part);
    const auto* heir = w.mirror.member(to);
    if (!heir || !w.owns(part)) return std::string();
    txn.when.push_back({state::keys::part(name), w.mirror.claim(part).stamp});
    txn.when.push_back({state::keys::member(to), heir->stamp});
    txn.then.push_back({state::keys::part(name), claim_value(to, heir->incarnation)});
    return name;
  });
  if (name.empty()) co_return;
  const auto result = co_await commit(std::move(txn));
  if (result.outcome == state::Outcome::done)
    spdlog::info("handed part={} to={} term={}", name, to, result.epoch);
}

asio::awaitable<void> Controller::claim_loop() {
  std::map<std::string, core::TimePoint> alive_since;
  while (true) {
    co_await sleep(0.25);
    const auto now = core::Steady::now();
    struct Step {
      core::PartId part;
      std::string from, to;
    };
    std::vector<Step> claims, returns;
    world_.with([&](World& w) {
      if (!w.loaded || w.incarnation == 0 || w.hold == 0) return;
      if (core::since(w.synced_at, now) > 1.0) return;
      for (const auto& m : w.s.members) {
        if (!w.alive(m.label)) {
          alive_since.erase(m.label);
        } else {
          alive_since.try_emplace(m.label, now);
        }
      }
      for (std::uint32_t p = 0; p < w.parts.size(); ++p) {
        const core::PartId part{p};
        const auto& c = w.mirror.claim(part);
        auto& missing = w.owner_missing_since[p];
        if (!w.acting(part)) w.acting_since[p] = now;
        if (w.owns(part)) {
          missing = {};
          if (has_loose_orders(w, part, now)) claims.push_back({part, c.owner, {}});
          for (const auto& label : w.parts.preference(part)) {
            if (label == w.s.label) break;
            auto it = alive_since.find(label);
            if (it != alive_since.end() && core::since(it->second, now) > 8) {
              returns.push_back({part, {}, label});
              break;
            }
          }
          continue;
        }
        if (c.owner == w.s.label) {
          claims.push_back({part, c.owner, {}});
          continue;
        }
        if (!c.owner.empty() && w.alive(c.owner)) {
          missing = {};
          continue;
        }
        if (missing == core::TimePoint{}) missing = now;
        // The first living label of the part's preference claims; each later one waits its turn.
        double wait = c.owner.empty() ? 0.0 : 0.2;
        for (const auto& label : w.parts.preference(part)) {
          if (label == w.s.label) break;
          wait += w.alive(label) ? 3.0 : c.owner.empty() ? 1.5 : 0.3;
        }
        if (core::since(missing, now) >= wait) claims.push_back({part, c.owner, {}});
      }
    });
    for (const auto& step : claims) co_await claim(step.part, step.from);
    for (const auto& step : returns) co_await hand_back(step.part, step.to);
  }
}

}  // namespace finchrun::app
