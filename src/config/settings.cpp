#include "config/settings.hpp"

#include <Poco/Exception.h>
#include <Poco/Util/PropertyFileConfiguration.h>
#include <fmt/format.h>

#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <cmath>
#include <sstream>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

namespace finchrun::config {
namespace {

std::string shown(const toml::node_view<const toml::node>& v) {
  std::ostringstream out;
  if (v) {
    v.visit([&](const auto& n) { out << n; });
  } else {
    out << "(missing)";
  }
  std::string s = out.str();
  for (char& c : s)
    if (c == '\n') c = ' ';
  return s.size() > 60 ? s.substr(0, 60) + "..." : s;
}

using View = toml::node_view<const toml::node>;

std::string need_string(View t, const char* key, const std::string& where) {
  auto v = t[key].value_exact<std::string>();
  if (!v || v->empty()) throw SettingsError(where + key, shown(t[key]), "a name is needed");
  return *v;
}

double number(View t, const char* key, const std::string& where, double fallback, double least, double most) {
  if (!t[key]) return fallback;
  auto v = t[key].value<double>();
  if (!v || !std::isfinite(*v) || *v < least || *v > most || !t[key].is_number())
    throw SettingsError(where + key, shown(t[key]), "a number in range is needed");
  return *v;
}

Endpoint need_endpoint(View t, const char* key, const std::string& where) {
  auto text = need_string(t, key, where);
  auto ep = parse_endpoint(text);
  if (!ep) throw SettingsError(where + key, text, "an IPv4 address with a port is needed");
  return *ep;
}

// The fields of one table; those that are missing keep the values of `present`.
StateLimits state_limits_in(View table, const std::string& where, const StateLimits& present) {
  StateLimits limits;
  limits.requests_per_s = number(table, "rps", where, present.requests_per_s, 1, 1e6);
  limits.writes_per_s = number(table, "write_rps", where, present.writes_per_s, 1, 1e6);
  limits.value_kb = number(table, "value_kb", where, present.value_kb, 1, 1e6);
  limits.transaction_writes =
      static_cast<int>(number(table, "txn_ops", where, present.transaction_writes, 4, 1e6));
  return limits;
}

StateLimits state_limits(View table) {
  const std::string where = "deployment.state.";
  const auto present = state_limits_in(table, where, {});
  const View announced = table["next"];
  if (!announced) return present;
  if (!announced.is_table()) throw SettingsError(where + "next", shown(announced), "a table is needed");
  const auto next = state_limits_in(announced, where + "next.", present);
  StateLimits smaller;
  smaller.requests_per_s = std::min(present.requests_per_s, next.requests_per_s);
  smaller.writes_per_s = std::min(present.writes_per_s, next.writes_per_s);
  smaller.value_kb = std::min(present.value_kb, next.value_kb);
  smaller.transaction_writes = std::min(present.transaction_writes, next.transaction_writes);
  return smaller;
}

}  // namespace

std::optional<Endpoint> parse_endpoint(const std::string& text) {
  auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  Endpoint ep;
  ep.host = text.substr(0, colon);
  boost::system::error_code ec;
  boost::asio::ip::make_address_v4(ep.host, ec);
  if (ec) return std::nullopt;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  auto [end, err] = std::from_chars(first, last, ep.port);
  if (err != std::errc() || end != last || ep.port == 0) return std::nullopt;
  return ep;
}

Settings load_settings(const std::string& path) {
  toml::table doc;
  try {
    doc = toml::parse_file(path);
  } catch (const toml::parse_error& e) {
    std::ostringstream at;
    at << e.source().begin;
    throw SettingsError("file", path, std::string(e.description()) + " (" + at.str() + ")");
  }
  const toml::node& root_node = doc;
  View root(&root_node);
  Settings s;
  s.label = need_string(root, "label", "");
  s.zone = need_string(root, "domain", "");
  s.listen = need_endpoint(root, "bind", "");
  s.peer_listen = need_endpoint(root, "peer_listen", "");
  if (auto* members = root["members"].as_array()) {
    for (const auto& node : *members) {
      View m(&node);
      s.members.push_back({need_string(m, "label", "members."), need_string(m, "domain", "members."),
                           need_endpoint(m, "endpoint", "members.")});
    }
  }
  View tombstones = root["endpoints"];
  s.cloud = need_endpoint(tombstones, "cloud", "endpoints.");
  s.state = need_endpoint(tombstones, "state", "endpoints.");
  View d = root["deployment"];
  s.nodes =
      static_cast<int>(number(d, "nodes", "deployment.", static_cast<double>(s.members.size() + 1), 1, 99));
  if (auto* zones = d["zones"].as_array()) {
    for (const auto& z : *zones) {
      auto name = z.value_exact<std::string>();
      if (!name) throw SettingsError("deployment.zones", shown(View(&z)), "a name is needed");
      s.zones.push_back(*name);
    }
  }
  if (s.zones.empty())
    throw SettingsError("deployment.zones", shown(d["zones"]), "a list of zones is needed");
  s.clock_error_s = number(d, "clock_error_ms", "deployment.", 0, 0, 1e6) / 1000;
  if (auto* teams = d["teams"].as_array()) {
    for (const auto& node : *teams) {
      View t(&node);
      const std::string where = "deployment.teams.";
      Team team;
      team.name = need_string(t, "name", where);
      team.cpus = number(t, "cpus", where, 0, 0, 1e9);
      team.cpus_max = number(t, "cpus_max", where, 0, 0, 1e9);
      team.gpus = number(t, "gpus", where, 0, 0, 1e9);
      team.gpus_max = number(t, "gpus_max", where, 0, 0, 1e9);
      s.teams.push_back(team);
    }
  }
  if (s.teams.empty())
    throw SettingsError("deployment.teams", shown(d["teams"]), "a list of teams is needed");
  if (auto* objectives = d["objectives"].as_array()) {
    for (const auto& node : *objectives) {
      View o(&node);
      Objective obj;
      obj.kind = need_string(o, "kind", "deployment.objectives.");
      obj.job_class = o["class"].value_or(std::string());
      obj.within_s = number(o, "within_s", "deployment.objectives.", 0, 0, 1e9);
      obj.share = number(o, "share", "deployment.objectives.", 0, 0, 1e9);
      s.objectives.push_back(obj);
    }
  }
  View w = d["workers"];
  s.report_s = number(w, "report_s", "deployment.workers.", s.report_s, 0.01, 3600);
  s.lease_s = number(w, "lease_s", "deployment.workers.", s.lease_s, 0.1, 86400);
  s.gang_wait_s = number(w, "gang_wait_s", "deployment.workers.", s.gang_wait_s, 0, 86400);
  s.gang_peer_s = number(w, "gang_peer_s", "deployment.workers.", s.gang_peer_s, 0, 86400);
  s.cancel_s = number(w, "cancel_s", "deployment.workers.", s.cancel_s, 0.1, 86400);
  // Nearer, no leader could answer an agent without risking that a cancelled task outlives cancel_s.
  if (s.renewal_window_s() < 1)
    throw SettingsError("deployment.workers.cancel_s", fmt::format("{}", s.cancel_s),
                        fmt::format("too near lease_s = {}", s.lease_s));
  s.state_limits = state_limits(d["state"]);
  View c = d["cloud"];
  s.cloud_rps = number(c, "rps", "deployment.cloud.", s.cloud_rps, 0.1, 1e6);
  s.cloud_list_lag_s = number(c, "list_lag_s", "deployment.cloud.", s.cloud_list_lag_s, 0, 3600);
  View q = d["quota"];
  s.core_share = number(q, "core_share", "deployment.quota.", s.core_share, 0.001, 1024);
  s.ram_mb = number(q, "ram_mb", "deployment.quota.", s.ram_mb, 0, 1e9);
  s.max_sockets = static_cast<int>(number(q, "fd_limit", "deployment.quota.", s.max_sockets, 16, 1e7));
  return s;
}

void check(const Tuning& t) {
  auto need = [](bool ok, const char* field, double value, const char* why) {
    if (ok) return;
    std::ostringstream shown_value;
    shown_value << value;
    throw SettingsError(field, shown_value.str(), why);
  };
  need(t.window_s >= 1 && t.window_s <= 3600, "usage.window_s", t.window_s, "must be 1 to 3600");
  need(t.windows >= 1 && t.windows <= 1000, "usage.windows", t.windows, "must be 1 to 1000");
  need(t.decay > 0 && t.decay <= 1, "usage.decay", t.decay, "must be above 0 and at most 1");
  need(t.image_factor >= 0, "rank.image_factor", t.image_factor, "must not be negative");
  need(t.size_factor >= 0, "rank.size_factor", t.size_factor, "must not be negative");
  need(t.usage_factor >= 0, "rank.usage_factor", t.usage_factor, "must not be negative");
  const double sum = t.image_factor + t.size_factor + t.usage_factor;
  need(std::abs(sum - 1) < 1e-6, "rank.image_factor+size_factor+usage_factor", sum, "must sum to 1");
  need(t.round_s >= 0.1 && t.round_s <= 60, "round_s", t.round_s, "must be 0.1 to 60");
  need(t.partitions_per_zone >= 0 && t.partitions_per_zone <= 64, "parts.per_zone", t.partitions_per_zone,
       "must be 0 to 64");
  need(t.member_ttl_s >= 0.5 && t.member_ttl_s <= 600, "member.ttl_s", t.member_ttl_s, "must be 0.5 to 600");
  need(t.flush_s >= 0.02 && t.flush_s <= 2, "state.flush_s", t.flush_s, "must be 0.02 to 2");
  need(t.sync_s >= 0.05 && t.sync_s <= 2, "state.sync_s", t.sync_s, "must be 0.05 to 2");
  need(t.sync_least_s >= 0.01 && t.sync_least_s <= t.sync_s, "state.sync_least_s", t.sync_least_s,
       "must be 0.01 to state.sync_s");
  need(t.idle_return_s >= 1, "hire.idle_return_s", t.idle_return_s, "must be at least 1");
  need(t.gang_reservation_delay_s >= 0, "gather.patience_s", t.gang_reservation_delay_s,
       "must not be negative");
  need(t.scale_out_batch >= 1 && t.scale_out_batch <= 50, "hire.batch", t.scale_out_batch, "must be 1 to 50");
}

Tuning load_properties(const std::string& path) {
  Tuning t;
  Poco::AutoPtr<Poco::Util::PropertyFileConfiguration> p;
  try {
    p = new Poco::Util::PropertyFileConfiguration(path);
  } catch (const Poco::Exception& e) {
    throw SettingsError("properties", path, e.displayText());
  }
  auto real = [&](const char* key, double& into) {
    try {
      if (p->has(key)) into = p->getDouble(key);
    } catch (const Poco::Exception&) {
      throw SettingsError(key, p->getRawString(key), "a number is needed");
    }
  };
  auto whole = [&](const char* key, int& into) {
    try {
      if (p->has(key)) into = p->getInt(key);
    } catch (const Poco::Exception&) {
      throw SettingsError(key, p->getRawString(key), "a whole number is needed");
    }
  };
  real("usage.window_s", t.window_s);
  whole("usage.windows", t.windows);
  real("usage.decay", t.decay);
  real("rank.image_factor", t.image_factor);
  real("rank.size_factor", t.size_factor);
  real("rank.usage_factor", t.usage_factor);
  real("round_s", t.round_s);
  whole("parts.per_zone", t.partitions_per_zone);
  real("member.ttl_s", t.member_ttl_s);
  real("state.flush_s", t.flush_s);
  real("state.sync_s", t.sync_s);
  real("state.sync_least_s", t.sync_least_s);
  real("hire.idle_return_s", t.idle_return_s);
  whole("hire.batch", t.scale_out_batch);
  real("gather.patience_s", t.gang_reservation_delay_s);
  check(t);
  return t;
}

}  // namespace finchrun::config
