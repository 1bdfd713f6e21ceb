// Stand-ins for the state service and the cloud, after PROTOCOL.
#pragma once

#include "base.hpp"

namespace review {

// The state service: revisions, leases, conditional transactions, the feed of changes, and the rate limits.
class Store {
 public:
  Store(double rps, double write_rps, double value_kb, std::size_t txn_ops)
      : requests_(rps, 1),
        writes_(write_rps, 1),
        value_bytes_(static_cast<std::size_t>(value_kb * 1024)),
        txn_ops_(txn_ops),
        server_([this](const Request& request) { return handle(request); }) {}

  [[nodiscard]] std::string endpoint() const { return server_.endpoint(); }
  // Called with each transaction that arrives. True: it gets no answer and is not carried out now.
  std::function<bool(const json::object&)> withhold;
  // Called with each request; returns how long its answer takes in addition, in seconds.
  std::function<double(const Request&)> extra_delay_s;
  // Called with each transaction that was carried out.
  std::function<void(const json::object&)> carried_out;
  // Called with each transaction that is refused because of the outage.
  std::function<void(const json::object&)> refused;

  void begin_outage() {
    std::scoped_lock lock(mutex_);
    expire();
    outage_ = true;
  }
  // All leases get their full time again.
  void end_outage() {
    std::scoped_lock lock(mutex_);
    outage_ = false;
    for (auto& [_, lease] : leases_) lease.ends = now_s() + lease.ttl_s;
  }
  // Carries out a transaction that was withheld. Returns the status that its sender would have got.
  int carry_out(const json::object& transaction) {
    Reply reply;
    {
      std::scoped_lock lock(mutex_);
      expire();
      reply = commit(transaction);
    }
    record.line("store carries out the withheld transaction status=" + std::to_string(reply.status) + " " +
                reply.body);
    return reply.status;
  }
  std::optional<json::value> value(const std::string& key) {
    std::scoped_lock lock(mutex_);
    const auto it = items_.find(key);
    if (it == items_.end()) return std::nullopt;
    return it->second.value;
  }
  std::map<std::string, json::value> under(const std::string& prefix) {
    std::scoped_lock lock(mutex_);
    std::map<std::string, json::value> found;
    for (auto it = items_.lower_bound(prefix); it != items_.end() && it->first.rfind(prefix, 0) == 0; ++it)
      found[it->first] = it->second.value;
    return found;
  }

 private:
  struct Item {
    json::value value;
    std::uint64_t revision = 0, lease = 0;
  };
  struct Lease {
    double ttl_s = 0, ends = 0;
  };
  struct Change {
    std::uint64_t revision;
    std::string key;
    std::optional<json::value> value;
  };

  static Reply answer(int status, json::object body) { return {status, json::serialize(body)}; }

  Reply handle(const Request& request) {
    sleep_s(0.002);
    if (extra_delay_s) sleep_s(extra_delay_s(request));
    if (request.method == "POST" && request.target == "/commit") return handle_commit(request);
    std::scoped_lock lock(mutex_);
    if (outage_) return answer(503, {{"error", "trouble"}});
    if (!requests_.take(1)) return answer(429, {{"error", "too many requests"}});
    expire();
    const auto path = request.target.substr(0, request.target.find('?'));
    if (path == "/follow") return follow(request);
    if (path == "/store") return list(request);
    if (path.rfind("/store/", 0) == 0) {
      const auto it = items_.find(path.substr(7));
      if (it == items_.end()) return answer(404, {{"epoch", revision_}});
      return answer(200, {{"k", it->first}, {"data", it->second.value}, {"stamp", it->second.revision}});
    }
    if (path == "/grants") {
      const double ttl_s = json::parse(request.body).at("ttlMs").to_number<double>() / 1000;
      leases_[++next_lease_] = {ttl_s, now_s() + ttl_s};
      return answer(200, {{"hold", next_lease_}});
    }
    if (path.rfind("/grants/", 0) == 0) {
      const auto lease = leases_.find(std::stoull(path.substr(8)));
      if (lease == leases_.end()) return answer(404, {{"error", "no such lease"}});
      if (request.method == "DELETE")
        end_lease(lease->first);
      else
        lease->second.ends = now_s() + lease->second.ttl_s;
      return answer(200, {});
    }
    return answer(404, {{"error", "no such path"}});
  }

  Reply handle_commit(const Request& request) {
    const auto transaction = json::parse(request.body).as_object();
    Reply reply;
    {
      std::scoped_lock lock(mutex_);
      if (outage_) {
        if (refused) refused(transaction);
        return answer(503, {{"error", "trouble"}});
      }
    }
    if (withhold && withhold(transaction)) return {};
    {
      std::scoped_lock lock(mutex_);
      if (outage_) return answer(503, {{"error", "trouble"}});
      if (!requests_.take(1)) return answer(429, {{"error", "too many requests"}});
      expire();
      if (!writes_.take(static_cast<double>(changes_of(transaction).size())))
        return answer(429, {{"error", "too many changes"}});
      reply = commit(transaction);
    }
    if (reply.status == 200 && carried_out) carried_out(transaction);
    return reply;
  }

