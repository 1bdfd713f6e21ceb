#include "sim/cluster.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace finchrun::sim {
namespace {

constexpr double kGangPeerS = 4;
constexpr double kForever = 1e6;
// Processes that were killed: their coroutines are never resumed, so nothing of them may be destroyed either.
std::vector<std::shared_ptr<void>>& graveyard() {
  static auto* dead = new std::vector<std::shared_ptr<void>>;
  return *dead;
}

}  // namespace

struct Cluster::Line : http::Transport {
  Line(Cluster& c, asio::io_context& io, std::size_t node, config::Endpoint to)
      : cluster(c), io(io), node(node), to(std::move(to)) {}
  asio::awaitable<Answer> call(http::Verb verb, std::string target, std::string body,
                               std::chrono::milliseconds limit) override {
    struct Pending {
      core::Timer timer;
      Answer answer;
    };
    auto pending = std::make_shared<Pending>(Pending{core::Timer(io, limit), {}});
    const auto& f = cluster.faults;
    const bool lost = cluster.chance(f.lose_request) || !cluster.reachable(node, to);
    const bool late = cluster.chance(f.late_request);
    const bool state = to.host == "10.2.0.1";
    if (state && target == "/commit" && !cluster.refused.contains(node) && cluster.chance(f.late_write)) {
      const double after = std::uniform_real_distribution<double>(2, 12)(cluster.random);
      cluster.post(after, [body, &c = cluster, node = node, to = to] {
        c.deliver(node, to, http::Verb::post, "/commit", body);
      });
      boost::system::error_code ec;
      co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
      co_return Answer{};
    }
    const double there = (late ? core::Seconds(limit).count() + 20 * cluster.delay() : cluster.delay()) +
                         (state ? f.slow_state_s : 0);
    if (!lost) {
      cluster.post(there, [this, pending, verb, target, body, &c = cluster, node = node, to = to] {
        if (!c.reachable(node, to)) return;
        auto answer = c.deliver(node, to, verb, target, body);
        if (c.chance(c.faults.lose_answer) || answer.status == 0) return;
        c.post(c.delay(), [pending, answer] {
          pending->answer = answer;
          pending->timer.cancel();
        });
      });
    }
    boost::system::error_code ec;
    co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return pending->answer;
  }
  Cluster& cluster;
  asio::io_context& io;
  std::size_t node;
  config::Endpoint to;
};

struct Cluster::Net : http::Network {
  Net(Cluster& c, asio::io_context& io, std::size_t node) : cluster(c), io(io), node(node) {}
  std::unique_ptr<http::Transport> connect(const config::Endpoint& to, std::size_t) override {
    return std::make_unique<Line>(cluster, io, node, to);
  }
  Cluster& cluster;
  asio::io_context& io;
  std::size_t node;
};

struct Cluster::PeerLine : peer::Link {
  PeerLine(Cluster& c, asio::io_context& io, std::size_t from, std::size_t to)
      : cluster(c), io(io), from(from), to(to) {}
  asio::awaitable<std::optional<std::string>> call(std::string frame,
                                                   std::chrono::milliseconds limit) override {
    struct Pending {
      core::Timer timer;
      std::optional<std::string> answer;
    };
    auto pending = std::make_shared<Pending>(Pending{core::Timer(io, limit), {}});
    if (!cluster.chance(cluster.faults.lose_request) && !cluster.cut.contains({from, "peers"}) &&
        !cluster.cut.contains({to, "peers"}))
      cluster.post(cluster.delay(), [pending, frame, &c = cluster, to = to] {
        c.deliver_frame(to, frame, [pending](std::string answer) {
          pending->answer = std::move(answer);
          pending->timer.cancel();
        });
      });
    boost::system::error_code ec;
    co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return pending->answer;
  }
  Cluster& cluster;
  asio::io_context& io;
  std::size_t from, to;
};

