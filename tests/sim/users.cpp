// Simulated users: they submit, repeat, poll and cancel, and note what they are told (rules forgotten,
// went_back, not_done).
#include <cstdio>

#include "http/status.hpp"
#include "sim/cluster.hpp"

namespace finchrun::sim {
namespace {

constexpr double kRequestTimeoutS = 5, kPollTimeoutS = 2;
constexpr double kRetryPauseS = 1, kPollPauseS = 2;
constexpr int kMostTries = 40;

int status_of(const std::optional<http::Response>& response) {
  return response ? response->status : http::status::kNoAnswer;
}

}  // namespace

void Cluster::ask_once(std::size_t node, const std::string& method, const std::string& target,
                       const std::string& body, std::function<void(int, std::string)> done) {
  ask(
      node, {method, target, body},
      [done = std::move(done)](std::optional<http::Response> response) {
        done(status_of(response), response ? response->body : std::string());
      },
      kRequestTimeoutS);
}

void Cluster::submit(int tasks, bool gang, double gpus, double run_s, const std::string& team,
                     const std::string& priority, bool spot, const std::string& zone, double apart_s) {
  JobTruth truth;
  truth.tasks = static_cast<std::uint32_t>(tasks);
  truth.gang = gang;
  truth.run_s = run_s;
  truth.apart_s = apart_s;
  truth.team = team;
  truth.gpus = gpus;
  truth.spec = {{"lane", spot ? "sweep" : "work"},
                {"crew", team},
                {"shape", gang ? "ensemble" : "array"},
                {"urgency", priority},
                {"pieces", tasks},
                {"vcpus", gpus},
                {"gpus", gpus},
                {"ramGb", gpus},
                {"plate", "img"},
                {"imageGb", 1.0},
                {"together", gang},
                {"scatter", false},
                {"loaners", spot},
                {"expectS", run_s},
                {"snapshotS", 5.0},
                {"flushS", 1.0}};
  if (!zone.empty()) truth.spec["hall"] = zone;
  enter(std::move(truth));
}

std::string Cluster::submit_standing(int replicas, const std::string& team) {
  JobTruth truth;
  truth.tasks = static_cast<std::uint32_t>(replicas);
  truth.standing = true;
  truth.team = team;
  truth.spec = {{"lane", "service"},  {"crew", team},   {"shape", "standing"}, {"urgency", "prod"},
                {"pieces", replicas}, {"vcpus", 0.1},   {"gpus", 0.0},         {"ramGb", 0.1},
                {"plate", "service"}, {"imageGb", 0.2}, {"together", false},   {"scatter", true},
                {"loaners", false},   {"expectS", 0.0}, {"snapshotS", 0.0},    {"flushS", 0.0}};
  return enter(std::move(truth));
}

std::string Cluster::enter(JobTruth truth) {
  char id[24];
  std::snprintf(id, sizeof id, "req-%06d", next_job_++);
  truth.spec["nameId"] = id;
  jobs[id] = std::move(truth);
  request_submission(id, 0);
  return id;
}

void Cluster::request_submission(const std::string& id, int tries) {
  if (tries > kMostTries) return;
  const auto node = random() % nodes_.size();
  ask(
      node, {"POST", "/submissions", json::serialize(jobs[id].spec)},
      [this, id, tries](std::optional<http::Response> response) {
        auto& job = jobs[id];
        const int status = status_of(response);
        if (status == http::status::kCreated || status == http::status::kOk) {
          if (!job.accepted) job.accepted_at = now_;
          job.accepted = true;
          job.answered = now_;
          poll_status(id);
          return;
        }
        if (status == http::status::kBadRequest || status == http::status::kUnprocessable) {
          broken.push_back("refused for good " + id + " " + response->body);
          return;
        }
        post(kRetryPauseS, [this, id, tries] { request_submission(id, tries + 1); });
      },
      kRequestTimeoutS);
}

void Cluster::poll_status(const std::string& id) {
  const auto asked = now_;
  ask(
      random() % nodes_.size(), {"GET", "/submissions/" + id, ""},
      [this, id, asked](std::optional<http::Response> response) {
        auto& job = jobs[id];
        const int status = status_of(response);
        if (status == http::status::kNotFound) broken.push_back("forgotten " + id);
        if (status == http::status::kOk) {
          job.answered = now_;
          const auto state = std::string(json::parse(response->body).at("status").as_string());
          if (state == "done" && job.done.size() < job.tasks) broken.push_back("not_done " + id);
          if (job.told_done && state != "done") broken.push_back("went_back " + id + " to " + state);
          // Asked before the user was told, the answer may have crossed that of the cancellation.
          if (job.told_cancelled && *job.told_cancelled <= asked && state != "cancelled")
            broken.push_back("went_back " + id + " to " + state);
          if (state == "cancelled" && !job.asked_cancel) broken.push_back("went_back " + id + " uncalled");
          if (state == "done") job.told_done = true;
        }
        post(kPollPauseS, [this, id] { poll_status(id); });
      },
      kPollTimeoutS);
}

void Cluster::cancel(const std::string& id) {
  auto& job = jobs.at(id);
  job.asked_cancel = true;
  ask(
      random() % nodes_.size(), {"POST", "/submissions/" + id + "/abort", ""},
      [this, id](std::optional<http::Response> response) {
        auto& job = jobs[id];
        const int status = status_of(response);
        if (status == http::status::kOk) {
          const auto state = json::parse(response->body).at("status").as_string();
          if (state == "cancelled" && !job.told_cancelled) job.told_cancelled = now_;
          return;
        }
        if (status == http::status::kNotFound && !job.accepted) return;
        if (status == http::status::kNotFound) broken.push_back("forgotten " + id);
        post(kRetryPauseS, [this, id] { cancel(id); });
      },
      kRequestTimeoutS);
}

}  // namespace finchrun::sim
