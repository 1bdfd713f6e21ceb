#include "coordination/membership.hpp"

#include <spdlog/spdlog.h>

namespace finchrun::coordination {

namespace {

using controller::ControllerState;

constexpr double kJoinRetryS = 0.3;
constexpr double kRenewalsPerLease = 4;

// An earlier process of this label is dead (each label runs once), so its member key is overwritten without
// a condition.
state::Transaction member_transaction(const std::string& label, std::uint64_t incarnation,
                                      std::uint64_t store_lease) {
  const state::Member member{incarnation, 0, state::kRecordLevel};
  state::Transaction transaction;
  transaction.writes.push_back({state::keys::member(label), state::encode(member), store_lease});
  return transaction;
}

}  // namespace

std::optional<std::string_view> membership_loss(const ControllerState& state, state::LeaseRenewal renewal) {
  if (renewal == state::LeaseRenewal::expired) return "lease_expired";
  // The cache shows whether the key exists only after it has read the key's own write.
  if (!state.cache_loaded || state.cache.revision() < state.joined_revision) return std::nullopt;
  const auto* member = state.cache.member(state.settings.label);
  if (!member) return "member_key_gone";
  if (member->incarnation != state.incarnation) return "member_key_of_another_process";
  return std::nullopt;
}

asio::awaitable<bool> Membership::join() {
  const auto granted = co_await store_.grant_lease(static_cast<int>(tuning_.member_ttl_s * 1000));
  if (const auto* error = std::get_if<state::StoreError>(&granted)) {
    spdlog::debug("membership not joined label={} reason={}", settings_.label, name_of(*error));
    co_return false;
  }
  const auto store_lease = std::get<std::uint64_t>(granted);
  // The number of the first store lease is the process's incarnation: the key-value store never reuses it.
  const auto incarnation = state_.with(
      [&](ControllerState& state) { return state.incarnation != 0 ? state.incarnation : store_lease; });
  const auto result =
      co_await follower_.commit(member_transaction(settings_.label, incarnation, store_lease));
  if (result.outcome != state::CommitStatus::done) {
    spdlog::debug("membership not joined label={} reason={}", settings_.label, name_of(result.outcome));
    co_return false;
  }
  state_.with([&](ControllerState& state) {
    state.incarnation = incarnation;
    state.store_lease = store_lease;
    state.joined_revision = result.revision;
  });
  spdlog::info("membership joined label={} incarnation={} store_lease={}", settings_.label, incarnation,
               store_lease);
  follower_.request_read();
  co_return true;
}

asio::awaitable<void> Membership::run() {
  while (true) {
    const auto store_lease = state_.with([](ControllerState& state) { return state.store_lease; });
    if (store_lease == 0) {
      if (!co_await join()) co_await runtime_.sleep(kJoinRetryS);
      continue;
    }
    co_await runtime_.sleep(tuning_.member_ttl_s / kRenewalsPerLease);
    const auto renewal = co_await store_.renew_lease(store_lease);
    const auto loss = state_.with([&](ControllerState& state) {
      const auto reason = membership_loss(state, renewal);
      if (reason) state.store_lease = 0;
      return reason;
    });
    if (loss)
      spdlog::warn("membership lost label={} store_lease={} reason={}", settings_.label, store_lease, *loss);
  }
}

}  // namespace finchrun::coordination
