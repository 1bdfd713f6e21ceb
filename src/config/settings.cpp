#include "config/settings.hpp"

#include <Poco/Exception.h>
#include <Poco/Util/PropertyFileConfiguration.h>
#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <cmath>
#include <limits>
#include <sstream>
#include <variant>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

namespace finchrun::config {
namespace {

using View = toml::node_view<const toml::node>;

constexpr double kUnlimited = std::numeric_limits<double>::infinity();

/// A setting's value for an error line: on one line, and not too long.
std::string shown(const View& value) {
  constexpr std::size_t kMostCharacters = 60;
  std::ostringstream out;
  if (value) {
    value.visit([&](const auto& node) { out << node; });
  } else {
    out << "(missing)";
  }
  std::string text = out.str();
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text.size() > kMostCharacters ? text.substr(0, kMostCharacters) + "..." : text;
}

// `where`, here and below: the table's path with a dot at its end, for error lines.
std::string need_string(View table, const char* key, const std::string& where) {
  auto value = table[key].value_exact<std::string>();
  if (!value || value->empty()) throw SettingsError(where + key, shown(table[key]), "a name is needed");
  return *value;
}

double number(View table, const char* key, const std::string& where, double fallback, double least,
              double most) {
  if (!table[key]) return fallback;
  auto value = table[key].value<double>();
  if (!value || !std::isfinite(*value) || *value < least || *value > most || !table[key].is_number())
    throw SettingsError(where + key, shown(table[key]), "a number in range is needed");
  return *value;
}

/// A number of one table that goes into a field as it is; its default is the field's initializer.
template <class Into>
struct NumberField {
  const char* key;
  double Into::*field;
  double least, most;
};

template <class Into, std::size_t count>
void read_numbers(View table, const std::string& where, const NumberField<Into> (&fields)[count],
                  Into& into) {
  for (const auto& [key, field, least, most] : fields)
    into.*field = number(table, key, where, into.*field, least, most);
}

constexpr NumberField<Team> kTeamFields[] = {
    {"cpus", &Team::cpus, 0, 1e9},
    {"cpus_max", &Team::cpus_max, 0, 1e9},
    {"gpus", &Team::gpus, 0, 1e9},
    {"gpus_max", &Team::gpus_max, 0, 1e9},
};
constexpr NumberField<Objective> kObjectiveFields[] = {
    {"within_s", &Objective::within_s, 0, 1e9},
    {"share", &Objective::share, 0, 1e9},
};
constexpr NumberField<Settings> kAgentFields[] = {
    {"report_s", &Settings::report_s, 0.01, 3600},     {"lease_s", &Settings::lease_s, 0.1, 86400},
    {"gang_wait_s", &Settings::gang_wait_s, 0, 86400}, {"gang_peer_s", &Settings::gang_peer_s, 0, 86400},
    {"cancel_s", &Settings::cancel_s, 0.1, 86400},
};
constexpr NumberField<Settings> kCloudFields[] = {
    {"rps", &Settings::cloud_rps, 0.1, 1e6},
    {"list_lag_s", &Settings::cloud_list_lag_s, 0, 3600},
};
constexpr NumberField<Settings> kProcessFields[] = {
    {"core_share", &Settings::core_share, 0.001, 1024},
    {"ram_mb", &Settings::ram_mb, 0, 1e9},
};
constexpr NumberField<StateLimits> kStateLimitFields[] = {
    {"rps", &StateLimits::requests_per_s, 1, 1e6},
    {"write_rps", &StateLimits::writes_per_s, 1, 1e6},
    {"value_kb", &StateLimits::value_kb, 1, 1e6},
};

Endpoint need_endpoint(View table, const char* key, const std::string& where) {
  auto text = need_string(table, key, where);
  auto endpoint = parse_endpoint(text);
  if (!endpoint) throw SettingsError(where + key, text, "an IPv4 address with a port is needed");
  return *endpoint;
}

/// The fields of one table; those that are missing keep the values of `limits`.
StateLimits read_state_limits(View table, const std::string& where, StateLimits limits) {
  read_numbers(table, where, kStateLimitFields, limits);
  limits.transaction_writes =
      static_cast<int>(number(table, "txn_ops", where, limits.transaction_writes, 4, 1e6));
  return limits;
}

/// The smaller of the present limits and of those announced in `next`.
StateLimits state_limits(View table) {
  const std::string where = "deployment.state.";
  const auto present = read_state_limits(table, where, {});
  const View announced = table["next"];
  if (!announced) return present;
  if (!announced.is_table()) throw SettingsError(where + "next", shown(announced), "a table is needed");
  const auto next = read_state_limits(announced, where + "next.", present);
  StateLimits smaller;
  smaller.requests_per_s = std::min(present.requests_per_s, next.requests_per_s);
  smaller.writes_per_s = std::min(present.writes_per_s, next.writes_per_s);
  smaller.value_kb = std::min(present.value_kb, next.value_kb);
  smaller.transaction_writes = std::min(present.transaction_writes, next.transaction_writes);
  return smaller;
}

toml::table parse_toml(const std::string& path) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    std::ostringstream at;
    at << error.source().begin;
    throw SettingsError("file", path, std::string(error.description()) + " (" + at.str() + ")");
  }
}

