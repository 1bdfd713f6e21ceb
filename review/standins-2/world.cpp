#include "world.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdlib>

#include "http/server.hpp"
#include "http/status.hpp"

namespace finchrun::review {
namespace {

constexpr int kMaxConnections = 1000;
constexpr std::size_t kIdleConnections = 16;
constexpr double kStepS = 0.01, kNetworkDelayS = 0.002;
constexpr double kReportS = 1, kLeaseS = 10, kCancelS = 30, kListLagS = 3;
constexpr double kPollPauseS = 5, kPollTimeoutS = 2, kRetryPauseS = 1, kSubmitTimeoutS = 5;
constexpr double kTolerance = 1e-6;
// The limits that the store announces.
constexpr std::size_t kNextValueKb = 2, kNextChanges = 5;
constexpr double kNextWriteRps = 35;

std::string kind_of(const std::string& type, const std::string& zone, bool spot) {
  return type + "|" + zone + (spot ? "|spot" : "|own");
}

double number(const json::object& spec, const char* key) { return spec.at(key).to_number<double>(); }

}  // namespace

World::World(asio::io_context& io, std::vector<std::string> command, const std::filesystem::path& folder)
    : Deployment(1),
      io_(io),
      command_(std::move(command)),
      folder_(folder),
      temporary_(std::filesystem::temp_directory_path() / fmt::format("finchrun-review-{}", ::getpid())),
      deadlines_(std::make_shared<core::SocketDeadlines>(io.get_executor(), std::chrono::milliseconds(50))),
      controllers_(3),
      started_at_(core::SteadyClock::now()),
      host_(fmt::format("127.{}.{}.1", 1 + ::getpid() / 250 % 250, 1 + ::getpid() % 250)),
      record_(folder / "record.txt") {
  update_now();
  std::filesystem::create_directories(temporary_);
  settings_.zones = {"zone-a", "zone-b"};
  settings_.heartbeat_interval_s = kReportS;
  settings_.agent_lease_s = kLeaseS;
  settings_.cancel_s = kCancelS;
  settings_.gang_peer_s = 6;
  store.max_changes_kept = 10000;
  cloud.on_release = [this](const std::string& name) {
    record("cloud: machine deleted " + name);
    agents.erase(name);
  };
  cloud.endpoint_of = [this](int machine) { return listen_for_agent(machine); };
}

World::~World() {
  controllers_.clear();  // kills the processes
  std::error_code ignored;
  if (!std::getenv("REVIEW_KEEP_LOGS")) std::filesystem::remove_all(temporary_, ignored);
}

config::Endpoint World::next_endpoint() {
  while (true) {
    const config::Endpoint endpoint{host_, next_port_++};
    boost::system::error_code ec;
    asio::ip::tcp::acceptor probe(io_);
    const asio::ip::tcp::endpoint address(asio::ip::make_address_v4(endpoint.host), endpoint.port);
    probe.open(address.protocol(), ec);
    if (!ec) probe.bind(address, ec);
    if (!ec) return endpoint;
  }
}

std::string World::listen_for_agent(int number) {
  const auto endpoint = next_endpoint();
  const auto machine = fmt::format("host-{:06}", number);
  asio::co_spawn(
      io_,
      http::serve(
          endpoint,
          [this, machine](http::Request request) { return handle_commands(machine, std::move(request)); },
          kMaxConnections),
      asio::detached);
  return endpoint.text();
}

void World::start() {
  for (std::size_t n = 0; n < controllers_.size(); ++n) {
    auto& controller = controllers_[n];
    controller.label = "perch-" + std::to_string(n);
    controller.zone = settings_.zones[n % settings_.zones.size()];
    for (auto* endpoint : {&controller.listen, &controller.peer_listen, &controller.store, &controller.cloud})
      *endpoint = next_endpoint();
    asio::co_spawn(
        io_,
        http::serve(
            controller.store, [this](http::Request request) { return handle_store(std::move(request)); },
            kMaxConnections),
        asio::detached);
    asio::co_spawn(
        io_,
        http::serve(
            controller.cloud, [this](http::Request request) { return handle_cloud(std::move(request)); },
            kMaxConnections),
        asio::detached);
    const auto client = [&] {
      return std::make_unique<http::Client>(deadlines_, io_.get_executor(), controller.listen,
                                            kIdleConnections);
    };
    controller.users = client();
    controller.agents = client();
  }
  for (std::size_t n = 0; n < controllers_.size(); ++n) {
    const auto settings = temporary_ / (controllers_[n].label + ".toml");
    std::ofstream(settings) << settings_of(n);
    controllers_[n].process = std::make_unique<soak::ControllerProcess>(
        command_, settings, temporary_ / (controllers_[n].label + ".log"), "info");
    controllers_[n].process->start();
    record("controller started " + controllers_[n].label);
  }
  asio::co_spawn(io_, tick(), asio::detached);
}

// Like the small deployment with two zones: its intervals, and limits of the store and the cloud between the
// two small deployments.
std::string World::settings_of(std::size_t number) const {
  const auto& controller = controllers_[number];
  std::string text =
      fmt::format("label = \"{}\"\ndomain = \"{}\"\nbind = \"{}\"\npeer_listen = \"{}\"\n", controller.label,
                  controller.zone, controller.listen.text(), controller.peer_listen.text());
  for (std::size_t peer = 0; peer < controllers_.size(); ++peer)
    if (peer != number)
      text += fmt::format("[[members]]\nlabel = \"{}\"\ndomain = \"{}\"\nendpoint = \"{}\"\n",
                          controllers_[peer].label, controllers_[peer].zone,
                          controllers_[peer].peer_listen.text());
  text += fmt::format("[endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n", controller.cloud.text(),
                      controller.store.text());
  text += fmt::format("[deployment]\nnodes = {}\nzones = [\"zone-a\", \"zone-b\"]\nclock_error_ms = 100.0\n",
                      controllers_.size());
  for (const auto& [name, gpus] : {std::pair(kTeam, kTeamGpus), std::pair(kLimitedTeam, kLimitedTeamGpus)})
    text += fmt::format("[[deployment.teams]]\nname = \"{}\"\ngpus = 0.0\ngpus_max = {:.1f}\n", name, gpus);
  text += fmt::format(
      "[deployment.workers]\nreport_s = {:.1f}\nlease_s = {:.1f}\ngang_wait_s = 50.0\ngang_peer_s = 6.0\n"
      "cancel_s = {:.1f}\n",
      kReportS, kLeaseS, kCancelS);
  text += fmt::format("[deployment.state]\nrps = {:.1f}\nwrite_rps = {:.1f}\nvalue_kb = 8.0\ntxn_ops = 16\n",
                      store_rps, store_write_rps);
  if (announces_limits)
    text += fmt::format(
        "[deployment.state.next]\nrps = {:.1f}\nwrite_rps = {:.1f}\nvalue_kb = {}.0\ntxn_ops = {}\n",
        store_rps, kNextWriteRps, kNextValueKb, kNextChanges);
  text += fmt::format("[deployment.cloud]\nrps = 6.0\nlist_lag_s = {:.1f}\n", kListLagS);
  return text + "[deployment.quota]\ncore_share = 0.16\nram_mb = 264.0\nfd_limit = 700\n";
}

const MachineType& World::type_of(const std::string& name) const {
  return *std::find_if(types.begin(), types.end(), [&](const auto& type) { return type.name == name; });
}

std::string World::flavors() const {
  json::array racks;
  for (const auto& type : types) {
    json::array halls;
    for (const auto& zone : type.zones) halls.emplace_back(zone);
    racks.push_back(json::object{{"name", type.name},
                                 {"vcpus", type.cpus},
                                 {"gpus", type.gpus},
                                 {"ramGb", type.ram_gb},
                                 {"cacheGb", 90.0},
                                 {"pullGbPerS", 1.0},
                                 {"rate", 29.0},
                                 {"spotPrice", 12.0},
                                 {"readyS", 30},
                                 {"halls", std::move(halls)}});
  }
  return json::serialize(json::object{{"racks", std::move(racks)}});
}

std::string World::add_machine(const std::string& type, const std::string& zone, bool spot) {
  const auto name = cloud.add_machine(zone, now_, 0);
  cloud.hosts[name].type = type;
  cloud.hosts[name].spot = spot;
  record(fmt::format("cloud: machine up {} {}", name, kind_of(type, zone, spot)));
  return name;
}

void World::take_back(const std::string& machine) {
  record("TROUBLE: the cloud takes back " + machine + " without notice");
  remove_machine(machine);
}

void World::lower_limits() {
  record("TROUBLE: the state service lowers its limits");
  store.max_value_bytes = kNextValueKb * 1024;
  store.max_transaction_writes = kNextChanges;
}

void World::crash_all(double restart_after_s) {
  record("TROUBLE: all controllers are killed");
  for (auto& controller : controllers_) controller.process->kill();
  post(restart_after_s, [this] {
    for (auto& controller : controllers_) controller.process->start();
    record("all controllers are started again");
  });
}

asio::awaitable<void> World::add_history(const std::string& like, int count, double per_s) {
  constexpr int kPerTransaction = 16;
  constexpr double kPauseS = 0.02;
  constexpr int kFirstNumber = 1000000;
  const auto value = store.items_with_prefix("jobs/" + like).at("jobs/" + like);
  record(fmt::format("store: {} more records like jobs/{}: {}", count, like, json::serialize(value)));
  const auto began = core::SteadyClock::now();
  for (int added = 0; added < count;) {
    const double due = core::seconds_between(began, core::SteadyClock::now()) * per_s;
    for (; added < count && added < due; added += kPerTransaction) {
      json::array writes;
      for (int i = added; i < std::min(count, added + kPerTransaction); ++i)
        writes.push_back(
            json::object{{"set", fmt::format("jobs/req-{}", kFirstNumber + i)}, {"data", value}});
      store.handle(http::Verb::post, "/commit",
                   json::serialize(json::object{{"when", json::array{}}, {"then", std::move(writes)}}), now_);
    }
    co_await sleep(kPauseS);
  }
  record("store: the records are there");
}

asio::awaitable<void> World::keep_asking(std::string id, double pause_s, std::function<void()> answered) {
  for (std::size_t n = 0;; n = (n + 1) % controllers_.size()) {
    send_request(
        n, {"GET", "/submissions/" + id, ""},
        [answered](std::optional<http::Response> response) {
          if (response && response->status == http::status::kOk) answered();
        },
        kPollTimeoutS);
    send_request(
        n, {"GET", "/up", ""}, [](std::optional<http::Response>) {}, 1);
    co_await sleep(pause_s);
  }
}

http::Response World::rent(const json::object& request) {
  const std::string hire(request.at("hire").as_string()), type(request.at("rack").as_string()),
      zone(request.at("hall").as_string());
  const bool spot = request.at("loaners").as_bool();
  if (!rented_.contains(hire)) {
    auto& left = capacity[kind_of(type, zone, spot)];
    if (left <= 0) return {http::status::kServiceUnavailable, R"({"error":"no capacity"})"};
    json::array names;
    for (auto wanted = request.at("howMany").to_number<int>(); wanted > 0 && left > 0; --wanted, --left) {
      const auto name = add_machine(type, zone, spot);
      cloud.hosts[name].ready_at = now_ + core::to_duration(new_machine_s);
      names.emplace_back(name);
    }
    rented_[hire] = std::move(names);
  }
  return {http::status::kOk, json::serialize(json::object{{"perches", rented_[hire]}})};
}

asio::awaitable<http::Response> World::handle_store(http::Request request) {
  co_await sleep(store_delay_s);
  auto answer =
      store.handle(boost::beast::http::string_to_verb(request.method), request.target, request.body, now_);
  if (answer.status == http::status::kBadRequest)
    record(fmt::format("state service: {} {} -> {} {}", request.target, request.body, answer.status,
                       answer.body));
  co_return http::Response{answer.status, std::move(answer.body)};
}

asio::awaitable<http::Response> World::handle_cloud(http::Request request) {
  co_await sleep(kNetworkDelayS);
  if (request.target == "/flavors") co_return http::Response{http::status::kOk, flavors()};
  if (request.target == "/hosts" && request.method == "POST") {
    auto answer = rent(json::parse(request.body).as_object());
    record(fmt::format("cloud: rental {} -> {} {}", request.body, answer.status, answer.body));
    co_return answer;
  }
  auto answer =
      cloud.handle(boost::beast::http::string_to_verb(request.method), request.target, request.body, now_);
  if (request.target == "/hosts/release")
    record(fmt::format("cloud: deletion {} -> {}", request.body, answer.status));
  co_return http::Response{answer.status, std::move(answer.body)};
}

asio::awaitable<http::Response> World::handle_commands(std::string machine, http::Request request) {
  co_await sleep(kNetworkDelayS);
  const auto found = agents.find(machine);
  if (found == agents.end()) {
    co_await sleep(30);  // a machine that is gone stays silent
    co_return http::Response{http::status::kServiceUnavailable, "{}"};
  }
  auto answer = found->second.handle_commands(request.body, jobs, now_);
  co_return http::Response{answer.status, std::move(answer.body)};
}

asio::awaitable<void> World::sleep(double seconds) {
  core::Timer timer(io_, core::to_duration(seconds));
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  update_now();
}

asio::awaitable<bool> World::wait_until(const Condition& condition, double timeout_s) {
  const auto deadline = core::SteadyClock::now() + core::to_duration(timeout_s);
  while (!condition()) {
    if (core::SteadyClock::now() > deadline) co_return false;
    co_await sleep(kStepS * 5);
  }
  co_return true;
}

void World::post(double delay_s, std::function<void()> action) {
  auto timer = std::make_shared<core::Timer>(io_, core::to_duration(delay_s));
  timer->async_wait([this, timer, action = std::move(action)](const boost::system::error_code& ec) {
    if (ec) return;
    update_now();
    action();
  });
}

void World::send_request(std::size_t controller, http::Request request,
                         std::function<void(std::optional<http::Response>)> done, double timeout_s) {
  asio::co_spawn(io_, call(controller, std::move(request), std::move(done), timeout_s), asio::detached);
}

asio::awaitable<void> World::call(std::size_t number, http::Request request,
                                  std::function<void(std::optional<http::Response>)> done, double timeout_s) {
  auto& controller = controllers_[number];
  const bool report = request.target == "/hello";
  auto& client = report ? *controller.agents : *controller.users;
  const std::string target = request.target, body = request.body, method = request.method;
  const auto timeout = std::chrono::milliseconds(static_cast<int>(timeout_s * 1000));
  auto answer = co_await client.call(boost::beast::http::string_to_verb(method), request.target,
                                     std::move(request.body), timeout);
  update_now();
  if (!report)
    record(fmt::format("user: {} {} {} at {} -> {} {}", method, target, body, controller.label, answer.status,
                       answer.body));
  if (answer.status == http::status::kNoAnswer) {
    done(std::nullopt);
  } else {
    done(http::Response{answer.status, std::move(answer.body)});
  }
}

std::string World::submit_job(const JobSpec& spec) {
  const auto id = fmt::format("req-{:06}", next_job_number_++);
  sim::JobHistory job;
  job.tasks = static_cast<std::uint32_t>(spec.tasks);
  job.gang = spec.shape == "ensemble";
  job.is_service = spec.shape == "standing";
  job.run_s = spec.run_s;
  job.image_pull_s = 0.2;
  job.team = spec.team;
  job.gpus = spec.gpus;
  job.spec = {{"nameId", id},
              {"lane", "work"},
              {"crew", spec.team},
              {"shape", spec.shape},
              {"urgency", spec.priority},
              {"pieces", spec.tasks},
              {"vcpus", spec.cpus},
              {"gpus", spec.gpus},
              {"ramGb", spec.ram_gb},
              {"plate", "img-1"},
              {"imageGb", 0.2},
              {"racks", nullptr},
              {"hall", nullptr},
              {"together", spec.together},
              {"scatter", spec.scatter},
              {"loaners", spec.spot},
              {"expectS", job.is_service ? 0.0 : spec.run_s},
              {"snapshotS", 0.0},
              {"flushS", 0.0},
              {"dueS", nullptr}};
  if (!spec.types.empty()) {
    json::array racks;
    for (const auto& type : spec.types) racks.emplace_back(type);
    job.spec["racks"] = std::move(racks);
  }
  if (!spec.zone.empty()) job.spec["hall"] = spec.zone;
  if (spec.mistaken) mistaken_.insert(id);
  jobs[id] = std::move(job);
  submit_once(id);
  return id;
}

void World::submit_once(const std::string& id) {
  request_once(random() % controllers_.size(), "POST", "/submissions", json::serialize(jobs.at(id).spec),
               [this, id](int status, const std::string&) {
                 auto& job = jobs.at(id);
                 if (status == http::status::kCreated || status == http::status::kOk) {
                   job.accepted = true;
                   job.accepted_at = now_;
                   return post(kPollPauseS / 2, [this, id] { poll(id); });
                 }
                 if (status == http::status::kBadRequest || status == http::status::kUnprocessable) return;
                 post(kRetryPauseS, [this, id] { submit_once(id); });
               });
}

void World::poll(const std::string& id) {
  send_request(
      random() % controllers_.size(), {"GET", "/submissions/" + id, ""},
      [this, id](std::optional<http::Response> response) {
        auto& job = jobs.at(id);
        if (response && response->status == http::status::kOk) {
          const auto status = std::string(json::parse(response->body).at("status").as_string());
          if (status == "done") job.reported_done = true;
          if (status == "done" || status == "cancelled") return;
        }
        post(kPollPauseS, [this, id] { poll(id); });
      },
      kPollTimeoutS);
}

void World::cancel_job(const std::string& id) {
  jobs.at(id).cancellation_requested = true;
  send_request(
      random() % controllers_.size(), {"POST", "/submissions/" + id + "/abort", ""},
      [this, id](std::optional<http::Response> response) {
        if (response && response->status == http::status::kOk) {
          if (!jobs.at(id).reported_cancelled_at) jobs.at(id).reported_cancelled_at = now_;
          return;
        }
        post(kRetryPauseS, [this, id] { cancel_job(id); });
      },
      kSubmitTimeoutS);
}

bool World::is_ready() const {
  if (store.items_with_prefix("parts/").size() < settings_.zones.size()) return false;
  return std::all_of(agents.begin(), agents.end(),
                     [](const auto& item) { return item.second.fencing_token > 0; });
}

std::size_t World::running(const std::string& id) const {
  std::size_t count = 0;
  for (const auto& [_, agent] : agents)
    for (const auto& [key, task] : agent.tasks) count += key.first == id && task.state == "running" ? 1 : 0;
  return count;
}

std::set<std::string> World::machines_of(const std::string& id) const {
  std::set<std::string> machines;
  for (const auto& [name, agent] : agents)
    for (const auto& [key, task] : agent.tasks)
      if (key.first == id && task.state == "running") machines.insert(name);
  return machines;
}

std::string World::machine_with_room(const std::string& id) const {
  const auto& job = jobs.at(id);
  if (!job.accepted || job.cancellation_requested) return {};
  std::set<std::uint32_t> present;
  std::map<std::string, std::size_t> in_zone;
  for (const auto& [_, agent] : agents)
    for (const auto& [key, task] : agent.tasks)
      if (key.first == id && task.state != "ended" && present.insert(key.second).second)
        ++in_zone[agent.zone];
  for (const auto task : job.completed) present.insert(task);
  if (present.size() >= job.tasks) return {};
  const auto& spec = job.spec;
  double team_gpus = job.team == kLimitedTeam ? kLimitedTeamGpus : kTeamGpus;
  for (const auto& [_, agent] : agents)
    for (const auto& [key, task] : agent.tasks)
      if (task.state != "ended" && jobs.at(key.first).team == job.team) team_gpus -= jobs.at(key.first).gpus;
  if (number(spec, "gpus") > team_gpus + kTolerance) return {};
  for (const auto& [name, agent] : agents) {
    if (agent.dead || agent.suspended || core::seconds_between(agent.last_answered, now_) > kLeaseS / 2)
      continue;
    if (agent.spot && !spec.at("loaners").as_bool()) continue;
    if (spec.at("hall").is_string() && spec.at("hall").as_string() != agent.zone) continue;
    if (spec.at("racks").is_array()) {
      const auto& racks = spec.at("racks").as_array();
      if (std::none_of(racks.begin(), racks.end(),
                       [&](const auto& rack) { return rack.as_string() == agent.type; }))
        continue;
    }
    const auto here = in_zone.contains(agent.zone) ? in_zone.at(agent.zone) : 0;
    if (spec.at("scatter").as_bool() && here >= (job.tasks + 1) / 2) continue;
    if (spec.at("together").as_bool() && !in_zone.empty() && here == 0) continue;
    const auto& type = type_of(agent.type);
    double cpus = type.cpus, gpus = type.gpus, ram_gb = type.ram_gb;
    for (const auto& [key, task] : agent.tasks) {
      if (task.state == "ended") continue;
      const auto& other = jobs.at(key.first).spec;
      cpus -= number(other, "vcpus"), gpus -= number(other, "gpus"), ram_gb -= number(other, "ramGb");
    }
    if (number(spec, "vcpus") <= cpus + kTolerance && number(spec, "gpus") <= gpus + kTolerance &&
        number(spec, "ramGb") <= ram_gb + kTolerance)
      return name;
  }
  return {};
}

void World::fail_mistaken_tasks() {
  for (auto& [name, agent] : agents)
    for (auto& [key, task] : agent.tasks) {
      if (!mistaken_.contains(key.first) || task.state != "running" || task.next_transition > now_) continue;
      task.state = "ended";
      task.cause = "error";
      agent.changed = true;
      failed_on[key.first].insert(name);
    }
}

void World::record_tasks() {
  std::map<std::string, std::string> states;
  for (const auto& [name, agent] : agents)
    for (const auto& [key, task] : agent.tasks)
      states[fmt::format("{} {}/{} try {}", name, key.first, key.second, task.attempt)] =
          task.state + (task.cause.empty() ? "" : " " + task.cause);
  for (const auto& [task, state] : states)
    if (const auto before = task_states_.find(task); before == task_states_.end() || before->second != state)
      record("worker: " + task + " " + state);
  for (const auto& [task, _] : task_states_)
    if (!states.contains(task)) record("worker: " + task + " is not there any more");
  task_states_ = std::move(states);
}

asio::awaitable<void> World::tick() {
  while (true) {
    co_await sleep(kStepS);
    fail_mistaken_tasks();
    step_agents();
    record_tasks();
  }
}

bool World::any_ended() {
  return std::any_of(controllers_.begin(), controllers_.end(),
                     [](auto& controller) { return controller.process->has_ended_by_itself(); });
}

double World::elapsed_s() const { return core::seconds_between(started_at_, core::SteadyClock::now()); }

void World::record(const std::string& text) {
  record_ << fmt::format("{:8.3f} {}\n", elapsed_s(), text);
  record_.flush();
}

}  // namespace finchrun::review