  static json::array changes_of(const json::object& transaction) {
    const auto* then = transaction.if_contains("then");
    return then ? then->as_array() : json::array{};
  }

  Reply commit(const json::object& transaction) {
    const auto changes = changes_of(transaction);
    std::string keys;
    for (const auto& change : changes) {
      const auto& item = change.as_object();
      keys += " " + std::string(item.contains("set") ? item.at("set").as_string()
                                                     : item.at("delete").as_string());
      if (item.contains("set") && json::serialize(item.at("data")).size() > value_bytes_)
        return answer(400, {{"error", "value too large"}});
      if (const auto* lease = item.if_contains("hold");
          lease && !leases_.contains(lease->to_number<std::uint64_t>()))
        return answer(400, {{"error", "no such lease"}});
    }
    if (changes.size() > txn_ops_) return answer(400, {{"error", "too many changes"}});
    json::array failed;
    if (const auto* when = transaction.if_contains("when"))
      for (const auto& condition : when->as_array()) {
        const std::string key(condition.at("k").as_string());
        const auto it = items_.find(key);
        const auto at = it == items_.end() ? 0 : it->second.revision;
        if (at != condition.at("stamp").to_number<std::uint64_t>()) failed.emplace_back(key);
      }
    if (!failed.empty()) return answer(409, {{"failed", failed}, {"epoch", revision_}});
    if (!changes.empty()) ++revision_;
    for (const auto& change : changes) {
      const auto& item = change.as_object();
      if (item.contains("set")) {
        const std::string key(item.at("set").as_string());
        const auto* lease = item.if_contains("hold");
        items_[key] = {item.at("data"), revision_, lease ? lease->to_number<std::uint64_t>() : 0};
        log(key, item.at("data"));
      } else {
        const std::string key(item.at("delete").as_string());
        if (items_.erase(key)) log(key, std::nullopt);
      }
    }
    record.line("store transaction revision=" + std::to_string(revision_) + " keys:" + keys);
    return answer(200, {{"epoch", revision_}});
  }

  void log(const std::string& key, std::optional<json::value> value) {
    changes_.push_back({revision_, key, std::move(value)});
    if (changes_.size() > 10000) {
      dropped_ = changes_.front().revision;
      changes_.pop_front();
    }
  }
  void end_lease(std::uint64_t lease) {
    leases_.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_)
      if (item.lease == lease) keys.push_back(key);
    if (keys.empty()) return;
    ++revision_;
    for (const auto& key : keys) {
      items_.erase(key);
      log(key, std::nullopt);
      record.line("store lease ended key=" + key);
    }
  }
  void expire() {
    if (outage_) return;
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : leases_)
      if (lease.ends < now_s()) ended.push_back(id);
    for (const auto id : ended) end_lease(id);
  }
  Reply follow(const Request& request) {
    const auto from = std::stoull(query_value(request.target, "from"));
    if (from < dropped_) return answer(410, {{"error", "too old"}});
    json::array events;
    for (const auto& change : changes_) {
      if (change.revision <= from) continue;
      if (change.value)
        events.push_back(
            json::object{{"set", change.key}, {"data", *change.value}, {"stamp", change.revision}});
      else
        events.push_back(json::object{{"delete", change.key}, {"stamp", change.revision}});
    }
    return answer(200, {{"epoch", revision_}, {"events", std::move(events)}});
  }
  Reply list(const Request& request) {
    auto after = query_value(request.target, "from");
    const auto limit = std::min<std::size_t>(1000, std::stoul(query_value(request.target, "limit")));
    json::array found;
    bool more = false;
    for (auto it = after.empty() ? items_.begin() : items_.upper_bound(after); it != items_.end(); ++it) {
      if (found.size() == limit) {
        more = true;
        break;
      }
      found.push_back(
          json::object{{"k", it->first}, {"data", it->second.value}, {"stamp", it->second.revision}});
    }
    return answer(200, {{"items", std::move(found)}, {"hasNext", more}, {"epoch", revision_}});
  }

  std::mutex mutex_;
  bool outage_ = false;
  Bucket requests_, writes_;
  std::size_t value_bytes_, txn_ops_;
  std::uint64_t revision_ = 0, next_lease_ = 0, dropped_ = 0;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> changes_;
  Server server_;
};

struct Flavor {
  std::string name;
  double cpus, gpus, ram_gb, cache_gb, pull_gb_per_s, price, spot_price, boot_s;
  std::vector<std::string> zones;
};

