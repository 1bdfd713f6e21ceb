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

/// Renders a setting's value for an error message, on one line and truncated.
std::string render_value(const View& value) {
  constexpr std::size_t kMaxCharacters = 60;
  std::ostringstream out;
  if (value) {
    value.visit([&](const auto& node) { out << node; });
  } else {
    out << "(missing)";
  }
  std::string text = out.str();
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text.size() > kMaxCharacters ? text.substr(0, kMaxCharacters) + "..." : text;
}

// In the readers below, `table_path` ends with a dot; error messages put it before the key.
std::string require_string(View table, const char* key, const std::string& table_path) {
  auto value = table[key].value_exact<std::string>();
  if (!value || value->empty())
    throw SettingsError(table_path + key, render_value(table[key]), "must be a non-empty string");
  return *value;
}

double read_number(View table, const char* key, const std::string& table_path, double default_value,
                   double min, double max) {
  if (!table[key]) return default_value;
  auto value = table[key].value<double>();
  if (!value || !std::isfinite(*value) || *value < min || *value > max || !table[key].is_number())
    throw SettingsError(table_path + key, render_value(table[key]), "must be a number in the allowed range");
  return *value;
}

/// A numeric key of a table and the field that takes its value; the field's initializer is the default.
template <class Record>
struct NumberField {
  const char* key;
  double Record::*field;
  double min, max;
};

template <class Record, std::size_t count>
void read_numbers(View table, const std::string& table_path, const NumberField<Record> (&fields)[count],
                  Record& record) {
  for (const auto& [key, field, min, max] : fields)
    record.*field = read_number(table, key, table_path, record.*field, min, max);
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
    {"report_s", &Settings::heartbeat_interval_s, 0.01, 3600},
    {"lease_s", &Settings::agent_lease_s, 0.1, 86400},
    {"gang_wait_s", &Settings::gang_wait_s, 0, 86400},
    {"gang_peer_s", &Settings::gang_peer_s, 0, 86400},
    {"cancel_s", &Settings::cancel_s, 0.1, 86400},
};
constexpr NumberField<Settings> kCloudFields[] = {
    {"rps", &Settings::cloud_requests_per_s, 0.1, 1e6},
    {"list_lag_s", &Settings::cloud_list_lag_s, 0, 3600},
};
constexpr NumberField<Settings> kProcessFields[] = {
    {"core_share", &Settings::core_share, 0.001, 1024},
    {"ram_mb", &Settings::ram_mb, 0, 1e9},
};
constexpr NumberField<StoreLimits> kStoreLimitFields[] = {
    {"rps", &StoreLimits::requests_per_s, 1, 1e6},
    {"write_rps", &StoreLimits::writes_per_s, 1, 1e6},
    {"value_kb", &StoreLimits::max_value_kb, 1, 1e6},
};

Endpoint require_endpoint(View table, const char* key, const std::string& table_path) {
  auto text = require_string(table, key, table_path);
  auto endpoint = parse_endpoint(text);
  if (!endpoint) throw SettingsError(table_path + key, text, "must be an IPv4 address with a port");
  return *endpoint;
}

/// Reads the limits of one table; missing keys keep the values of `limits`.
StoreLimits read_store_limits(View table, const std::string& table_path, StoreLimits limits) {
  read_numbers(table, table_path, kStoreLimitFields, limits);
  limits.max_transaction_writes =
      static_cast<int>(read_number(table, "txn_ops", table_path, limits.max_transaction_writes, 4, 1e6));
  return limits;
}

/// Returns the smaller of the current limits and those announced in `next`, field by field.
StoreLimits effective_store_limits(View table) {
  const std::string table_path = "deployment.state.";
  const auto current = read_store_limits(table, table_path, {});
  const View announced = table["next"];
  if (!announced) return current;
  if (!announced.is_table())
    throw SettingsError(table_path + "next", render_value(announced), "must be a table");
  const auto next = read_store_limits(announced, table_path + "next.", current);
  StoreLimits smaller;
  smaller.requests_per_s = std::min(current.requests_per_s, next.requests_per_s);
  smaller.writes_per_s = std::min(current.writes_per_s, next.writes_per_s);
  smaller.max_value_kb = std::min(current.max_value_kb, next.max_value_kb);
  smaller.max_transaction_writes = std::min(current.max_transaction_writes, next.max_transaction_writes);
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

/// Reads each element of an array with `read`. Returns no items if the key is missing or not an array.
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
  const std::string table_path = "members.";
  return {require_string(table, "label", table_path), require_string(table, "domain", table_path),
          require_endpoint(table, "endpoint", table_path)};
}

std::string read_zone(View value) {
  auto name = value.value_exact<std::string>();
  if (!name) throw SettingsError("deployment.zones", render_value(value), "must be a string");
  return *name;
}

Team read_team(View table) {
  const std::string table_path = "deployment.teams.";
  Team team;
  team.name = require_string(table, "name", table_path);
  read_numbers(table, table_path, kTeamFields, team);
  return team;
}

Objective read_objective(View table) {
  const std::string table_path = "deployment.objectives.";
  Objective objective;
  objective.kind = require_string(table, "kind", table_path);
  objective.job_class = table["class"].value_or(std::string());
  read_numbers(table, table_path, kObjectiveFields, objective);
  return objective;
}

