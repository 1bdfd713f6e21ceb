#include "sim/services.hpp"

#include <algorithm>
#include <string_view>

#include "http/status.hpp"

namespace finchrun::sim {
namespace {

std::uint64_t to_integer(const json::value& value) { return value.to_number<std::uint64_t>(); }
ClientResponse json_response(int status, const json::object& body) { return {status, json::serialize(body)}; }

ClientResponse bad_request(const char* reason) {
  return json_response(http::status::kBadRequest, {{"error", reason}});
}

// The protocol's bounds of requests to the key-value store and of its responses.
constexpr std::size_t kMaxBodyBytes = 64 * 1024;
constexpr std::size_t kComparesPerWrite = 4;
constexpr std::size_t kMaxKeyBytes = 200;
constexpr std::size_t kMaxPageItems = 1000;
constexpr std::size_t kMaxPageBytes = 500 * 1024;  // of the items; the response may have 512 KiB
constexpr double kMinLeaseS = 0.1, kMaxLeaseS = 600;

bool is_valid_key(const json::value& key) {
  const auto& text = key.as_string();
  return !text.empty() && text.size() <= kMaxKeyBytes && text.find(' ') == json::string::npos;
}

std::string query_parameter(const std::string& target, const std::string& key) {
  for (const char* separator : {"?", "&"}) {
    const auto position = target.find(separator + key + "=");
    if (position == std::string::npos) continue;
    const auto begin = position + key.size() + 2;
    return target.substr(begin, target.find('&', begin) - begin);
  }
  return {};
}

// Returns the page of the list that begins after the machine `after`.
ClientResponse page_of(const json::array& machines, const std::string& after, std::size_t limit) {
  json::array page;
  bool more = false;
  for (const auto& machine : machines) {
    if (machine.at("nameId").as_string() <= after) continue;
    more = page.size() == limit;
    if (more) break;
    page.push_back(machine);
  }
  return json_response(http::status::kOk, {{"perches", std::move(page)}, {"hasNext", more}});
}

}  // namespace

void StoreService::expire_leases(TimePoint now) {
  for (auto it = store_leases_.begin(); it != store_leases_.end();) {
    if (it->second.ends > now) {
      ++it;
      continue;
    }
    std::vector<std::string> expired_keys;
    for (const auto& [key, item] : items_)
      if (item.store_lease == it->first) expired_keys.push_back(key);
    if (!expired_keys.empty()) ++revision_;
    for (const auto& key : expired_keys) {
      items_.erase(key);
      changes_.push_back({revision_, key, std::nullopt});
    }
    it = store_leases_.erase(it);
  }
}

void StoreService::recover(TimePoint now) {
  outage = false;
  for (auto& [_, store_lease] : store_leases_) store_lease.ends = now + core::to_duration(store_lease.ttl_s);
}

std::size_t StoreService::change_count(const std::string& prefix) const {
  return static_cast<std::size_t>(std::count_if(changes_.begin(), changes_.end(), [&](const Change& change) {
    return change.key.starts_with(prefix);
  }));
}

std::map<std::string, json::value> StoreService::items_with_prefix(const std::string& prefix) const {
  std::map<std::string, json::value> result;
  for (auto it = items_.lower_bound(prefix); it != items_.end() && it->first.starts_with(prefix); ++it)
    result[it->first] = it->second.value;
  return result;
}

ClientResponse StoreService::too_large(const char* reason) {
  ++rejected_for_size;
  return bad_request(reason);
}

// Returns the refusal that no state of the store could change, if there is one.
std::optional<ClientResponse> StoreService::refuse(const json::object& transaction, std::size_t body_bytes) {
  if (!transaction.contains("when") || !transaction.contains("then")) return bad_request("field missing");
  const auto& compares = transaction.at("when").as_array();
  const auto& writes = transaction.at("then").as_array();
  if (body_bytes > kMaxBodyBytes) return too_large("body too large");
  if (writes.size() > max_transaction_writes) return too_large("too many changes");
  if (compares.size() > kComparesPerWrite * max_transaction_writes) return too_large("too many conditions");
  for (const auto& compare : compares)
    if (!is_valid_key(compare.at("k"))) return bad_request("bad key");
  for (const auto& write : writes) {
    const auto& fields = write.as_object();
    if (!is_valid_key(fields.at(fields.contains("set") ? "set" : "delete"))) return bad_request("bad key");
    if (fields.contains("set") && json::serialize(fields.at("data")).size() > max_value_bytes)
      return too_large("value too large");
  }
  return std::nullopt;
}

// The protocol does not say which refusal comes first. This one sees the limits and the leases before the
// conditions, which hides the least.
ClientResponse StoreService::commit(const std::string& body) {
  const auto transaction = json::parse(body).as_object();
  if (const auto refusal = refuse(transaction, body.size())) return *refusal;
  const auto& writes = transaction.at("then").as_array();
  for (const auto& write : writes)
    if (const auto* store_lease = write.as_object().if_contains("hold");
        store_lease && !store_leases_.contains(to_integer(*store_lease)))
      return bad_request("no such lease");
  json::array failed;
  for (const auto& condition : transaction.at("when").as_array()) {
    const std::string key(condition.at("k").as_string());
    const auto it = items_.find(key);
    if ((it == items_.end() ? 0 : it->second.revision) != to_integer(condition.at("stamp")))
      failed.emplace_back(key);
  }
  if (!failed.empty())
    return json_response(http::status::kConflict, {{"failed", failed}, {"epoch", revision_}});
  if (!writes.empty()) ++revision_;
  for (const auto& write : writes) {
    if (const auto* key = write.as_object().if_contains("set")) {
      const auto* store_lease = write.as_object().if_contains("hold");
      items_[std::string(key->as_string())] = {write.at("data"), revision_,
                                               store_lease ? to_integer(*store_lease) : 0};
      changes_.push_back({revision_, std::string(key->as_string()), write.at("data")});
    } else {
      items_.erase(std::string(write.at("delete").as_string()));
      changes_.push_back({revision_, std::string(write.at("delete").as_string()), std::nullopt});
    }
  }
  while (changes_.size() > max_changes_kept) changes_.pop_front();
  return json_response(http::status::kOk, {{"epoch", revision_}});
}

ClientResponse StoreService::changes_since(std::uint64_t revision) const {
  if (!changes_.empty() && changes_.size() >= max_changes_kept && revision + 1 < changes_.front().revision)
    return {http::status::kGone, "{}"};
  json::array events;
  for (const auto& change : changes_) {
    if (change.revision <= revision) continue;
    if (change.value) {
      events.push_back(
          json::object{{"set", change.key}, {"data", *change.value}, {"stamp", change.revision}});
    } else {
      events.push_back(json::object{{"delete", change.key}, {"stamp", change.revision}});
    }
  }
  return json_response(http::status::kOk, {{"epoch", revision_}, {"events", events}});
}

ClientResponse StoreService::page(const std::string& after, std::size_t limit) const {
  json::array items;
  std::size_t bytes = 0;
  bool more = false;
  for (auto it = items_.upper_bound(after); it != items_.end(); ++it) {
    json::object item{{"k", it->first}, {"data", it->second.value}, {"stamp", it->second.revision}};
    bytes += json::serialize(item).size() + 1;
    more = items.size() == std::min(limit, kMaxPageItems) || bytes > kMaxPageBytes;
    if (more) break;
    items.push_back(std::move(item));
  }
  return json_response(http::status::kOk, {{"items", items}, {"hasNext", more}, {"epoch", revision_}});
}

ClientResponse StoreService::grant_lease(double ttl_s, TimePoint now) {
  if (ttl_s < kMinLeaseS || ttl_s > kMaxLeaseS) return bad_request("ttlMs out of range");
  store_leases_[next_store_lease_] = {now + core::to_duration(ttl_s), ttl_s};
  return json_response(http::status::kOk, {{"hold", next_store_lease_++}});
}

ClientResponse StoreService::renew_lease(std::uint64_t store_lease, TimePoint now) {
  const auto it = store_leases_.find(store_lease);
  if (it == store_leases_.end()) return {http::status::kNotFound, "{}"};
  it->second.ends = now + core::to_duration(it->second.ttl_s);
  return {http::status::kOk, "{}"};
}

ClientResponse StoreService::handle(http::Verb verb, const std::string& target, const std::string& body,
                                    TimePoint now) {
  constexpr std::string_view kGrants = "/grants";
  constexpr double kMsPerS = 1000;
  if (outage) return {http::status::kServiceUnavailable, "{}"};
  expire_leases(now);
  if (target == "/commit") return commit(body);
  if (target.starts_with("/follow")) return changes_since(std::stoull(query_parameter(target, "from")));
  if (target.starts_with("/store?"))
    return page(query_parameter(target, "from"), std::stoul(query_parameter(target, "limit")));
  if (target == kGrants) return grant_lease(json::parse(body).at("ttlMs").to_number<double>() / kMsPerS, now);
  if (target.starts_with("/grants/") && verb == http::Verb::post)
    return renew_lease(std::stoull(target.substr(kGrants.size() + 1)), now);
  return {http::status::kBadRequest, "{}"};
}

json::object Agent::heartbeat() {
  json::array task_statuses;
  for (const auto& [key, task] : tasks) {
    json::object task_status{{"piece", task.job + "/" + std::to_string(task.number)},
                             {"try", task.attempt},
                             {"status", task.state}};
    if (task.state == "ended") {
      task_status["cause"] = task.cause;
      task_status["stored"] = task.checkpoint_saved;
    }
    task_statuses.push_back(task_status);
  }
  return {{"perch", name},       {"endpoint", endpoint},       {"rack", type},       {"hall", zone},
          {"loaners", spot},     {"stint", agent_incarnation}, {"tick", ++sequence}, {"baton", fencing_token},
          {"warningS", nullptr}, {"pieces", task_statuses}};
}

void Agent::execute(const json::array& commands, std::map<std::string, JobHistory>& jobs, TimePoint now) {
  for (const auto& command : commands) {
    const std::string task_id(command.at("piece").as_string());
    const auto slash = task_id.rfind('/');
    const std::pair key{task_id.substr(0, slash),
                        static_cast<std::uint32_t>(std::stoul(task_id.substr(slash + 1)))};
    const auto attempt = to_integer(command.at("try"));
    const auto& verb = command.at("verb").as_string();
    auto it = tasks.find(key);
    if (verb == "run") {
      if (it != tasks.end() && it->second.attempt == attempt) continue;
      if (it != tasks.end() && it->second.state != "ended") continue;  // the protocol's reason `in_use`
      Task task{key.first, key.second, attempt, "pulling", "", false, {}, 0, {}};
      task.next_transition = now + core::to_duration(jobs.at(key.first).image_pull_s);
      if (refused_starts > 0) {
        --refused_starts;
        task.state = "ended";
        task.cause = "full";
      }
      ++starts_executed;
      tasks[key] = task;
      changed = true;
    } else if (it == tasks.end() || it->second.attempt != attempt) {
      continue;
    } else if (verb == "kill") {
      if (it->second.state == "ended") continue;
      const double grace_s = command.at("leewayS").to_number<double>();
      const double save_s = jobs.at(key.first).checkpoint_write_s;
      if (it->second.state == "running" && grace_s >= save_s) {
        it->second.state = "flushing";
        it->second.next_transition = now + core::to_duration(save_s);
      } else if (it->second.state != "flushing" || grace_s <= 0) {
        it->second.state = "ended";
        it->second.cause = "halted";
      }
      changed = true;
    } else if (verb == "reap" && it->second.state == "ended") {
      tasks.erase(it);
    }
  }
}

bool Agent::execute_direct(const json::object& request, std::map<std::string, JobHistory>& jobs,
                           TimePoint now) {
  const auto offered_fencing_token = to_integer(request.at("baton"));
  if (offered_fencing_token < fencing_token) return false;
  if (offered_fencing_token > fencing_token) changed = true;
  fencing_token = offered_fencing_token;
  if (to_integer(request.at("stint")) != agent_incarnation) return false;
  execute(request.at("orders").as_array(), jobs, now);
  return true;
}

ClientResponse Agent::handle_commands(const std::string& body, std::map<std::string, JobHistory>& jobs,
                                      TimePoint now) {
  if (!execute_direct(json::parse(body).as_object(), jobs, now))
    return json_response(http::status::kConflict, heartbeat());
  executed_commands.push_back(body);
  return json_response(http::status::kOk, heartbeat());
}

std::size_t Agent::repeat_commands(std::map<std::string, JobHistory>& jobs, TimePoint now) {
  const auto repeated = executed_commands.size();
  std::erase_if(executed_commands, [&](const std::string& body) {
    ++sequence;  // of the response, for which nobody waits
    return !execute_direct(json::parse(body).as_object(), jobs, now);
  });
  return repeated;
}

void Agent::expire_lease(double lease_s, TimePoint now) {
  if (core::seconds_between(last_answered, now) <= lease_s) return;
  tasks.clear();
  ++agent_incarnation;
  last_answered = now;
  changed = true;
}

std::string CloudService::add_machine(const std::string& zone, TimePoint now, double boot_s) {
  char name[32];
  std::snprintf(name, sizeof name, "host-%06d", next_machine_number_);
  hosts[name] = {name, endpoint_of(next_machine_number_), "g4",  zone, false,
                 now,  now + core::to_duration(boot_s),   false, false};
  ++next_machine_number_;
  return name;
}

json::array CloudService::list(TimePoint now) const {
  json::array result;
  for (const auto& [name, host] : hosts) {
    if (host.unlisted) continue;
    const char* status = host.ready_at > now ? "starting" : host.dead ? "failed" : "running";
    result.push_back(json::object{{"nameId", name},
                                  {"endpoint", host.endpoint},
                                  {"rack", host.type},
                                  {"hall", host.zone},
                                  {"loaners", host.spot},
                                  {"status", status},
                                  {"heldS", core::seconds_between(host.rented, now)}});
  }
  return result;
}

ClientResponse CloudService::handle(http::Verb verb, const std::string& target, const std::string& body,
                                    TimePoint now) {
  if (outage) return {http::status::kServiceUnavailable, R"({"error":"trouble"})"};
  if (target == "/flavors")
    return {http::status::kOk,
            R"({"racks":[{"name":"g4","vcpus":32,"gpus":4,"ramGb":256,"cacheGb":100,"pullGbPerS":1.0,
      "rate":10.0,"spotPrice":4.0,"readyS":5,"halls":["a","b"]}]})"};
  if (target == "/hosts/release") {
    const auto request = json::parse(body);
    return release(request.at("perches").as_array());
  }
  if (verb == http::Verb::post) {
    const auto request = json::parse(body).as_object();
    auto& names = machines_by_request_[std::string(request.at("hire").as_string())];
    const std::string zone(request.at("hall").as_string());
    const bool spot = request.at("loaners").as_bool();
    const auto count_in_zone = std::count_if(hosts.begin(), hosts.end(), [&](const auto& host) {
      return host.second.zone == zone && host.second.spot == spot;
    });
    if (names.empty()) {
      if (count_in_zone >= (spot ? spot_capacity : capacity))
        return {http::status::kServiceUnavailable, R"({"error":"no capacity"})"};
      constexpr double kBootS = 5, kNeverS = 1e6;
      names.push_back(add_machine(zone, now, machines_never_ready-- > 0 ? kNeverS : kBootS));
      hosts[names.back()].spot = spot;
    }
    json::array result;
    for (const auto& name : names) result.emplace_back(name);
    return json_response(http::status::kOk, {{"perches", result}});
  }
  return lagging_list(target, now);
}

ClientResponse CloudService::release(const json::array& names) {
  ++release_requests;
  std::vector<std::string> machines;
  for (const auto& name : names) machines.emplace_back(name.as_string());
  if (refuse_release)
    if (auto response = refuse_release(machines)) return *response;
  for (const auto& name : machines) {
    hosts.erase(name);
    on_release(name);
  }
  return {http::status::kOk, "{}"};
}

ClientResponse CloudService::lagging_list(const std::string& target, TimePoint now) {
  constexpr double kListLagS = 3;
  ++list_requests;
  recent_lists_.emplace_back(now, list(now));
  while (recent_lists_.front().first + core::to_duration(2 * kListLagS) < now) recent_lists_.pop_front();
  std::size_t chosen = 0;
  if (list_age == ListAge::varying) chosen = random_() % recent_lists_.size();
  if (list_age == ListAge::usual)
    while (chosen + 1 < recent_lists_.size() &&
           recent_lists_[chosen + 1].first + core::to_duration(kListLagS) <= now)
      ++chosen;
  return page_of(recent_lists_[chosen].second, query_parameter(target, "from"),
                 std::stoul(query_parameter(target, "limit")));
}

}  // namespace finchrun::sim
