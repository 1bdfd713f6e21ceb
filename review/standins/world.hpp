// Stand-ins for workers and users, and a deployment of controllers. After PROTOCOL.
#pragma once

#include "platform.hpp"

namespace review {

// A job, as its user uploads it, with how long each task really runs.
struct Job {
  std::string id, crew, plate;
  std::string lane = "batch", shape = "array", urgency = "normal";
  std::uint32_t pieces = 1;
  double cpus = 1, gpus = 0, ram_gb = 1, image_gb = 1, run_s = 60;
  double snapshot_s = 0, flush_s = 1;
  bool loaners = false;
  std::optional<std::string> hall;
  std::optional<std::vector<std::string>> racks;

  [[nodiscard]] std::string body() const {
    json::object message{{"nameId", id},       {"lane", lane},         {"crew", crew},
                         {"shape", shape},     {"urgency", urgency},   {"pieces", pieces},
                         {"vcpus", cpus},      {"gpus", gpus},         {"ramGb", ram_gb},
                         {"plate", plate},     {"imageGb", image_gb},  {"together", false},
                         {"scatter", false},   {"loaners", loaners},   {"expectS", run_s},
                         {"snapshotS", snapshot_s}, {"flushS", flush_s}, {"dueS", nullptr}};
    message["hall"] = hall ? json::value(*hall) : json::value(nullptr);
    if (racks) {
      json::array list;
      for (const auto& rack : *racks) list.emplace_back(rack);
      message["racks"] = list;
    } else {
      message["racks"] = nullptr;
    }
    return json::serialize(message);
  }
};

// What all workers and users share. Its lock protects it and all workers.
struct World {
  std::recursive_mutex mutex;
  std::map<std::string, Job> jobs;  // submitted jobs
  double report_s = 1, lease_s = 10;
  std::vector<std::string> labels;      // of the controller nodes
  std::map<std::string, int> node_ports;  // where workers and users call them, by label
  // For each task: the machines on which it is, from having its image until it is gone.
  std::map<std::string, std::map<std::string, std::uint64_t>> on_machine;  // task -> machine -> attempt
  std::map<std::string, std::set<std::string>> completed;                 // job -> tasks
  // Called when a task starts on a machine, after it was added to `on_machine`.
  std::function<void(const std::string& task, const std::string& machine, std::uint64_t attempt)> started;
  // Called when a worker executes a run command that it does not refuse.
  std::function<void(const std::string& task, const std::string& machine)> told_to_run;
  // Called with each answer to a worker's report; `leader` is the node that a 421 names.
  std::function<void(const std::string& machine, const std::string& node, int status, const std::string& leader)>
      answered;
  // Called when a task has completed.
  std::function<void(const std::string& task, const std::string& machine)> task_done;
};

// The worker of one machine.
class Worker {
 public:
  Worker(World& world, std::string name, Flavor flavor, std::string zone, bool spot, std::size_t first_node)
      : world_(world),
        name_(std::move(name)),
        flavor_(std::move(flavor)),
        zone_(std::move(zone)),
        spot_(spot),
        node_(first_node),
        random_(std::hash<std::string>{}(name_)),
        server_([this](const Request& request) { return handle(request); }) {}

  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  [[nodiscard]] const Flavor& flavor() const { return flavor_; }
  [[nodiscard]] bool spot() const { return spot_; }
  [[nodiscard]] std::string endpoint() const { return server_.endpoint(); }
  [[nodiscard]] bool up() const { return up_ && !gone_; }

  // The machine is up: its worker begins to report.
  void start() {
    up_ = true;
    lease_from_ = now_s();
    std::thread([this] { report_loop(); }).detach();
    std::thread([this] { step_loop(); }).detach();
    record.line("machine up " + name_);
  }
  // The machine and everything on it are gone.
  void vanish() {
    std::scoped_lock lock(world_.mutex);
    if (gone_) return;
    gone_ = true;
    server_.vanish();
    for (auto& [key, task] : tasks_) leave(key.first);
    tasks_.clear();
    record.line("machine gone " + name_);
  }
  // Free resources, counting every task that has not ended.
  void free(double& cpus, double& gpus, double& ram_gb) {
    std::scoped_lock lock(world_.mutex);
    cpus = flavor_.cpus, gpus = flavor_.gpus, ram_gb = flavor_.ram_gb;
    for (const auto& [key, task] : tasks_) {
      if (task.status == "ended") continue;
      cpus -= task.job.cpus, gpus -= task.job.gpus, ram_gb -= task.job.ram_gb;
    }
  }
  // The running task completes after this time.
  void complete_in(const std::string& name, double seconds) {
    std::scoped_lock lock(world_.mutex);
    for (auto& [key, task] : tasks_)
      if (key.first == name && task.status == "running") task.ends_at = now_s() + seconds;
  }
  // True if the worker reports this attempt, in whatever state.
  [[nodiscard]] bool reports(const std::string& name, std::uint64_t attempt) {
    std::scoped_lock lock(world_.mutex);
    return tasks_.contains({name, attempt});
  }
  [[nodiscard]] bool has_image(const std::string& plate) {
    std::scoped_lock lock(world_.mutex);
    return images_.contains(plate);
  }