struct Cluster::Node {
  Node(Cluster& c, std::size_t index, const config::Settings& s, std::uint32_t seed)
      : net(c, io, index), controller(io, net, s, config::Tuning{}, seed, links(c, io, index)) {
    controller.start();
  }
  static std::vector<std::unique_ptr<peer::Link>> links(Cluster& c, asio::io_context& io, std::size_t index) {
    std::vector<std::unique_ptr<peer::Link>> out;
    for (std::size_t n = 0; n < c.nodes_.size(); ++n)
      if (n != index) out.push_back(std::make_unique<PeerLine>(c, io, index, n));
    return out;
  }
  asio::io_context io{1};
  Net net;
  app::Controller controller;
};

Cluster::Cluster(std::uint32_t seed, int controllers, int machines_per_zone, Timing timing)
    : random(seed),
      now_(core::secs(1000)),
      nodes_(static_cast<std::size_t>(controllers)),
      boots_(nodes_.size(), 0) {
  core::Steady::simulate(now_);
  settings_.zones = {"a", "b"};
  settings_.nodes = controllers;
  settings_.cloud = {"10.2.0.2", 1};
  settings_.state = {"10.2.0.1", 1};
  settings_.teams = {{"red", 0, 0, 8, 12}, {"blue", 0, 0, 8, 16}};
  settings_.report_s = timing.report_s;
  settings_.lease_s = timing.lease_s;
  settings_.cancel_s = timing.cancel_s;
  settings_.gang_peer_s = kGangPeerS;
  settings_.state_limits.requests_per_s = 1000;
  settings_.state_limits.writes_per_s = 200;
  settings_.cloud_rps = 30;
  settings_.cloud_list_lag_s = 3;
  cloud.capacity = machines_per_zone + 2;
  cloud.on_release = [this](const std::string& name) { agents.erase(name); };
  for (int i = 0; i < machines_per_zone; ++i)
    for (const char* zone : {"a", "b"}) cloud.add(zone, now_, 0);
  for (std::size_t n = 0; n < nodes_.size(); ++n) boot(n);
}

Cluster::~Cluster() {
  if (std::getenv("FINCHRUN_TRAFFIC_DIGEST"))
    std::printf("traffic digest=%016llx messages=%llu\n", static_cast<unsigned long long>(traffic_.value()),
                static_cast<unsigned long long>(traffic_.messages()));
  for (auto& n : nodes_)
    if (n) graveyard().push_back(std::shared_ptr<Node>(std::move(n)));
  core::Steady::simulate(std::nullopt);
}

void Cluster::boot(std::size_t node) {
  auto s = settings_;
  s.label = "perch-" + std::to_string(node);
  s.zone = node % 2 == 0 ? "a" : "b";
  for (std::size_t n = 0; n < nodes_.size(); ++n)
    if (n != node) s.members.push_back({"perch-" + std::to_string(n), n % 2 == 0 ? "a" : "b", {}});
  nodes_[node] = std::make_unique<Node>(*this, node, s, static_cast<std::uint32_t>(random()));
}

void Cluster::crash(std::size_t node, double back_s) {
  if (!nodes_[node]) return;
  graveyard().push_back(std::shared_ptr<Node>(std::move(nodes_[node])));
  at(back_s, [this, node] { boot(node); });
}

double Cluster::delay() { return std::uniform_real_distribution<double>(0.001, faults.max_delay_s)(random); }
bool Cluster::chance(double p) { return p > 0 && std::uniform_real_distribution<double>(0, 1)(random) < p; }
void Cluster::post(double delay_s, std::function<void()> what) {
  events_.emplace(now_ + core::secs(delay_s), std::move(what));
}
void Cluster::at(double seconds, std::function<void()> what) { post(seconds, std::move(what)); }

void Cluster::run(double seconds) {
  const auto end = now_ + core::secs(seconds);
  while (now_ < end) step();
}

