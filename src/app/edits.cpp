#include "app/edits.hpp"

#include <algorithm>

namespace finchrun::app {

namespace json = boost::json;

bool Batch::add(const Edit& e, std::size_t ops) {
  constexpr std::size_t kMostBytes = 40 * 1024;
  const auto listed = [](const auto& list, const std::string& key) {
    return std::any_of(list.begin(), list.end(), [&](const auto& o) { return o.key == key; });
  };
  std::size_t more_when = 0, more_then = 0, more_bytes = 0;
  for (const auto& c : e.when) more_when += listed(txn.when, c.key) ? 0 : 1;
  for (const auto& c : e.then) {
    if (listed(txn.then, c.key)) continue;
    ++more_then;
    more_bytes += c.key.size() + 40 + (c.value ? json::serialize(*c.value).size() : 0);
  }
  if (!edits.empty() && (txn.then.size() + more_then > ops || txn.when.size() + more_when > 4 * ops ||
                         bytes + more_bytes > kMostBytes))
    return false;
  for (const auto& c : e.when)
    if (!listed(txn.when, c.key)) txn.when.push_back(c);
  for (const auto& c : e.then)
    if (!listed(txn.then, c.key)) txn.then.push_back(c);
  bytes += more_bytes;
  edits.push_back(&e);
  return true;
}

std::vector<Batch> pack(const std::vector<Edit>& edits, std::size_t ops) {
  std::vector<Batch> out;
  for (const auto& e : edits) {
    if (out.empty() || !out.back().add(e, ops)) {
      out.emplace_back();
      out.back().add(e, ops);
    }
  }
  return out;
}

state::Change set_run(const World& w, state::RunKey key, const jobs::RunRecord& run) {
  return {state::keys::run(w.names.jobs.name(key.first), w.names.parts.name(key.second)),
          jobs::to_json(run, w.names)};
}

jobs::JobRecord finished(const jobs::JobRecord& job) {
  jobs::JobRecord out;
  out.status = jobs::Status::done;
  out.spec = job.spec;
  return out;
}

jobs::RunRecord settled(const World& w, state::RunKey key, const jobs::RunRecord& run,
                        const std::vector<worker::Fact>& facts) {
  jobs::RunRecord next = run;
  const auto* job = w.mirror.job(key.first);
  for (const auto& f : facts) {
    std::erase_if(next.entries,
                  [&](const jobs::Entry& e) { return e.task == f.task && e.attempt == f.attempt; });
    if (!f.done) continue;
    if (job && job->spec.gang) {
      next.done.add(0, job->spec.tasks);  // a gang completes together
    } else {
      next.done.add(f.task, f.task + 1);
    }
  }
  return next;
}

}  // namespace finchrun::app
