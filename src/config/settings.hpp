// The platform's settings file (TOML) and the operators' own properties.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace finchrun::config {

/// One line naming the field and the value; the program ends with status 2.
struct SettingsError : std::runtime_error {
  SettingsError(const std::string& field, const std::string& value, const std::string& why)
      : std::runtime_error("bad setting: " + field + " = " + value + ": " + why) {}
};

/// An IPv4 address with a port.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
  [[nodiscard]] std::string text() const { return host + ":" + std::to_string(port); }
};
/// Nothing unless the text is an IPv4 address with a port.
std::optional<Endpoint> parse_endpoint(const std::string& text);

/// Another controller, as the settings name it.
struct Member {
  std::string label;
  std::string zone;
  Endpoint peer;
};

/// A team's guarantee and limit.
struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0;  // 0: none guaranteed, no limit
  double gpus = 0, gpus_max = 0;
};

/// A service-level objective of one job class.
struct Objective {
  std::string kind;
  std::string job_class;
  double within_s = 0;
  double share = 0;
};

/// What the key-value store takes. All of it is computed here once; nothing else reads the settings' own
/// fields.
struct StateLimits {
  double requests_per_s = 100;
  double writes_per_s = 20;  // puts and deletes
  double value_kb = 8;       // of one value
  int transaction_writes = 16;

  // What one value may hold, with a reserve for what its size was not computed from.
  [[nodiscard]] std::size_t value_bytes() const { return static_cast<std::size_t>(value_kb * 1024 * 0.95); }
  [[nodiscard]] std::size_t max_writes() const { return static_cast<std::size_t>(transaction_writes); }
  [[nodiscard]] std::size_t max_compares() const { return 4 * max_writes(); }
  // Most values of full size that one transaction may hold: its body is limited too.
  [[nodiscard]] std::size_t max_full_values() const {
    constexpr double kBodyKb =
        40;  // of the 64 that the protocol allows, besides conditions and one more value
    return std::max<std::size_t>(1, static_cast<std::size_t>(kBodyKb / value_kb));
  }
};

/// The platform's settings, read once at start. Names of the file: see the README's table.
struct Settings {
  std::string label;
  std::string zone;
  Endpoint listen;
  Endpoint peer_listen;
  std::vector<Member> members;  // the other controllers
  Endpoint cloud;
  Endpoint state;
  int nodes = 1;
  std::vector<std::string> zones;
  double clock_error_s = 0;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double report_s = 3, lease_s = 30, gang_wait_s = 40, gang_peer_s = 6, cancel_s = 60;
  // The smaller of the present limits and of those announced in `state.next`, whose moment is unknown.
  StateLimits state_limits;
  double cloud_rps = 5, cloud_list_lag_s = 5;
  double core_share = 1, ram_mb = 0;
  int max_sockets = 1000;

  /// How old a leader's knowledge of cancellations may be while it still answers agents (rule
  /// `ran_cancelled`). A job may have been cancelled elsewhere the moment after; an agent that is answered
  /// last keeps its tasks for another lease, counted from its heartbeat. 1% of a lease is for drift, the rest
  /// for what is not foreseen.
  [[nodiscard]] double renewal_window_s() const {
    constexpr double kLeaseWithDrift = 1.01, kReserveS = 3.0;
    return cancel_s - lease_s * kLeaseWithDrift - kReserveS;
  }
};

/// Reads and checks the settings file. Throws SettingsError.
Settings load_settings(const std::string& path);

/// The operators' own settings. Defaults marked (paper) are the design's starting values.
struct Tuning {
  double window_s = 30;       // (paper) usage window
  int windows = 12;           // (paper) windows kept
  double decay = 0.8;         // (paper) decay per window
  double image_factor = 0.3;  // (paper) the three factors sum to 1
  double size_factor = 0.1;
  double usage_factor = 0.6;
  double round_s = 2;           // (paper) placing round
  int partitions_per_zone = 0;  // 0: controllers over zones, at least 1
  double member_ttl_s = 3;      // store lease of a controller's membership
  double flush_s = 0.25;        // batching of records into writes
  double sync_s = 0.25;         // longest wait between reads of the store's changes
  double sync_least_s = 0.12;   // shortest, while users wait for one
  double idle_return_s = 600;   // a rented machine idle for this long is returned
  int scale_out_batch = 4;      // most machines asked for in one rental request, while half the need is less
  double gang_reservation_delay_s = 10;  // a gang that has waited for longer has room kept for it
};

/// Reads and checks the properties file. Throws SettingsError.
Tuning load_properties(const std::string& path);
/// Throws SettingsError for the first property that is out of its range.
void check(const Tuning& tuning);

}  // namespace finchrun::config
