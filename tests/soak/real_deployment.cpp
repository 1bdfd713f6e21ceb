#include "soak/real_deployment.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "http/status.hpp"

namespace finchrun::soak {
namespace {

constexpr std::uint16_t kFirstPort = 10000;  // below those that the system gives to connections
constexpr int kMaxConnections = 4000;        // of each stand-in
constexpr std::size_t kIdleConnections = 64;
constexpr double kStepS = 0.01;      // of the agents and the checks
constexpr double kForeverS = 86400;  // longer than any run
constexpr double kMachineGpus = 4;
constexpr double kMinLateS = 2, kMaxLateWriteS = 12;
constexpr double kMinRepeatDelayS = 0.3;

// Returns a loopback address that no other process of the soak uses at the same time.
std::string own_loopback_address() {
  constexpr int kValues = 250;
  const int process = ::getpid();
  return fmt::format("127.{}.{}.1", 1 + process / kValues % kValues, 1 + process % kValues);
}

http::Verb verb_of(const http::Request& request) {
  return boost::beast::http::string_to_verb(request.method);
}

}  // namespace

RealDeployment::RealDeployment(asio::io_context& io, const Options& options, std::uint32_t seed,
                               const std::filesystem::path& folder)
    : Deployment(seed),
      io_(io),
      deadlines_(std::make_shared<core::SocketDeadlines>(io.get_executor(), std::chrono::milliseconds(50))),
      controllers_(static_cast<std::size_t>(options.controllers)),
      started_at_(core::SteadyClock::now()),
      host_(own_loopback_address()),
      next_port_(kFirstPort),
      events_(folder / "events.log") {
  update_now();
  set_up_deployment(options);
  start_controllers(options, folder);
  asio::co_spawn(io_, tick(), asio::detached);
}

void RealDeployment::set_up_deployment(const Options& options) {
  constexpr double kRedShare = 0.6, kBlueShare = 0.8;  // of all accelerators, as the teams' limits
  const double gpus = options.machines * kMachineGpus;
  settings_.zones = {"a", "b"};
  settings_.controller_count = options.controllers;
  settings_.teams = {{"red", 0, 0, gpus / 3, gpus * kRedShare}, {"blue", 0, 0, gpus / 3, gpus * kBlueShare}};
  draw_agent_times();
  settings_.gang_peer_s = 4;
  settings_.store_limits.requests_per_s = 400;
  settings_.store_limits.writes_per_s = 80;
  settings_.cloud_requests_per_s = 30;
  settings_.cloud_list_lag_s = 3;
  store.max_changes_kept = 10000;
  cloud.capacity = options.machines / 2 + 2;
  cloud.on_release = [this](const std::string& name) {
    log_event("released " + name);
    agents.erase(name);
  };
  cloud.endpoint_of = [this](int number) { return listen_for_agent(number); };
  for (int i = 0; i < options.machines; ++i) cloud.add_machine(i % 2 == 0 ? "a" : "b", now_, 0);
}

// A time without pressure, the two ratios of the deployments, and little more than settings allow.
void RealDeployment::draw_agent_times() {
  static constexpr sim::AgentTiming kTimings[] = {{1, 8, 20}, {1.5, 9, 14}, {1, 7.6, 17.6}, {0.7, 6, 10.2}};
  const auto& timing = kTimings[random() % std::size(kTimings)];
  settings_.heartbeat_interval_s = timing.heartbeat_interval_s;
  settings_.agent_lease_s = timing.agent_lease_s;
  settings_.cancel_s = timing.cancel_s;
  log_fault(fmt::format("agents: heartbeats each {} s, lease {} s, cancellations within {} s",
                        timing.heartbeat_interval_s, timing.agent_lease_s, timing.cancel_s));
}

config::Endpoint RealDeployment::next_endpoint() { return {host_, next_port_++}; }

std::string RealDeployment::listen_for_agent(int number) {
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

void RealDeployment::start_controllers(const Options& options, const std::filesystem::path& folder) {
  for (std::size_t n = 0; n < controllers_.size(); ++n) {
    auto& controller = controllers_[n];
    controller.label = "perch-" + std::to_string(n);
    controller.zone = settings_.zones[n % settings_.zones.size()];
    for (auto* endpoint : {&controller.listen, &controller.peer_listen, &controller.store, &controller.cloud})
      *endpoint = next_endpoint();
    const auto serve = [this](const config::Endpoint& endpoint, http::Handler handler) {
      asio::co_spawn(io_, http::serve(endpoint, std::move(handler), kMaxConnections), asio::detached);
    };
    serve(controller.store, [this, n](http::Request request) { return handle_store(n, std::move(request)); });
    serve(controller.cloud, [this, n](http::Request request) { return handle_cloud(n, std::move(request)); });
    const auto client = [&] {
      return std::make_unique<http::Client>(deadlines_, io_.get_executor(), controller.listen,
                                            kIdleConnections);
    };
    controller.users = client();
    controller.agents = client();
  }
  for (std::size_t n = 0; n < controllers_.size(); ++n)
    for (std::size_t peer = 0; peer < controllers_.size(); ++peer)
      if (peer != n)
        controllers_[n].links[peer] =
            std::make_unique<TcpForwarder>(io_, next_endpoint(), controllers_[peer].peer_listen);
  for (std::size_t n = 0; n < controllers_.size(); ++n) {
    const auto settings = folder / (controllers_[n].label + ".toml");
    std::ofstream(settings) << settings_of(n);
    controllers_[n].process = std::make_unique<ControllerProcess>(
        options.command, settings, folder / (controllers_[n].label + ".log"), options.log_level);
    controllers_[n].process->start();
  }
}

std::string RealDeployment::settings_of(std::size_t number) const {
  const auto& controller = controllers_[number];
  std::string text =
      fmt::format("label = \"{}\"\ndomain = \"{}\"\nbind = \"{}\"\npeer_listen = \"{}\"\n", controller.label,
                  controller.zone, controller.listen.text(), controller.peer_listen.text());
  for (const auto& [peer, link] : controller.links)
    text += fmt::format("[[members]]\nlabel = \"{}\"\ndomain = \"{}\"\nendpoint = \"{}:{}\"\n",
                        controllers_[peer].label, controllers_[peer].zone, link->endpoint().host,
                        link->endpoint().port);
  text += fmt::format("[endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n", controller.cloud.text(),
                      controller.store.text());
  text += fmt::format("[deployment]\nnodes = {}\nzones = [\"a\", \"b\"]\n", controllers_.size());
  for (const auto& team : settings_.teams)
    text += fmt::format("[[deployment.teams]]\nname = \"{}\"\ngpus = {:.1f}\ngpus_max = {:.1f}\n", team.name,
                        team.gpus, team.gpus_max);
  text += fmt::format(
      "[deployment.workers]\nreport_s = {:.2f}\nlease_s = {:.2f}\ngang_peer_s = {:.2f}\ncancel_s = {:.2f}\n",
      settings_.heartbeat_interval_s, settings_.agent_lease_s, settings_.gang_peer_s, settings_.cancel_s);
  text += fmt::format("[deployment.state]\nrps = {:.1f}\nwrite_rps = {:.1f}\n",
                      settings_.store_limits.requests_per_s, settings_.store_limits.writes_per_s);
  text += fmt::format("[deployment.cloud]\nrps = {:.1f}\nlist_lag_s = {:.1f}\n",
                      settings_.cloud_requests_per_s, settings_.cloud_list_lag_s);
  return text + "[deployment.quota]\nfd_limit = 3000\n";
}

void RealDeployment::run(double seconds) {
  io_.restart();
  io_.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(core::Seconds(seconds)));
}

void RealDeployment::post(double delay_s, std::function<void()> action) {
  auto timer = std::make_shared<core::Timer>(io_, core::to_duration(delay_s));
  timer->async_wait([this, timer, action = std::move(action)](const boost::system::error_code& ec) {
    if (ec) return;
    update_now();
    action();
  });
}

asio::awaitable<void> RealDeployment::sleep(double seconds) {
  core::Timer timer(io_, core::to_duration(seconds));
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  update_now();
}

asio::awaitable<http::Response> RealDeployment::no_answer() {
  co_await sleep(kForeverS);
  co_return http::Response{};
}

void RealDeployment::send_request(std::size_t controller, http::Request request,
                                  std::function<void(std::optional<http::Response>)> done, double timeout_s) {
  asio::co_spawn(io_, call(controller, std::move(request), std::move(done), timeout_s), asio::detached);
}

asio::awaitable<void> RealDeployment::call(std::size_t number, http::Request request,
                                           std::function<void(std::optional<http::Response>)> done,
                                           double timeout_s) {
  auto& controller = controllers_[number];
  auto& client = request.target == "/hello" ? *controller.agents : *controller.users;
  const auto verb = verb_of(request);
  const std::string target = request.target;
  const std::string body = request.body;
  const auto timeout = std::chrono::milliseconds(static_cast<int>(timeout_s * 1000));
  auto answer = co_await client.call(verb, request.target, std::move(request.body), timeout);
  update_now();
  if (target != "/hello" || answer.body.find("\"verb\"") != std::string::npos)
    log_event(fmt::format("{} {} {} -> {} {}", controller.label, target, body, answer.status, answer.body));
  if (answer.status == http::status::kNoAnswer) {
    done(std::nullopt);
  } else {
    done(http::Response{answer.status, std::move(answer.body)});
  }
}

asio::awaitable<http::Response> RealDeployment::respond(http::ClientResponse response) {
  if (chance(faults.response_loss_probability)) co_return co_await no_answer();
  if (chance(faults.slow_response_probability)) co_await sleep(random_s(0, faults.max_slow_response_s));
  co_return http::Response{response.status, std::move(response.body)};
}

asio::awaitable<http::Response> RealDeployment::handle_store(std::size_t controller, http::Request request) {
  const std::pair link{controller, std::string("state")};
  const auto verb = verb_of(request);
  co_await sleep(delay() + (request.target.starts_with("/follow") && now_ < slow_reads_until_
                                ? faults.slow_read_delay_s
                                : 0));
  if (blocked_links.contains(link) || chance(faults.request_loss_probability)) co_return co_await no_answer();
  if (refused_by_store.contains(controller))
    co_return http::Response{http::status::kServiceUnavailable, "{}"};
  if (request.target == "/commit" && on_commit && !store.outage)
    on_commit(sim::json::parse(request.body).as_object());
  const auto execute = [this, verb, target = request.target, body = request.body] {
    return store.handle(verb, target, body, now_);
  };
  if (request.target == "/commit" && chance(faults.late_write_probability)) {
    post(random_s(0, 1) < 0.5 ? 0 : random_s(kMinLateS, kMaxLateWriteS), [execute] { execute(); });
    co_return co_await no_answer();
  }
  auto response = execute();
  if (verb != http::Verb::get && chance(faults.repeated_request_probability))
    post(random_s(kMinRepeatDelayS, faults.max_duplicate_delay_s), [execute] { execute(); });
  co_await sleep(delay());
  if (blocked_links.contains(link)) co_return co_await no_answer();
  co_return co_await respond(std::move(response));
}

asio::awaitable<http::Response> RealDeployment::handle_cloud(std::size_t controller, http::Request request) {
  const std::pair link{controller, std::string("cloud")};
  const auto verb = verb_of(request);
  co_await sleep(delay());
  if (blocked_links.contains(link) || chance(faults.request_loss_probability)) co_return co_await no_answer();
  auto response = cloud.handle(verb, request.target, request.body, now_);
  if (verb != http::Verb::get && chance(faults.repeated_request_probability))
    post(random_s(kMinRepeatDelayS, faults.max_duplicate_delay_s),
         [this, verb, request] { cloud.handle(verb, request.target, request.body, now_); });
  co_return co_await respond(std::move(response));
}

asio::awaitable<http::Response> RealDeployment::handle_commands(std::string machine, http::Request request) {
  const auto execute = [this, machine, body = request.body]() -> http::ClientResponse {
    const auto found = agents.find(machine);
    if (found == agents.end() || found->second.dead) return {};
    auto& agent = found->second;
    if (agent.suspended) {
      agent.deferred_commands.push_back(body);
      return {};
    }
    auto answer = agent.handle_commands(body, jobs, now_);
    log_event(fmt::format("{} /do {} -> {} {}", machine, body, answer.status, answer.body));
    return answer;
  };
  co_await sleep(delay());
  const auto found = agents.find(machine);
  if (found == agents.end() || found->second.inbound_blocked || chance(faults.request_loss_probability))
    co_return co_await no_answer();
  if (now_ < commands_held_until_) {
    post(core::seconds_between(now_, commands_held_until_), [execute] { execute(); });
    co_return co_await no_answer();
  }
  if (chance(faults.late_command_probability)) {
    post(random_s(kMinLateS, faults.max_late_command_s), [execute] { execute(); });
    co_return co_await no_answer();
  }
  auto answer = execute();
  if (answer.status == http::status::kNoAnswer) co_return co_await no_answer();
  co_await sleep(delay());
  co_return co_await respond(std::move(answer));
}

asio::awaitable<void> RealDeployment::tick() {
  auto last = core::SteadyClock::now();
  while (true) {
    co_await sleep(kStepS);
    longest_stall_s_ = std::max(longest_stall_s_, core::seconds_between(last, now_) - kStepS);
    last = now_;
    for (auto& controller : controllers_)
      if (controller.process->has_ended_by_itself())
        violations.push_back("ended by itself " + controller.label);
    step_agents();
    check_rules();
    for (; violations_logged_ < violations.size(); ++violations_logged_)
      log_event("VIOLATION " + violations[violations_logged_]);
  }
}

void RealDeployment::kill_controller(std::size_t number, double restart_after_s) {
  auto& controller = controllers_[number];
  if (!controller.process->is_running()) return;
  log_fault(fmt::format("kill {} for {:.1f} s", controller.label, restart_after_s));
  controller.process->kill();
  after(restart_after_s, [&controller] { controller.process->start(); });
}

void RealDeployment::pause_controller(std::size_t number, double duration_s) {
  auto& controller = controllers_[number];
  log_fault(fmt::format("pause {} for {:.1f} s", controller.label, duration_s));
  controller.process->pause();
  after(duration_s, [&controller] { controller.process->resume(); });
}

void RealDeployment::hold_peer_links(std::size_t number, LinkDirections directions, double duration_s) {
  log_fault(fmt::format("hold peer links of {} for {:.1f} s, directions {}", controllers_[number].label,
                        duration_s, static_cast<int>(directions)));
  const auto set = [this, number, directions](bool held) {
    for (auto& [peer, link] : controllers_[number].links) {
      auto& back = *controllers_[peer].links.at(number);
      if (directions != LinkDirections::answers) link->holds_requests = back.holds_answers = held;
      if (directions != LinkDirections::requests) link->holds_answers = back.holds_requests = held;
    }
  };
  set(true);
  after(duration_s, [set] { set(false); });
}

void RealDeployment::reset_peer_links(std::size_t number) {
  log_fault("reset peer links of " + controllers_[number].label);
  for (auto& [peer, link] : controllers_[number].links) {
    link->reset_connections();
    controllers_[peer].links.at(number)->reset_connections();
  }
}

void RealDeployment::hold_commands(double duration_s) {
  log_fault(fmt::format("hold direct commands for {:.1f} s", duration_s));
  commands_held_until_ = std::max(commands_held_until_, now_ + core::to_duration(duration_s));
}

std::string RealDeployment::time_text() const {
  return fmt::format("{:8.3f}", core::seconds_between(started_at_, core::SteadyClock::now()));
}

void RealDeployment::log_event(const std::string& text) { events_ << time_text() << ' ' << text << '\n'; }

void RealDeployment::log_fault(const std::string& text) {
  faults_log_.push_back(time_text() + " " + text);
  log_event("FAULT " + text);
}

}  // namespace finchrun::soak