 private:
  struct Task {
    Job job;
    std::string status = "pulling", cause;
    bool stored = false;
    double image_at = 0, ends_at = 0, flushed_at = 0;
  };
  using Key = std::pair<std::string, std::uint64_t>;  // task, attempt

  json::object report() {
    json::array pieces;
    for (const auto& [key, task] : tasks_) {
      json::object piece{{"piece", key.first}, {"try", key.second}, {"status", task.status}};
      if (task.status == "ended") {
        piece["cause"] = task.cause;
        if (task.stored) piece["stored"] = true;
      }
      pieces.push_back(std::move(piece));
    }
    return {{"perch", name_},   {"endpoint", endpoint()}, {"rack", flavor_.name}, {"hall", zone_},
            {"loaners", spot_}, {"stint", stint_},        {"tick", ++tick_},      {"baton", baton_},
            {"warningS", nullptr}, {"pieces", std::move(pieces)}};
  }

  void leave(const std::string& task) {
    auto& machines = world_.on_machine[task];
    if (machines.erase(name_)) record.line("task " + task + " left " + name_);
  }

  static std::string job_of(const std::string& task) { return task.substr(0, task.rfind('/')); }

  void run(const std::string& name, std::uint64_t attempt) {
    const Key key{name, attempt};
    if (tasks_.contains(key)) return;
    changed_ = true;
    Task task;
    const auto refuse = [&](const char* cause) {
      task.status = "ended";
      task.cause = cause;
      tasks_[key] = task;
      record.line("worker " + name_ + " refuses " + name + " try=" + std::to_string(attempt) + " " + cause);
    };
    const auto job = world_.jobs.find(job_of(name));
    if (job == world_.jobs.end()) return refuse("no_such");
    for (const auto& [other, present] : tasks_)
      if (other.first == name && present.status != "ended") return refuse("in_use");
    task.job = job->second;
    double cpus, gpus, ram_gb;
    free(cpus, gpus, ram_gb);
    if (task.job.cpus > cpus + 1e-6 || task.job.gpus > gpus + 1e-6 || task.job.ram_gb > ram_gb + 1e-6)
      return refuse("full");
    const double now = now_s();
    auto& image_at = pulls_[task.job.plate];
    if (images_.contains(task.job.plate))
      image_at = now;
    else if (image_at < now)
      image_at = now + task.job.image_gb / flavor_.pull_gb_per_s;
    task.image_at = image_at;
    tasks_[key] = task;
    if (world_.told_to_run) world_.told_to_run(name, name_);
    if (world_.jobs.at(job_of(name)).pieces < 20)
      record.line("worker " + name_ + " was told to run " + name + " try=" + std::to_string(attempt));
    step();
  }
  void kill(const Key& key, double leeway_s) {
    const auto it = tasks_.find(key);
    if (it == tasks_.end() || it->second.status == "ended") return;
    auto& task = it->second;
    changed_ = true;
    record.line("worker " + name_ + " was told to kill " + key.first + " try=" + std::to_string(key.second));
    if (task.status == "running" && task.job.snapshot_s > 0 && leeway_s >= task.job.flush_s) {
      task.status = "flushing";
      task.flushed_at = now_s() + task.job.flush_s;
      return;
    }
    if (task.status == "flushing" && leeway_s > 0) return;
    end(key, task, "halted");
  }
  void end(const Key& key, Task& task, const std::string& cause) {
    task.status = "ended";
    task.cause = cause;
    changed_ = true;
    leave(key.first);
  }
  void execute(const json::array& orders) {
    for (const auto& item : orders) {
      const std::string verb(item.at("verb").as_string()), task(item.at("piece").as_string());
      const auto attempt = item.at("try").to_number<std::uint64_t>();
      if (verb == "run") run(task, attempt);
      if (verb == "kill") {
        const auto* leeway = item.as_object().if_contains("leewayS");
        kill({task, attempt}, leeway ? leeway->to_number<double>() : 0);
      }
      if (verb == "reap")
        if (const auto it = tasks_.find({task, attempt}); it != tasks_.end() && it->second.status == "ended")
          tasks_.erase(it), changed_ = true;
    }
  }
  void step() {
    const double now = now_s();
    if (now - lease_from_ > world_.lease_s) {
      for (auto& [key, task] : tasks_) leave(key.first);
      if (!tasks_.empty()) record.line("worker " + name_ + " lease expired, tasks killed");
      tasks_.clear();
      pulls_.clear();
      ++stint_;
      lease_from_ = now;
      changed_ = true;
    }
    for (auto& [key, task] : tasks_) {
      if (task.status == "pulling" && now >= task.image_at) {
        images_.insert(task.job.plate);
        task.status = "running";
        // The result of a completed task is kept.
        task.ends_at = results_.contains(key.first) ? now : now + task.job.run_s;
        changed_ = true;
        world_.on_machine[key.first][name_] = key.second;
        if (task.job.pieces < 20)
          record.line("task " + key.first + " try=" + std::to_string(key.second) + " runs on " + name_);
        if (world_.started) world_.started(key.first, name_, key.second);
      } else if (task.status == "running" && now >= task.ends_at) {
        world_.completed[job_of(key.first)].insert(key.first);
        results_.insert(key.first);
        record.line("task " + key.first + " completed on " + name_);
        end(key, task, "done");
        if (world_.task_done) world_.task_done(key.first, name_);
      } else if (task.status == "flushing" && now >= task.flushed_at) {
        task.stored = true;
        end(key, task, "halted");
      }
    }
  }
  void step_loop() {
    while (!gone_) {
      {
        std::scoped_lock lock(world_.mutex);
        if (!gone_) step();
      }
      sleep_s(0.05);
    }
  }

