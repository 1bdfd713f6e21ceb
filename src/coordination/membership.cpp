#include "coordination/membership.hpp"

#include <spdlog/spdlog.h>

namespace finchrun::coordination {

namespace {

namespace json = boost::json;
using controller::ControllerState;

state::Transaction member_txn(const std::string& label, std::uint64_t incarnation,
                              std::uint64_t store_lease) {
  state::Transaction txn;
  txn.writes.push_back({state::keys::member(label),
                        json::object{{"inc", incarnation}, {"level", state::kRecordLevel}}, store_lease});
  return txn;
}

}  // namespace

asio::awaitable<bool> Membership::join() {
  const auto store_lease = co_await store_.grant_lease(static_cast<int>(tuning_.member_ttl_s * 1000));
  if (!store_lease) co_return false;
  // The first hold's number names this process: the key-value store never gives it out again.
  const auto incarnation =
      state_.with([&](ControllerState& w) { return w.incarnation != 0 ? w.incarnation : *store_lease; });
  // Our label's earlier process is dead (each label runs once), so its member key is overwritten unseen.
  const auto result = co_await follower_.commit(member_txn(settings_.label, incarnation, *store_lease));
  if (result.outcome != state::CommitStatus::done) co_return false;
  state_.with([&](ControllerState& w) {
    w.incarnation = incarnation;
    w.store_lease = *store_lease;
    w.joined_revision = result.revision;
  });
  spdlog::info("member label={} incarnation={} hold={}", settings_.label, incarnation, *store_lease);
  follower_.wake();
  co_return true;
}

asio::awaitable<void> Membership::run() {
  while (true) {
    const auto store_lease = state_.with([](ControllerState& w) { return w.store_lease; });
    if (store_lease == 0) {
      if (!co_await join()) co_await runtime_.sleep(0.3);
      continue;
    }
    co_await runtime_.sleep(tuning_.member_ttl_s / 4);
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

}  // namespace finchrun::coordination