// The cloud. It rents out what `rent` grants, by default nothing; its list lags by `lag_s`, which a
// case may change.
class Cloud {
 public:
  Cloud(double rps, double list_lag_s, std::vector<Flavor> flavors)
      : lag_s(list_lag_s),
        requests_(rps, 2),
        flavors_(std::move(flavors)),
        server_([this](const Request& request) { return handle(request); }) {}

  struct Host {
    std::string name, endpoint, rack, zone;
    bool spot = false;
    double rented_at = 0, up_at = 0;
    double gone_at = 1e18;
  };
  [[nodiscard]] std::string endpoint() const { return server_.endpoint(); }
  std::atomic<bool> outage{false};
  std::atomic<double> lag_s;
  // Called with the name of each machine that a controller has deleted.
  std::function<void(const std::string&)> released;
  // Returns the hosts that a rental request gets; none: no capacity. Their workers start later.
  std::function<std::vector<Host>(const std::string& rack, const std::string& zone, bool spot, int count)> rent;

  void add(Host host) {
    std::scoped_lock lock(mutex_);
    hosts_[host.name] = std::move(host);
  }
  void take(const std::string& name) {
    std::scoped_lock lock(mutex_);
    hosts_.at(name).gone_at = now_s();
  }

 private:
  Reply handle(const Request& request) {
    sleep_s(0.02);
    if (outage) return {503, R"({"error":"trouble"})"};
    std::vector<std::string> gone;
    Reply reply;
    {
      std::scoped_lock lock(mutex_);
      if (!requests_.take(1)) return {429, "{}"};
      const auto path = request.target.substr(0, request.target.find('?'));
      if (path == "/flavors") return {200, json::serialize(flavors())};
      if (path == "/hosts" && request.method == "GET") return {200, json::serialize(list(request))};
      if (path == "/hosts") {
        reply = hire(json::parse(request.body).as_object());
      } else {
        for (const auto& item : json::parse(request.body).at("perches").as_array()) {
          const auto host = hosts_.find(std::string(item.as_string()));
          if (host == hosts_.end() || host->second.gone_at < 1e17) continue;
          host->second.gone_at = now_s();
          gone.push_back(host->first);
        }
        reply = {200, "{}"};
      }
      record.line("cloud " + request.method + " " + path + " " + request.body + " -> " +
                  std::to_string(reply.status));
    }
    for (const auto& name : gone)
      if (released) released(name);
    return reply;
  }
  Reply hire(const json::object& message) {
    const std::string id(message.at("hire").as_string());
    if (const auto known = hires_.find(id); known != hires_.end()) return {200, known->second};
    std::vector<Host> hosts;
    if (rent)
      hosts = rent(std::string(message.at("rack").as_string()), std::string(message.at("hall").as_string()),
                   message.at("loaners").as_bool(), message.at("howMany").to_number<int>());
    if (hosts.empty()) return {503, R"({"error":"no capacity"})"};
    json::array names;
    for (auto& host : hosts) {
      names.emplace_back(host.name);
      hosts_[host.name] = host;
    }
    return {200, hires_[id] = json::serialize(json::object{{"perches", names}})};
  }
  json::object flavors() const {
    json::array racks;
    for (const auto& flavor : flavors_) {
      json::array zones;
      for (const auto& zone : flavor.zones) zones.emplace_back(zone);
      racks.push_back(json::object{{"name", flavor.name},
                                   {"vcpus", flavor.cpus},
                                   {"gpus", flavor.gpus},
                                   {"ramGb", flavor.ram_gb},
                                   {"cacheGb", flavor.cache_gb},
                                   {"pullGbPerS", flavor.pull_gb_per_s},
                                   {"rate", flavor.price},
                                   {"spotPrice", flavor.spot_price},
                                   {"readyS", flavor.boot_s},
                                   {"halls", zones}});
    }
    return {{"racks", racks}};
  }
  json::object list(const Request& request) const {
    const auto after = query_value(request.target, "from");
    const double as_of = now_s() - lag_s;
    json::array found;
    for (const auto& [name, host] : hosts_) {
      if (name <= after || host.rented_at > as_of || host.gone_at <= as_of) continue;
      found.push_back(json::object{{"nameId", name},
                                   {"endpoint", host.endpoint},
                                   {"rack", host.rack},
                                   {"hall", host.zone},
                                   {"loaners", host.spot},
                                   {"status", host.up_at <= as_of ? "running" : "starting"},
                                   {"heldS", as_of - host.rented_at}});
    }
    return {{"perches", found}, {"hasNext", false}};
  }
  std::mutex mutex_;
  Bucket requests_;
  std::vector<Flavor> flavors_;
  std::map<std::string, Host> hosts_;
  std::map<std::string, std::string> hires_;  // the answers to fulfilled requests, by their name
  Server server_;
};

}  // namespace review
