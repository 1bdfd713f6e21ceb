#include "gateway/agent_commands.hpp"

#include <spdlog/spdlog.h>

namespace finchrun::gateway {

namespace {

using controller::ControllerState;

constexpr auto kCommandTimeout = std::chrono::milliseconds(3000);

// Cut from its agents, a leader still has their heartbeats by way of others. Each start that it sent straight
// got no answer, so a new term was needed to make it void, every eleven seconds while the cut lasted. The
// answers to heartbeats start what is recorded, and need none.
bool starts_by_report_only(const agent::Machine& m, core::TimePoint now) {
  constexpr double kTriedAgainAfter = 20;
  return m.direct_command_failed_at && core::since(*m.direct_command_failed_at, now) < kTriedAgainAfter;
}

}  // namespace

asio::awaitable<void> AgentCommands::probe(core::MachineId machine) {
  std::vector<wire::Command> nothing;
  // No commands: it only makes the agent see the fencing token, so that commands of earlier leaders are void,
  // and answer.
  const auto result = co_await call(machine, nothing);
  // The incarnation was not known yet: the answer named it.
  if (result.status == 409) co_await call(machine, nothing);
}

asio::awaitable<AgentCommands::Result> AgentCommands::call(core::MachineId machine,
                                                           const std::vector<wire::Command>& commands) {
  Result result;
  std::string endpoint;
  std::uint64_t fencing_token = 0, agent_incarnation = 0;
  state_.with([&](ControllerState& w) {
    const auto* m = w.fleet.find(machine);
    if (!m || !w.leads(m->partition)) return;
    endpoint = m->endpoint;
    fencing_token = w.fencing_token(m->partition);
    agent_incarnation = std::max<std::uint64_t>(1, m->agent_incarnation);
  });
  const auto at = config::parse_endpoint(endpoint);
  if (!at) co_return result;
  const auto client = network_.connect(*at, 0);
  const auto answer = co_await client->call(
      http::Verb::post, "/do", wire::render_direct_commands(fencing_token, agent_incarnation, commands),
      kCommandTimeout);
  result.status = answer.status;
  const auto heartbeat = wire::parse_heartbeat(answer.body);
  const auto* r = std::get_if<wire::Heartbeat>(&heartbeat);
  const bool arrived = (answer.status == 200 || answer.status == 409) && r;
  if (answer.status == 200 && r) result.sequence = r->sequence;
  const bool changed = state_.with([&](ControllerState& w) {
    auto* m = w.fleet.find(machine);
    if (!m) return false;
    if (!arrived) {
      if (answer.status == 0) m->direct_command_failed_at = core::Steady::now();
      if (answer.status == 0 && m->has_heartbeat && m->agent_incarnation == agent_incarnation)
        m->mark_unreachable(core::Steady::now());
      return false;
    }
    m->direct_command_failed_at.reset();
    // The answer is a heartbeat like any other, and the newest: a new leader need not wait for the next one.
    const bool news = w.take(*m, *r, core::Steady::now(), true).changed;
    m->heard();
    return news;
  });
  if (changed) writer_wakeup_.notify();
  co_return result;
}

asio::awaitable<void> AgentCommands::send(core::MachineId machine, std::vector<wire::Command> commands,
                                          std::vector<agent::TaskAttempt> starts) {
  const bool go = state_.with([&](ControllerState& w) {
    const auto* m = w.fleet.find(machine);
    if (!m || !m->has_heartbeat || !w.leads(m->partition)) return false;
    const bool by_report = starts_by_report_only(*m, core::Steady::now());
    // The agent may have gone on to its next incarnation since the placement was recorded. The order, sent
    // for the new incarnation, would start a task whose entry that very incarnation shows to be gone.
    std::erase_if(starts, [&](const agent::TaskAttempt& s) {
      const auto& [job, task, attempt] = s;
      const auto& list = w.cache.on_machine(machine);
      const auto* record = w.cache.job(job);
      // Cancelled since the placement was recorded: started now, it would run after its user was told.
      const bool live = record && record->status == jobs::Status::live;
      if (live && !by_report && std::any_of(list.begin(), list.end(), [&](const state::MachineAssignment& p) {
            return p.job == job && p.assignment.task == task && p.assignment.attempt == attempt &&
                   p.assignment.agent_incarnation == m->agent_incarnation;
          }))
        return false;
      std::erase_if(commands, [&](const wire::Command& o) {
        return o.kind == wire::Command::Kind::start && o.task == task && o.attempt == attempt &&
               o.job == w.names.jobs.name(job);
      });
      return true;
    });
    for (const auto& s : starts)
      w.fleet.direct_starts[s] = {w.fencing_token(m->partition), std::nullopt, core::Steady::now()};
    return !commands.empty();
  });
  if (!go) co_return;
  const auto result = co_await call(machine, commands);
  // No answer: the command may be carried out at any later time under this fencing token, so it stays noted.
  state_.with([&](ControllerState& w) {
    for (const auto& s : starts) {
      const auto note = w.fleet.direct_starts.find(s);
      if (note == w.fleet.direct_starts.end()) continue;  // settled meanwhile: nothing to keep
      if (result.sequence) note->second.answered_sequence = result.sequence;
      if (result.status == 409 || result.status == 400) w.fleet.direct_starts.erase(note);
    }
  });
}

asio::awaitable<void> AgentCommands::run_probes() {
  while (true) {
    co_await runtime_.sleep(0.3);
    const auto now = core::Steady::now();
    constexpr std::size_t kMostAtOnce = 16;
    // Those who don't know our fencing token come first, then whoever was asked longest ago.
    std::vector<std::tuple<bool, core::TimePoint, core::MachineId>> behind;
    state_.with([&](ControllerState& w) {
      for (auto& [id, m] : w.fleet.all()) {
        if (!m.partition.valid() || !w.leads(m.partition) || m.endpoint.empty() || m.terminating || m.gone)
          continue;
        // Silent past its lease, it may only be unable to reach us: its next incarnation, seen in an answer,
        // proves its tasks gone.
        const bool silent = w.silent_s(m, now) > w.settings.lease_s && !w.cache.on_machine(id).empty();
        const bool obeys = m.has_heartbeat && m.fencing_token >= w.fencing_token(m.partition);
        if (obeys && !m.unreachable() && !silent) continue;
        if (!m.has_heartbeat && m.status == "starting") continue;
        if (core::since(m.last_probe, now) < (obeys ? 5 : 2.5)) continue;
        behind.emplace_back(obeys, m.last_probe, id);
      }
      std::sort(behind.begin(), behind.end());
      if (behind.size() > kMostAtOnce) behind.resize(kMostAtOnce);
      for (const auto& [_, at, id] : behind) w.fleet.find(id)->last_probe = now;
    });
    for (const auto& [_, at, id] : behind) runtime_.spawn(probe(id));
  }
}

}  // namespace finchrun::gateway