/// One item for each of the array's, by `read`; none if the key is missing or no array.
template <class Item, class Read>
std::vector<Item> read_array(View table, const char* key, Read read) {
  std::vector<Item> items;
  if (const auto* array = table[key].as_array()) {
    items.reserve(array->size());
    for (const auto& node : *array) items.push_back(read(View(&node)));
  }
  return items;
}

Member read_member(View table) {
  const std::string where = "members.";
  return {need_string(table, "label", where), need_string(table, "domain", where),
          need_endpoint(table, "endpoint", where)};
}

std::string read_zone(View value) {
  auto name = value.value_exact<std::string>();
  if (!name) throw SettingsError("deployment.zones", shown(value), "a name is needed");
  return *name;
}

Team read_team(View table) {
  const std::string where = "deployment.teams.";
  Team team;
  team.name = need_string(table, "name", where);
  read_numbers(table, where, kTeamFields, team);
  return team;
}

Objective read_objective(View table) {
  const std::string where = "deployment.objectives.";
  Objective objective;
  objective.kind = need_string(table, "kind", where);
  objective.job_class = table["class"].value_or(std::string());
  read_numbers(table, where, kObjectiveFields, objective);
  return objective;
}

/// The `deployment` table, which is alike for all controllers. `settings.members` is read before it.
void read_deployment(View table, Settings& settings) {
  settings.nodes = static_cast<int>(
      number(table, "nodes", "deployment.", static_cast<double>(settings.members.size() + 1), 1, 99));
  settings.zones = read_array<std::string>(table, "zones", read_zone);
  if (settings.zones.empty())
    throw SettingsError("deployment.zones", shown(table["zones"]), "a list of zones is needed");
  constexpr double kMsPerS = 1000;
  settings.clock_error_s = number(table, "clock_error_ms", "deployment.", 0, 0, 1e6) / kMsPerS;
  settings.teams = read_array<Team>(table, "teams", read_team);
  if (settings.teams.empty())
    throw SettingsError("deployment.teams", shown(table["teams"]), "a list of teams is needed");
  settings.objectives = read_array<Objective>(table, "objectives", read_objective);
  read_numbers(table["workers"], "deployment.workers.", kAgentFields, settings);
  // Nearer, no leader could answer an agent without risking that a cancelled task outlives cancel_s.
  if (settings.renewal_window_s() < 1)
    throw SettingsError("deployment.workers.cancel_s", fmt::format("{}", settings.cancel_s),
                        fmt::format("too near lease_s = {}", settings.lease_s));
  settings.state_limits = state_limits(table["state"]);
  read_numbers(table["cloud"], "deployment.cloud.", kCloudFields, settings);
  read_numbers(table["quota"], "deployment.quota.", kProcessFields, settings);
  settings.max_sockets = static_cast<int>(
      number(table["quota"], "fd_limit", "deployment.quota.", settings.max_sockets, 16, 1e7));
}

/// One of the operators' properties: its name, where it goes, and its range.
struct Property {
  const char* name;
  std::variant<double Tuning::*, int Tuning::*> field;
  double least, most;
  const char* rule;  // what the error line says
};

// More than nothing.
constexpr double kAboveZero = std::numeric_limits<double>::denorm_min();

