// Facts from reports become records: what has ended, what is done, which jobs are over.
#include <spdlog/spdlog.h>

#include "app/controller.hpp"

namespace finchrun::app {
namespace {

using state::Outcome;

void finish_job(const World& w, core::JobId id, const jobs::JobRecord& job, Edit& e) {
  const auto key = state::keys::job(w.names.jobs.name(id));
  e.require(key, job.stamp);
  e.then.push_back({key, jobs::to_json(finished(job), w.names)});
  e.log.push_back(fmt::format("job done id={}", w.names.jobs.name(id)));
}

}  // namespace

bool Controller::records_fit(const World& w, core::PartId part) {
  const PartWriter writer(w, part);
  const auto shards = w.mirror.shards(part);
  return !writer.ends_too_long() &&
         std::all_of(shards.begin(), shards.end(), [&](core::ShardId id) { return writer.fits(id); });
}

Edit Controller::settle_part(const World& w, core::PartId part) {
  Edit e;
  // Some changes are left to the jobs that are done with this.
  const auto most_changes = w.s.state_limits.most_changes();
  PartWriter writer(w, part, most_changes - most_changes / 4);
  std::set<core::JobId> marked;
  for (const auto& f : w.fleet.facts)
    if (f.part == part && writer.settle(f) && f.done) marked.insert(f.job);  // the rest in the next flush
  if (writer.touched() > 0) writer.finish(e);
  // Jobs that are complete with this, and those that became so without anyone having said it.
  w.mirror.each_run([&](core::JobId id, core::PartId p, const jobs::RunRecord& run) {
    if (p == part && run.done.size() > 0) marked.insert(id);
  });
  for (const auto id : marked) {
    const auto* job = w.mirror.job(id);
    if (!job || job->status != jobs::Status::live || job->spec.standing()) continue;
    if (writer.done(id) < job->spec.tasks) continue;
    if (e.then.size() >= most_changes || e.when.size() + 2 > w.s.state_limits.most_conditions()) break;
    e.require(state::keys::part(w.names.parts.name(part)), w.token(part));
    finish_job(w, id, *job, e);
  }
  return e;
}

// What was written under larger limits is brought within those that hold now or may hold from any moment on.
Edit Controller::shrink_part(const World& w, core::PartId part) {
  Edit e;
  PartWriter writer(w, part);
  if (!writer.shrink()) return e;
  writer.finish(e);
  e.log.push_back(fmt::format("records shrunk part={} changes={}", w.names.parts.name(part), e.then.size()));
  return e;
}

asio::awaitable<void> Controller::flush() {
  std::vector<Edit> edits;
  world_.with([&](World& w) {
    if (!w.loaded) return;  // while it is read anew, nothing is known to be ours, and facts would be dropped
    w.drop_settled();
    for (std::uint32_t p = 0; p < w.parts.size(); ++p)
      if (w.acting(core::PartId{p})) {
        auto shrunk = records_fit(w, core::PartId{p}) ? Edit{} : shrink_part(w, core::PartId{p});
        edits.push_back(shrunk.then.empty() ? settle_part(w, core::PartId{p}) : std::move(shrunk));
      }
  });
  for (auto& e : edits) {
    if (e.then.empty()) continue;
    if (!store_.spend(static_cast<int>(e.then.size()), state::Store::For::records))
      co_return;  // the rest in the next flush
    state::Txn txn{e.when, std::move(e.then)};
    const auto result = co_await commit(std::move(txn));
    if (result.outcome == Outcome::done) {
      for (const auto& line : e.log) spdlog::info("{}", line);
      continue;
    }
    // Facts stay, so the next flush tries again on what the next sync shows.
    sync_wake_.cancel();
    if (result.outcome != Outcome::conflict) co_return;
  }
}

}  // namespace finchrun::app
