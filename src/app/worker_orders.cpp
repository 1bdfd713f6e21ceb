// Orders that go straight to workers, and what their answers show.
#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "app/controller.hpp"

namespace finchrun::app {
namespace {

constexpr auto kOrderTimeout = std::chrono::milliseconds(3000);

// Cut from its workers, an owner still has their reports by way of others. Each start that it sent straight
// got no answer, so a new term was needed to make it void, every eleven seconds while the cut lasted. The
// answers to reports start what is recorded, and need none.
bool starts_by_report_only(const worker::Machine& m, core::TimePoint now) {
  constexpr double kTriedAgainAfter = 20;
  return m.direct_failed_at && core::since(*m.direct_failed_at, now) < kTriedAgainAfter;
}

}  // namespace

asio::awaitable<void> Controller::push(core::MachineId machine) {
  std::vector<wire::Order> nothing;
  // No orders: it only makes the worker see the token, so that orders of earlier owners are void, and answer.
  const auto result = co_await order(machine, nothing);
  // The session was not known yet: the answer named it.
  if (result.status == 409) co_await order(machine, nothing);
}

asio::awaitable<Controller::DirectAnswer> Controller::order(core::MachineId machine,
                                                            const std::vector<wire::Order>& orders) {
  DirectAnswer result;
  std::string endpoint;
  std::uint64_t token = 0, session = 0;
  world_.with([&](World& w) {
    const auto* m = w.fleet.find(machine);
    if (!m || !w.acting(m->part)) return;
    endpoint = m->endpoint;
    token = w.token(m->part);
    session = std::max<std::uint64_t>(1, m->session);
  });
  const auto at = config::parse_endpoint(endpoint);
  if (!at) co_return result;
  const auto client = network_.connect(*at, 0);
  const auto answer = co_await client->call(http::Verb::post, "/do",
                                            wire::render_push(token, session, orders), kOrderTimeout);
  result.status = answer.status;
  const auto report = wire::parse_report(answer.body);
  const auto* r = std::get_if<wire::Report>(&report);
  const bool arrived = (answer.status == 200 || answer.status == 409) && r;
  if (answer.status == 200 && r) result.seq = r->seq;
  const bool changed = world_.with([&](World& w) {
    auto* m = w.fleet.find(machine);
    if (!m) return false;
    if (!arrived) {
      if (answer.status == 0) m->direct_failed_at = core::Steady::now();
      if (answer.status == 0 && m->reported && m->session == session)
        m->suspect_unreachable(core::Steady::now());
      return false;
    }
    m->direct_failed_at.reset();
    // The answer is a report like any other, and the newest: a new owner need not wait for the next one.
    const bool news = w.take(*m, *r, core::Steady::now(), true).changed;
    m->heard();
    return news;
  });
  if (changed) writer_wake_.cancel();
  co_return result;
}

asio::awaitable<void> Controller::send(core::MachineId machine, std::vector<wire::Order> orders,
                                       std::vector<worker::Start> starts) {
  const bool go = world_.with([&](World& w) {
    const auto* m = w.fleet.find(machine);
    if (!m || !m->reported || !w.acting(m->part)) return false;
    const bool by_report = starts_by_report_only(*m, core::Steady::now());
    // The worker may have gone on to its next session since the placement was recorded. The order, sent for
    // the new session, would start a task whose entry that very session shows to be gone.
    std::erase_if(starts, [&](const worker::Start& s) {
      const auto& [job, task, attempt] = s;
      const auto& list = w.mirror.on_machine(machine);
      const auto* record = w.mirror.job(job);
      // Cancelled since the placement was recorded: started now, it would run after its user was told.
      const bool live = record && record->status == jobs::Status::live;
      if (live && !by_report && std::any_of(list.begin(), list.end(), [&](const state::Placed& p) {
            return p.job == job && p.entry.task == task && p.entry.attempt == attempt &&
                   p.entry.session == m->session;
          }))
        return false;
      std::erase_if(orders, [&](const wire::Order& o) {
        return o.kind == wire::Order::Kind::start && o.task == task && o.attempt == attempt &&
               o.job == w.names.jobs.name(job);
      });
      return true;
    });
    for (const auto& s : starts) w.fleet.sent[s] = {w.token(m->part), std::nullopt, core::Steady::now()};
    return !orders.empty();
  });
  if (!go) co_return;
  const auto result = co_await order(machine, orders);
  // No answer: the order may be carried out at any later time under this token, so it stays noted.
  world_.with([&](World& w) {
    for (const auto& s : starts) {
      const auto note = w.fleet.sent.find(s);
      if (note == w.fleet.sent.end()) continue;  // settled meanwhile: nothing to keep
      if (result.seq) note->second.answered_seq = result.seq;
      if (result.status == 409 || result.status == 400) w.fleet.sent.erase(note);
    }
  });
}

asio::awaitable<void> Controller::push_loop() {
  while (true) {
    co_await sleep(0.3);
    const auto now = core::Steady::now();
    constexpr std::size_t kMostAtOnce = 16;
    // Those who don't know our token come first, then whoever was asked longest ago.
    std::vector<std::tuple<bool, core::TimePoint, core::MachineId>> behind;
    world_.with([&](World& w) {
      for (auto& [id, m] : w.fleet.all()) {
        if (!m.part.valid() || !w.acting(m.part) || m.endpoint.empty() || m.releasing || m.gone) continue;
        // Silent past its lease, it may only be unable to reach us: its next session, seen in an answer,
        // proves its tasks gone.
        const bool silent = w.silent_s(m, now) > w.s.lease_s && !w.mirror.on_machine(id).empty();
        const bool obeys = m.reported && m.token >= w.token(m.part);
        if (obeys && !m.deaf() && !silent) continue;
        if (!m.reported && m.status == "starting") continue;
        if (core::since(m.last_push, now) < (obeys ? 5 : 2.5)) continue;
        behind.emplace_back(obeys, m.last_push, id);
      }
      std::sort(behind.begin(), behind.end());
      if (behind.size() > kMostAtOnce) behind.resize(kMostAtOnce);
      for (const auto& [_, at, id] : behind) w.fleet.find(id)->last_push = now;
    });
    for (const auto& [_, at, id] : behind) asio::co_spawn(io_, push(id), asio::detached);
  }
}

}  // namespace finchrun::app