void Cluster::step() {
  now_ += std::chrono::milliseconds(10);
  core::Steady::simulate(now_);
  while (!events_.empty() && events_.begin()->first <= now_) {
    auto what = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    what();
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const auto& n = nodes_[i];
    if (!n || frozen.contains(i)) continue;
    for (int quiet = 0; quiet < 2;) quiet = n->io.poll() > 0 ? 0 : quiet + 1;
  }
  for (const auto& [name, host] : cloud.hosts) {
    if (agents.contains(name) || host.up > now_) continue;
    Agent w;
    w.name = name;
    w.endpoint = host.endpoint;
    w.type = host.type;
    w.zone = host.zone;
    w.spot = host.spot;
    w.last_answered = w.next_report = now_;
    agents[name] = w;
  }
  for (auto& [_, w] : agents) step_agent(w);
  check();
}

void Cluster::step_agent(Agent& w) {
  if (w.dead || w.hanging) return;
  const auto before = w.agent_incarnation;
  const auto lost =
      static_cast<std::size_t>(std::count_if(w.tasks.begin(), w.tasks.end(), [&](const auto& t) {
        return t.second.on_machine() && !jobs.at(t.first.first).asked_cancel;
      }));
  w.expire(settings_.lease_s, now_);
  killed_by_lease += w.agent_incarnation != before ? lost : 0;
  std::vector<std::string> ended;
  for (auto& [key, t] : w.tasks) {
    auto& job = jobs.at(key.first);
    if (t.state == "pulling" && t.next <= now_) {
      t.state = "waiting";
      start_task(w, t);
      w.changed = true;
    }
    if (t.state == "waiting") {
      std::size_t here = 0;
      for (const auto& [_, other] : agents)
        for (const auto& [_k, o] : other.tasks)
          here += o.job == t.job && o.attempt == t.attempt && (o.state == "waiting" || o.state == "running")
                      ? 1
                      : 0;
      if (!job.gang || here == job.tasks) {
        t.state = "running";
        if (job.standing) job.run_s = kForever;
        t.next = now_ + core::secs(job.done.contains(key.second) ? 0 : job.run_s + job.apart_s * key.second);
        w.changed = true;
      }
    } else if (t.state == "running" && t.next <= now_) {
      t.state = "ended";
      t.cause = "done";
      job.done.insert(key.second);
      if (job.gang)
        for (std::uint32_t i = 0; i < job.tasks; ++i) job.done.insert(i);
      ended.push_back(key.first);
      w.changed = true;
    } else if (t.state == "flushing" && t.next <= now_) {
      t.state = "ended";
      t.cause = "halted";
      t.saved = true;
      w.changed = true;
    }
  }
  for (const auto& id : ended)
    if (on_end) on_end(id);
  if (w.in_flight || w.next_report > now_) return;
  send_report(w);
}

void Cluster::start_task(Agent& w, Task& t) {
  ++starts;
  for (const auto& [name, other] : agents)
    for (const auto& [_, o] : other.tasks)
      if (&o != &t && o.job == t.job && o.number == t.number && o.on_machine() && name != w.name)
        broken.push_back("ran_twice " + t.job + "/" + std::to_string(t.number));
  const auto& job = jobs.at(t.job);
  started_cancelled += job.told_cancelled ? 1 : 0;
  if (const auto* hall = job.spec.if_contains("hall");
      hall && hall->is_string() && hall->as_string() != w.zone)
    broken.push_back("wrong_place " + t.job);
  check_scatter(w, t);
  if (!job.spec.at("together").as_bool()) return;
  for (const auto& [_, other] : agents)
    for (const auto& [_k, o] : other.tasks)
      if (o.job == t.job && o.on_machine() && other.zone != w.zone) broken.push_back("wrong_place " + t.job);
}

void Cluster::check_scatter(const Agent& w, const Task& t) {
  const auto& job = jobs.at(t.job);
  if (!job.spec.at("scatter").as_bool()) return;
  std::size_t in_zone = 0;
  for (const auto& [_, other] : agents)
    for (const auto& [_k, o] : other.tasks)
      in_zone += o.job == t.job && o.on_machine() && other.zone == w.zone ? 1 : 0;
  if (in_zone > (job.tasks + 1) / 2) broken.push_back("wrong_place " + t.job + " not spread");
}

