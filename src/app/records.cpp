// Facts from reports become records: what has ended, what is done, which jobs are over.
#include <spdlog/spdlog.h>

#include "app/controller.hpp"

namespace finchrun::app {

using state::Outcome;

asio::awaitable<void> Controller::flush() {
  std::vector<Edit> edits;
  world_.with([&](World& w) {
    std::map<state::RunKey, std::vector<worker::Fact>> by_run;
    for (auto it = w.fleet.facts.begin(); it != w.fleet.facts.end();) {
      const auto* run = w.mirror.run({it->job, it->part});
      const bool current =
          run && std::any_of(run->entries.begin(), run->entries.end(), [&](const jobs::Entry& e) {
            return e.task == it->task && e.attempt == it->attempt;
          });
      if (!current || !w.owns(it->part)) {
        w.fleet.seen.erase({it->job, it->task, it->attempt});
        w.fleet.to_stop.erase({it->job, it->task, it->attempt});
        if (auto s = w.fleet.sent.find({it->job, it->task, it->attempt}); s != w.fleet.sent.end())
          if (s->second.answered_seq || s->second.token != w.token(it->part)) w.fleet.sent.erase(s);
        it = w.fleet.facts.erase(it);
        continue;
      }
      if (w.acting(it->part)) by_run[{it->job, it->part}].push_back(*it);
      ++it;
    }
    // Records without facts that still need an end: jobs over, or complete without anyone having said so.
    w.mirror.each_run([&](state::RunKey key, const jobs::RunRecord& run) {
      if (!w.acting(key.second) || by_run.contains(key)) return;
      const auto* job = w.mirror.job(key.first);
      const bool over = !job || job->status != jobs::Status::live;
      if (over && run.entries.empty()) by_run[key];
      if (!over && run.done.size() > 0 && w.mirror.done(key.first) >= job->spec.tasks) by_run[key];
    });
    for (const auto& [key, facts] : by_run) {
      const auto& run = *w.mirror.run(key);
      const auto* job = w.mirror.job(key.first);
      const auto next = settled(w, key, run, facts);
      const auto& job_name = w.names.jobs.name(key.first);
      const auto& part_name = w.names.parts.name(key.second);
      Edit e;
      e.when.push_back({state::keys::part(part_name), w.token(key.second)});
      e.when.push_back({state::keys::run(job_name, part_name), run.stamp});
      const bool live = job && job->status == jobs::Status::live;
      const bool complete =
          live && w.mirror.done(key.first) - run.done.size() + next.done.size() >= job->spec.tasks;
      if (complete) {
        e.when.push_back({state::keys::job(job_name), job->stamp});
        e.then.push_back({state::keys::job(job_name), jobs::to_json(finished(*job), w.names)});
      }
      if (next.entries.empty() && (complete || !live)) {
        e.then.push_back({state::keys::run(job_name, part_name), std::nullopt});
      } else {
        e.then.push_back(set_run(w, key, next));
      }
      edits.push_back(std::move(e));
    }
  });
  if (edits.empty()) co_return;
  for (auto& batch : pack(edits, store_.most_changes())) {
    if (!store_.spend(static_cast<int>(batch.txn.then.size()))) co_return;  // the rest in the next flush
    auto txn = batch.txn;
    const auto result = co_await commit(std::move(txn));
    if (result.outcome == Outcome::done) {
      for (const auto& c : batch.txn.then)
        if (c.value && c.key.starts_with("jobs/")) spdlog::info("job done id={}", c.key.substr(5));
      continue;
    }
    // Facts stay, so the next flush tries again on what the next sync shows.
    sync_wake_.cancel();
    if (result.outcome != Outcome::conflict) co_return;
  }
}

}  // namespace finchrun::app