  Reply handle(const Request& request) {
    std::scoped_lock lock(world_.mutex);
    if (gone_ || !up_) return {};
    step();
    if (request.target == "/status") return {200, json::serialize(report())};
    const auto message = json::parse(request.body).as_object();
    if (!message.contains("baton") || !message.contains("stint")) return {400, "{}"};
    const auto baton = message.at("baton").to_number<std::uint64_t>();
    if (baton < baton_ || message.at("stint").to_number<std::uint64_t>() != stint_)
      return {409, json::serialize(report())};
    if (baton > baton_) baton_ = baton, changed_ = true;
    if (const auto* orders = message.if_contains("orders")) execute(orders->as_array());
    return {200, json::serialize(report())};
  }

  void report_loop() {
    std::uniform_real_distribution<double> spread(0.75, 1.25);
    while (!gone_) {
      std::string body, label;
      std::uint64_t stint = 0;
      double sent = 0;
      {
        std::scoped_lock lock(world_.mutex);
        if (gone_) return;
        step();
        body = json::serialize(report());
        stint = stint_;
        sent = now_s();
        changed_ = false;
        label = world_.labels[node_ % world_.labels.size()];
      }
      const auto reply = call(world_.node_ports.at(label), "POST", "/hello", body, 4);
      if (gone_) return;
      if (reply.status == 200) {
        if (world_.answered) world_.answered(name_, label, 200, "");
        std::scoped_lock lock(world_.mutex);
        const auto message = json::parse(reply.body).as_object();
        const auto* token = message.if_contains("baton");
        const auto baton = token ? token->to_number<std::uint64_t>() : 0;
        if (stint == stint_ && baton >= baton_ && !gone_) {
          lease_from_ = std::max(lease_from_, sent);
          if (baton > baton_) baton_ = baton, changed_ = true;
          execute(message.at("orders").as_array());
        }
      } else {
        std::string leader;
        if (reply.status == 421) {
          const auto message = json::parse(reply.body).as_object();
          if (const auto* named = message.if_contains("foreman")) leader = std::string(named->as_string());
        }
        if (world_.answered) world_.answered(name_, label, reply.status, leader);
        const auto known = std::find(world_.labels.begin(), world_.labels.end(), leader);
        if (note_ != label + std::to_string(reply.status) + leader) {
          note_ = label + std::to_string(reply.status) + leader;
          record.line("worker " + name_ + " report to " + label + " -> " + std::to_string(reply.status) + " " +
                      leader);
        }
        if (known != world_.labels.end() && leader != label) {
          node_ = static_cast<std::size_t>(known - world_.labels.begin());
          sleep_s(0.05);
        } else {
          node_ = (node_ + 1) % world_.labels.size();
          sleep_s(1);
        }
        continue;
      }
      const double next = sent + world_.report_s * spread(random_);
      const double earliest = sent + 0.5;
      while (!gone_) {
        const double now = now_s();
        bool due;
        {
          std::scoped_lock lock(world_.mutex);
          due = now >= next || (changed_ && now >= earliest);
        }
        if (due) break;
        sleep_s(0.02);
      }
    }
  }