void Cluster::count_replicas() {
  constexpr double kGrace = 5, kStep = 0.01;
  for (const auto& [id, job] : jobs) {
    if (!job.standing || !job.accepted || job.asked_cancel || core::since(job.accepted_at, now_) < kGrace)
      continue;
    std::size_t running = 0;
    for (const auto& [_, w] : agents)
      for (const auto& [_k, t] : w.tasks) running += !w.dead && t.job == id && t.state == "running" ? 1 : 0;
    replica_s_due += kStep * job.tasks;
    replica_s_served += kStep * static_cast<double>(running);
  }
}

void Cluster::send_report(Agent& w) {
  w.in_flight = true;
  w.changed = false;
  const auto sent = now_;
  const auto agent_incarnation = w.agent_incarnation;
  const std::string name = w.name;
  http::Request request{"POST", "/hello", json::serialize(w.heartbeat())};
  const bool blocked = w.mute || cut.contains({w.node, "zone " + w.zone});
  auto done = [this, name, sent, agent_incarnation](std::optional<http::Response> r) {
    auto it = agents.find(name);
    if (it == agents.end() || it->second.dead || it->second.hanging) return;
    Agent& w = it->second;
    w.in_flight = false;
    w.next_report = now_ + core::secs(settings_.report_s);
    if (r && r->status == 200) {
      const auto o = json::parse(r->body).as_object();
      const auto fencing_token = o.at("baton").to_number<std::uint64_t>();
      if (fencing_token < w.fencing_token || agent_incarnation != w.agent_incarnation) return;
      w.fencing_token = fencing_token;
      w.last_answered = sent;
      w.execute(o.at("orders").as_array(), jobs, now_);
      if (w.changed) w.next_report = now_ + core::secs(0.5);
      return;
    }
    if (r && r->status == 421) {
      const auto o = json::parse(r->body).as_object();
      if (const auto* to = o.if_contains("foreman")) {
        const auto node = static_cast<std::size_t>(to->as_string().back() - '0');
        if (node != w.node) {
          w.node = node;
          w.next_report = now_ + core::secs(0.1);
          return;
        }
      }
    }
    w.node = (w.node + 1) % nodes_.size();
  };
  if (blocked) {
    post(w.mute ? 1 : 4, [done] { done(std::nullopt); });
    return;
  }
  if (chance(faults.copy_report)) {
    const double after = std::uniform_real_distribution<double>(0.5, faults.copy_after_s)(random);
    post(after, [this, request] {
      ask(
          random() % nodes_.size(), request, [](std::optional<http::Response>) {}, 4);
    });
  }
  if (w.unreachable) {
    ask(
        w.node, std::move(request), [](std::optional<http::Response>) {}, 4);
    post(4, [done] { done(std::nullopt); });
    return;
  }
  ask(w.node, std::move(request), std::move(done), 4);
}

void Cluster::ask(std::size_t node, http::Request request,
                  std::function<void(std::optional<http::Response>)> done, double limit_s) {
  auto finished = std::make_shared<bool>(false);
  auto finish = [finished, done = std::move(done)](std::optional<http::Response> r) {
    if (*finished) return;
    *finished = true;
    done(std::move(r));
  };
  post(limit_s, [finish] { finish(std::nullopt); });
  if (chance(faults.lose_request)) return;
  const double there = chance(faults.late_request) ? limit_s + 20 * delay() : delay();
  post(there, [this, node, finish, request = std::move(request)]() mutable {
    if (!nodes_[node]) {
      finish(std::nullopt);
      return;
    }
    traffic_.add(now_, node, request.target, request.body, "", 0);
    asio::co_spawn(nodes_[node]->io, nodes_[node]->controller.handle(std::move(request)),
                   [this, node, finish](std::exception_ptr, http::Response r) {
                     traffic_.add(now_, node, "api", "", r.body, r.status);
                     if (chance(faults.lose_answer)) return;
                     post(delay(), [finish, r = std::move(r)] { finish(r); });
                   });
  });
}

bool Cluster::reachable(std::size_t node, const config::Endpoint& to) const {
  if (to.host == "10.2.0.1") return !cut.contains({node, "state"});
  if (to.host == "10.2.0.2") return !cut.contains({node, "cloud"});
  for (const auto& [_, w] : agents)
    if (w.endpoint == to.text()) return !cut.contains({node, "zone " + w.zone});
  return true;
}

