// Simulated users, who submit, retry, poll and cancel jobs, and check the responses against the rules
// forgotten, went_back and not_done.
#include <cstdio>

#include "http/status.hpp"
#include "sim/deployment.hpp"

namespace finchrun::sim {
namespace {

constexpr double kRequestTimeoutS = 5, kPollTimeoutS = 2;
constexpr double kRetryPauseS = 1, kPollPauseS = 2;
constexpr int kMaxTries = 40;

int status_of(const std::optional<http::Response>& response) {
  return response ? response->status : http::status::kNoAnswer;
}

}  // namespace

void Deployment::request_once(std::size_t controller, const std::string& method, const std::string& target,
                              const std::string& body, std::function<void(int, std::string)> done) {
  send_request(
      controller, {method, target, body},
      [done = std::move(done)](std::optional<http::Response> response) {
        done(status_of(response), response ? response->body : std::string());
      },
      kRequestTimeoutS);
}

void Deployment::ask_about_an_unknown_job(std::size_t controller) {
  const std::string unknown = "req-999999";
  request_once(controller, "GET", "/submissions/" + unknown, "",
               [this, unknown](int status, const std::string&) {
                 if (status == http::status::kOk) violations.push_back("invented " + unknown);
               });
}

void Deployment::submit(int tasks, bool gang, double gpus, double run_s, const std::string& team,
                        const std::string& priority, bool spot, const std::string& zone,
                        double run_increment_s) {
  JobHistory history;
  history.tasks = static_cast<std::uint32_t>(tasks);
  history.gang = gang;
  history.run_s = run_s;
  history.run_increment_s = run_increment_s;
  history.team = team;
  history.gpus = gpus;
  history.spec = {{"lane", spot ? "sweep" : "work"},
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
  if (!zone.empty()) history.spec["hall"] = zone;
  submit_job(std::move(history));
}

std::string Deployment::submit_service(int replicas, const std::string& team) {
  JobHistory history;
  history.tasks = static_cast<std::uint32_t>(replicas);
  history.is_service = true;
  history.team = team;
  history.spec = {{"lane", "service"},  {"crew", team},   {"shape", "standing"}, {"urgency", "prod"},
                  {"pieces", replicas}, {"vcpus", 0.1},   {"gpus", 0.0},         {"ramGb", 0.1},
                  {"plate", "service"}, {"imageGb", 0.2}, {"together", false},   {"scatter", true},
                  {"loaners", false},   {"expectS", 0.0}, {"snapshotS", 0.0},    {"flushS", 0.0}};
  return submit_job(std::move(history));
}

std::string Deployment::submit_job(JobHistory history) {
  char id[24];
  std::snprintf(id, sizeof id, "req-%06d", next_job_++);
  history.spec["nameId"] = id;
  jobs[id] = std::move(history);
  send_submission(id, 0);
  return id;
}

void Deployment::send_submission(const std::string& id, int tries) {
  if (tries > kMaxTries) return;
  const auto controller = random() % controller_count();
  send_request(
      controller, {"POST", "/submissions", json::serialize(jobs[id].spec)},
      [this, id, tries](std::optional<http::Response> response) {
        auto& job = jobs[id];
        const int status = status_of(response);
        if (status == http::status::kCreated || status == http::status::kOk) {
          if (!job.accepted) job.accepted_at = now_;
          job.accepted = true;
          job.last_response_at = now_;
          poll_status(id);
          return;
        }
        if (status == http::status::kBadRequest || status == http::status::kUnprocessable) {
          violations.push_back("rejected permanently " + id + " " + response->body);
          return;
        }
        post(kRetryPauseS, [this, id, tries] { send_submission(id, tries + 1); });
      },
      kRequestTimeoutS);
}

void Deployment::poll_status(const std::string& id) {
  const auto sent = now_;
  send_request(
      random() % controller_count(), {"GET", "/submissions/" + id, ""},
      [this, id, sent](std::optional<http::Response> response) {
        auto& job = jobs[id];
        const int status = status_of(response);
        if (status == http::status::kNotFound) violations.push_back("forgotten " + id);
        if (status == http::status::kOk) {
          job.last_response_at = now_;
          const auto state = std::string(json::parse(response->body).at("status").as_string());
          if (state == "done" && job.completed.size() < job.tasks) violations.push_back("not_done " + id);
          if (job.reported_done && state != "done") violations.push_back("went_back " + id + " to " + state);
          // The response to an earlier poll may arrive after the response to the cancellation.
          if (job.reported_cancelled_at && *job.reported_cancelled_at <= sent && state != "cancelled")
            violations.push_back("went_back " + id + " to " + state);
          if (state == "cancelled" && !job.cancellation_requested)
            violations.push_back("went_back " + id + " without a request");
          if (state == "done") job.reported_done = true;
        }
        post(kPollPauseS, [this, id] { poll_status(id); });
      },
      kPollTimeoutS);
}

void Deployment::cancel(const std::string& id) {
  auto& job = jobs.at(id);
  job.cancellation_requested = true;
  send_request(
      random() % controller_count(), {"POST", "/submissions/" + id + "/abort", ""},
      [this, id](std::optional<http::Response> response) {
        auto& job = jobs[id];
        const int status = status_of(response);
        if (status == http::status::kOk) {
          const auto state = json::parse(response->body).at("status").as_string();
          if (state == "cancelled" && !job.reported_cancelled_at) job.reported_cancelled_at = now_;
          return;
        }
        if (status == http::status::kNotFound && !job.accepted) return;
        if (status == http::status::kNotFound) violations.push_back("forgotten " + id);
        post(kRetryPauseS, [this, id] { cancel(id); });
      },
      kRequestTimeoutS);
}

}  // namespace finchrun::sim