  World& world_;
  std::string name_;
  Flavor flavor_;
  std::string zone_;
  bool spot_;
  std::atomic<std::size_t> node_;
  std::atomic<bool> up_{false}, gone_{false};
  std::mt19937 random_;
  std::string note_;
  std::uint64_t stint_ = 1, tick_ = 0, baton_ = 0;
  double lease_from_ = 0;
  bool changed_ = false;
  std::map<Key, Task> tasks_;
  std::set<std::string> images_, results_;
  std::map<std::string, double> pulls_;
  Server server_;
};

struct Site {
  std::vector<std::pair<std::string, std::string>> nodes;  // label, zone
  std::vector<std::string> zones;
  std::string teams;       // TOML
  std::string limits;      // TOML of deployment.workers, .state, .cloud, .quota
  std::string objectives;  // TOML
};

// The controllers of a deployment, as separate processes.
class Controllers {
 public:
  Controllers(World& world, const Site& site, const std::string& store, const std::string& cloud,
              const std::string& folder)
      : folder_(folder) {
    std::map<std::string, int> peer_ports;
    for (const auto& [label, _] : site.nodes) {
      world.labels.push_back(label);
      world.node_ports[label] = free_port();
      peer_ports[label] = free_port();
    }
    for (const auto& [label, zone] : site.nodes) {
      std::ofstream file(settings(label));
      file << "label = \"" << label << "\"\ndomain = \"" << zone << "\"\nbind = \"127.0.0.1:"
           << world.node_ports[label] << "\"\npeer_listen = \"127.0.0.1:" << peer_ports[label] << "\"\n";
      for (const auto& [other, other_zone] : site.nodes)
        if (other != label)
          file << "[[members]]\nlabel = \"" << other << "\"\ndomain = \"" << other_zone
               << "\"\nendpoint = \"127.0.0.1:" << peer_ports[other] << "\"\n";
      file << "[endpoints]\ncloud = \"" << cloud << "\"\nstate = \"" << store << "\"\n[deployment]\nnodes = "
           << site.nodes.size() << "\nzones = [";
      for (std::size_t i = 0; i < site.zones.size(); ++i) file << (i ? ", " : "") << '"' << site.zones[i] << '"';
      file << "]\nclock_error_ms = 25.0\n" << site.teams << site.objectives << site.limits;
    }
  }
  // Adds lines to the settings files, which the next processes read.
  void add_settings(const std::string& lines) {
    for (const auto& [label, _] : pids_) std::ofstream(settings(label), std::ios::app) << lines;
  }
  // Call from the main thread only: a child ends with the thread that started it.
  void start(const std::string& label) {
    record.line("controller " + label + " starts");
    pids_[label] = Processes::start(settings(label), folder_ + "/" + label + ".log");
  }
  void crash(const std::string& label) {
    record.line("controller " + label + " killed");
    Processes::kill(pids_.at(label));
  }
  void check() {
    for (const auto& [label, pid] : pids_)
      if (Processes::ended(pid)) finish(2, "controller " + label + " ended by itself");
  }
  void wait_until_ready(World& world, double until_s) {
    for (const auto& label : world.labels)
      while (call(world.node_ports.at(label), "GET", "/up", "", 1).status != 200) {
        if (now_s() > until_s) finish(2, "controllers not ready");
        sleep_s(0.1);
      }
  }

 private:
  [[nodiscard]] std::string settings(const std::string& label) const { return folder_ + "/" + label + ".toml"; }
  std::string folder_;
  std::map<std::string, pid_t> pids_;
};

// Submits the job to one node after the other until it is accepted. Returns false after 60 s.
inline bool submit(World& world, const Job& job) {
  {
    std::scoped_lock lock(world.mutex);
    world.jobs[job.id] = job;
  }
  const double until = now_s() + 60;
  for (std::size_t node = 0; now_s() < until; ++node) {
    const auto& label = world.labels[node % world.labels.size()];
    const auto reply = call(world.node_ports.at(label), "POST", "/submissions", job.body(), 5);
    record.line("user submits " + job.id + " to " + label + " -> " + std::to_string(reply.status) + " " +
                reply.body);
    if (reply.status == 200 || reply.status == 201) return true;
    if (reply.status == 400 || reply.status == 422) finish(2, "submission refused: " + reply.body);
    sleep_s(1);
  }
  return false;
}

}  // namespace review