/// Reads the `deployment` table, which is the same for all controllers. `settings.members` is set before.
void read_deployment(View table, Settings& settings) {
  settings.controller_count = static_cast<int>(
      read_number(table, "nodes", "deployment.", static_cast<double>(settings.members.size() + 1), 1, 99));
  settings.zones = read_array<std::string>(table, "zones", read_zone);
  if (settings.zones.empty())
    throw SettingsError("deployment.zones", render_value(table["zones"]),
                        "must be a non-empty list of zones");
  constexpr double kMsPerS = 1000;
  settings.clock_error_s = read_number(table, "clock_error_ms", "deployment.", 0, 0, 1e6) / kMsPerS;
  settings.teams = read_array<Team>(table, "teams", read_team);
  if (settings.teams.empty())
    throw SettingsError("deployment.teams", render_value(table["teams"]),
                        "must be a non-empty list of teams");
  settings.objectives = read_array<Objective>(table, "objectives", read_objective);
  read_numbers(table["workers"], "deployment.workers.", kAgentFields, settings);
  // With a smaller window every answer of a leader to an agent risks that a cancelled task outlives cancel_s.
  if (settings.lease_renewal_window_s() < 1)
    throw SettingsError("deployment.workers.cancel_s", fmt::format("{}", settings.cancel_s),
                        fmt::format("too close to lease_s = {}", settings.agent_lease_s));
  settings.store_limits = effective_store_limits(table["state"]);
  read_numbers(table["cloud"], "deployment.cloud.", kCloudFields, settings);
  read_numbers(table["quota"], "deployment.quota.", kProcessFields, settings);
  settings.max_sockets = static_cast<int>(
      read_number(table["quota"], "fd_limit", "deployment.quota.", settings.max_sockets, 16, 1e7));
}

/// One of the operators' properties: its name, the field that takes its value, and its range.
struct Property {
  const char* name;
  std::variant<double Tuning::*, int Tuning::*> field;
  double min, max;
  const char* requirement;  // for the error message
};

// The lower bound of ranges that exclude 0.
constexpr double kSmallestPositive = std::numeric_limits<double>::denorm_min();

constexpr Property kProperties[] = {
    {"usage.window_s", &Tuning::usage_window_s, 1, 3600, "must be 1 to 3600"},
    {"usage.windows", &Tuning::usage_windows, 1, 1000, "must be 1 to 1000"},
    {"usage.decay", &Tuning::usage_decay, kSmallestPositive, 1, "must be above 0 and at most 1"},
    {"rank.image_factor", &Tuning::image_factor, 0, kUnlimited, "must not be negative"},
    {"rank.size_factor", &Tuning::size_factor, 0, kUnlimited, "must not be negative"},
    {"rank.usage_factor", &Tuning::usage_factor, 0, kUnlimited, "must not be negative"},
    {"round_s", &Tuning::scheduling_interval_s, 0.1, 60, "must be 0.1 to 60"},
    {"parts.per_zone", &Tuning::partitions_per_zone, 0, 64, "must be 0 to 64"},
    {"member.ttl_s", &Tuning::member_ttl_s, 0.5, 600, "must be 0.5 to 600"},
    {"state.flush_s", &Tuning::write_batch_interval_s, 0.02, 2, "must be 0.02 to 2"},
    {"state.sync_s", &Tuning::max_sync_interval_s, 0.05, 2, "must be 0.05 to 2"},
    {"state.sync_least_s", &Tuning::min_sync_interval_s, 0.01, kUnlimited, "must be 0.01 to state.sync_s"},
    {"hire.idle_return_s", &Tuning::scale_in_idle_s, 1, kUnlimited, "must be at least 1"},
    {"hire.batch", &Tuning::scale_out_batch, 1, 50, "must be 1 to 50"},
    {"gather.patience_s", &Tuning::gang_reservation_delay_s, 0, kUnlimited, "must not be negative"},
};

void require(bool is_valid, const char* name, double value, const char* requirement) {
  if (is_valid) return;
  std::ostringstream rendered_value;
  rendered_value << value;
  throw SettingsError(name, rendered_value.str(), requirement);
}

void read_property(const Poco::Util::PropertyFileConfiguration& file, const Property& property,
                   Tuning& tuning) {
  if (!file.has(property.name)) return;
  const bool is_integer = std::holds_alternative<int Tuning::*>(property.field);
  try {
    if (is_integer) {
      tuning.*std::get<int Tuning::*>(property.field) = file.getInt(property.name);
    } else {
      tuning.*std::get<double Tuning::*>(property.field) = file.getDouble(property.name);
    }
  } catch (const Poco::Exception&) {
    throw SettingsError(property.name, file.getRawString(property.name),
                        is_integer ? "must be an integer" : "must be a number");
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
  settings.label = require_string(root, "label", "");
  settings.zone = require_string(root, "domain", "");
  settings.listen = require_endpoint(root, "bind", "");
  settings.peer_listen = require_endpoint(root, "peer_listen", "");
  settings.members = read_array<Member>(root, "members", read_member);
  settings.cloud_endpoint = require_endpoint(root["endpoints"], "cloud", "endpoints.");
  settings.store_endpoint = require_endpoint(root["endpoints"], "state", "endpoints.");
  read_deployment(root["deployment"], settings);
  return settings;
}

void check(const Tuning& tuning) {
  for (const auto& property : kProperties) {
    const double value =
        std::visit([&](auto field) { return static_cast<double>(tuning.*field); }, property.field);
    require(value >= property.min && value <= property.max, property.name, value, property.requirement);
  }
  constexpr double kTolerance = 1e-6;
  const double sum = tuning.image_factor + tuning.size_factor + tuning.usage_factor;
  require(std::abs(sum - 1) < kTolerance, "rank.image_factor+size_factor+usage_factor", sum, "must sum to 1");
  require(tuning.min_sync_interval_s <= tuning.max_sync_interval_s, "state.sync_least_s",
          tuning.min_sync_interval_s, "must be 0.01 to state.sync_s");
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