constexpr Property kProperties[] = {
    {"usage.window_s", &Tuning::window_s, 1, 3600, "must be 1 to 3600"},
    {"usage.windows", &Tuning::windows, 1, 1000, "must be 1 to 1000"},
    {"usage.decay", &Tuning::decay, kAboveZero, 1, "must be above 0 and at most 1"},
    {"rank.image_factor", &Tuning::image_factor, 0, kUnlimited, "must not be negative"},
    {"rank.size_factor", &Tuning::size_factor, 0, kUnlimited, "must not be negative"},
    {"rank.usage_factor", &Tuning::usage_factor, 0, kUnlimited, "must not be negative"},
    {"round_s", &Tuning::round_s, 0.1, 60, "must be 0.1 to 60"},
    {"parts.per_zone", &Tuning::partitions_per_zone, 0, 64, "must be 0 to 64"},
    {"member.ttl_s", &Tuning::member_ttl_s, 0.5, 600, "must be 0.5 to 600"},
    {"state.flush_s", &Tuning::flush_s, 0.02, 2, "must be 0.02 to 2"},
    {"state.sync_s", &Tuning::sync_s, 0.05, 2, "must be 0.05 to 2"},
    {"state.sync_least_s", &Tuning::sync_least_s, 0.01, kUnlimited, "must be 0.01 to state.sync_s"},
    {"hire.idle_return_s", &Tuning::idle_return_s, 1, kUnlimited, "must be at least 1"},
    {"hire.batch", &Tuning::scale_out_batch, 1, 50, "must be 1 to 50"},
    {"gather.patience_s", &Tuning::gang_reservation_delay_s, 0, kUnlimited, "must not be negative"},
};

void require(bool holds, const char* name, double value, const char* rule) {
  if (holds) return;
  std::ostringstream shown_value;
  shown_value << value;
  throw SettingsError(name, shown_value.str(), rule);
}

void read_property(const Poco::Util::PropertyFileConfiguration& file, const Property& property,
                   Tuning& tuning) {
  if (!file.has(property.name)) return;
  const bool whole = std::holds_alternative<int Tuning::*>(property.field);
  try {
    if (whole) {
      tuning.*std::get<int Tuning::*>(property.field) = file.getInt(property.name);
    } else {
      tuning.*std::get<double Tuning::*>(property.field) = file.getDouble(property.name);
    }
  } catch (const Poco::Exception&) {
    throw SettingsError(property.name, file.getRawString(property.name),
                        whole ? "a whole number is needed" : "a number is needed");
  }
}

}  // namespace

std::optional<Endpoint> parse_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  Endpoint endpoint;
  endpoint.host = text.substr(0, colon);
  boost::system::error_code ec;
  boost::asio::ip::make_address_v4(endpoint.host, ec);
  if (ec) return std::nullopt;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, endpoint.port);
  if (error != std::errc() || end != last || endpoint.port == 0) return std::nullopt;
  return endpoint;
}

Settings load_settings(const std::string& path) {
  const toml::table document = parse_toml(path);
  const toml::node& root_node = document;
  const View root(&root_node);
  Settings settings;
  settings.label = need_string(root, "label", "");
  settings.zone = need_string(root, "domain", "");
  settings.listen = need_endpoint(root, "bind", "");
  settings.peer_listen = need_endpoint(root, "peer_listen", "");
  settings.members = read_array<Member>(root, "members", read_member);
  settings.cloud = need_endpoint(root["endpoints"], "cloud", "endpoints.");
  settings.state = need_endpoint(root["endpoints"], "state", "endpoints.");
  read_deployment(root["deployment"], settings);
  return settings;
}

void check(const Tuning& tuning) {
  for (const auto& property : kProperties) {
    const double value =
        std::visit([&](auto field) { return static_cast<double>(tuning.*field); }, property.field);
    require(value >= property.least && value <= property.most, property.name, value, property.rule);
  }
  constexpr double kRounding = 1e-6;
  const double sum = tuning.image_factor + tuning.size_factor + tuning.usage_factor;
  require(std::abs(sum - 1) < kRounding, "rank.image_factor+size_factor+usage_factor", sum, "must sum to 1");
  require(tuning.sync_least_s <= tuning.sync_s, "state.sync_least_s", tuning.sync_least_s,
          "must be 0.01 to state.sync_s");
}

Tuning load_properties(const std::string& path) {
  Poco::AutoPtr<Poco::Util::PropertyFileConfiguration> file;
  try {
    file = new Poco::Util::PropertyFileConfiguration(path);
  } catch (const Poco::Exception& error) {
    throw SettingsError("properties", path, error.displayText());
  }
  Tuning tuning;
  for (const auto& property : kProperties) read_property(*file, property, tuning);
  check(tuning);
  return tuning;
}

}  // namespace finchrun::config