void Cluster::deliver_frame(std::size_t node, const std::string& frame,
                            std::function<void(std::string)> done) {
  if (!nodes_[node]) return;
  asio::co_spawn(nodes_[node]->io, nodes_[node]->controller.handle_peer(frame),
                 [this, node, frame, done = std::move(done)](std::exception_ptr, std::string answer) {
                   traffic_.add(now_, node, "peer", frame, answer, 0);
                   if (chance(faults.lose_answer)) return;
                   post(delay(), [done, answer = std::move(answer)] { done(answer); });
                 });
}

Answer Cluster::deliver(std::size_t node, const config::Endpoint& to, http::Verb verb,
                        const std::string& target, const std::string& body) {
  auto answer = deliver_unseen(node, to, verb, target, body);
  traffic_.add(now_, node, target, body, answer.body, answer.status);
  return answer;
}

Answer Cluster::deliver_unseen(std::size_t node, const config::Endpoint& to, http::Verb verb,
                               const std::string& target, const std::string& body) {
  if (to.host == "10.2.0.1")
    return refused.contains(node) ? Answer{503, "{}"} : state.handle(verb, target, body, now_);
  if (to.host == "10.2.0.2") return cloud.handle(verb, target, body, now_);
  for (auto& [_, w] : agents) {
    if (w.endpoint != to.text() || w.dead || w.unreachable) continue;
    if (!w.hanging) return w.direct(body, jobs, now_);
    w.held.push_back(body);
  }
  return {};
}

void Cluster::hang(Agent& w, double for_s) {
  w.hanging = true;
  at(for_s, [this, name = w.name] {
    const auto it = agents.find(name);
    if (it == agents.end()) return;
    Agent& w = it->second;
    w.hanging = w.in_flight = false;
    w.expire(settings_.lease_s, now_);
    for (const auto& body : std::exchange(w.held, {})) w.direct(body, jobs, now_);
  });
}

std::size_t Cluster::busiest() const {
  std::map<std::size_t, int> owned;
  for (const auto& [key, value] : state.under("parts/"))
    ++owned[static_cast<std::size_t>(value.at("owner").as_string().back() - '0')];
  std::size_t most = 0;
  for (const auto& [node, n] : owned)
    if (n > owned[most]) most = node;
  return most;
}

void Cluster::ask_once(std::size_t node, const std::string& method, const std::string& target,
                       const std::string& body, std::function<void(int, std::string)> done) {
  ask(
      node, {method, target, body},
      [done = std::move(done)](std::optional<http::Response> r) {
        done(r ? r->status : 0, r ? r->body : std::string());
      },
      5);
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
  user(id, 0);
  return id;
}

void Cluster::user(const std::string& id, int tries) {
  if (tries > 40) return;
  const auto node = random() % nodes_.size();
  ask(
      node, {"POST", "/submissions", json::serialize(jobs[id].spec)},
      [this, id, tries](std::optional<http::Response> r) {
        auto& job = jobs[id];
        if (r && (r->status == 201 || r->status == 200)) {
          if (!job.accepted) job.accepted_at = now_;
          job.accepted = true;
          job.answered = now_;
          poll(id);
          return;
        }
        if (r && (r->status == 400 || r->status == 422)) {
          broken.push_back("refused for good " + id + " " + r->body);
          return;
        }
        post(1, [this, id, tries] { user(id, tries + 1); });
      },
      5);
}

void Cluster::poll(const std::string& id) {
  const auto asked = now_;
  ask(
      random() % nodes_.size(), {"GET", "/submissions/" + id, ""},
      [this, id, asked](std::optional<http::Response> r) {
        auto& job = jobs[id];
        if (r && r->status == 404) broken.push_back("forgotten " + id);
        if (r && r->status == 200) {
          job.answered = now_;
          const auto status = std::string(json::parse(r->body).at("status").as_string());
          if (status == "done" && job.done.size() < job.tasks) broken.push_back("not_done " + id);
          if (job.told_done && status != "done") broken.push_back("went_back " + id + " to " + status);
          // Asked before the user was told, the answer may have crossed that of the cancellation.
          if (job.told_cancelled && *job.told_cancelled <= asked && status != "cancelled")
            broken.push_back("went_back " + id + " to " + status);
          if (status == "cancelled" && !job.asked_cancel) broken.push_back("went_back " + id + " uncalled");
          if (status == "done") job.told_done = true;
        }
        post(2, [this, id] { poll(id); });
      },
      2);
}

void Cluster::cancel(const std::string& id) {
  auto& job = jobs.at(id);
  job.asked_cancel = true;
  ask(
      random() % nodes_.size(), {"POST", "/submissions/" + id + "/abort", ""},
      [this, id](std::optional<http::Response> r) {
        auto& job = jobs[id];
        if (r && r->status == 200) {
          const auto status = json::parse(r->body).at("status").as_string();
          if (status == "cancelled" && !job.told_cancelled) job.told_cancelled = now_;
          return;
        }
        if (r && r->status == 404 && !job.accepted) return;
        if (r && r->status == 404) broken.push_back("forgotten " + id);
        post(1, [this, id] { cancel(id); });
      },
      5);
}

void Cluster::check() {
  std::map<std::string, double> used;
  for (const auto& [_, w] : agents) {
    if (w.dead) continue;
    for (const auto& [key, t] : w.tasks) {
      if (!t.on_machine()) continue;
      const auto& job = jobs.at(key.first);
      used[job.team] += job.gpus;
      if (job.told_cancelled && core::since(*job.told_cancelled, now_) > settings_.cancel_s)
        broken.push_back("ran_cancelled " + key.first);
    }
  }
  constexpr double kLongestSilence = 75;
  for (const auto& [id, job] : jobs)
    if (job.accepted && !job.asked_cancel &&
        core::since(std::max(job.answered, troubles_over), now_) > kLongestSilence)
      broken.push_back("forgotten " + id + ": no question about it is answered");
  for (const auto& team : settings_.teams)
    if (used[team.name] > team.gpus_max + 1e-9) broken.push_back("quota " + team.name);
  check_waiting();
  count_replicas();
}

// Once the troubles are over no job waits for 90 s while a machine that fits has room and its team is under
// its limit. Counted strictly: what a machine has, and what it has been told to start.
void Cluster::check_waiting() {
  constexpr double kLongest = 90, kMachineGpus = 4;
  if (troubles_over == TimePoint{} || now_ < troubles_over) return;
  std::map<std::string, double> team_free;
  for (const auto& t : settings_.teams) team_free[t.name] = t.gpus_max;
  std::map<std::string, std::size_t> there;
  std::map<std::string, std::vector<double>> free;  // by zone
  for (const auto& [_, w] : agents) {
    double left = w.dead || w.hanging || w.unreachable || w.mute ? 0 : kMachineGpus;
    for (const auto& [key, t] : w.tasks) {
      if (t.state == "ended") continue;
      const auto& job = jobs.at(key.first);
      left -= job.gpus;
      team_free[job.team] -= job.gpus;
      ++there[key.first];
    }
    free[w.zone].push_back(left);
  }
  for (const auto& [id, job] : jobs) {
    bool fits = job.accepted && !job.asked_cancel && job.done.size() + there[id] < job.tasks &&
                (!job.gang || there[id] == 0);
    const double needs = job.gang ? job.tasks : 1;
    fits = fits && team_free[job.team] + 1e-9 >= needs * job.gpus;
    bool room = false;
    for (const auto& [_, machines] : free) {
      double places = 0;
      for (const double f : machines) places += std::floor((f + 1e-9) / job.gpus);
      room = room || places >= needs;
    }
    // Some zone has room, though perhaps not one that may take another replica.
    if (!fits || !room || job.standing) {
      fits_since_.erase(id);
    } else if (core::since(fits_since_.try_emplace(id, now_).first->second, now_) > kLongest) {
      broken.push_back("left waiting " + id);
    }
  }
}

}  // namespace finchrun::sim
