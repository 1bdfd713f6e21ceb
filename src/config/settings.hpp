// The platform's settings file (TOML) and the operators' properties file.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace finchrun::config {

/// Reports an invalid setting on one line with its field and value; the program exits with status 2.
struct SettingsError : std::runtime_error {
  SettingsError(const std::string& field, const std::string& value, const std::string& reason)
      : std::runtime_error("bad setting: " + field + " = " + value + ": " + reason) {}
};

/// An IPv4 address with a port.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
  [[nodiscard]] std::string text() const { return host + ":" + std::to_string(port); }
};
/// Returns nullopt unless the text is an IPv4 address with a port.
std::optional<Endpoint> parse_endpoint(const std::string& text);

/// Another controller of the deployment.
struct Member {
  std::string label;
  std::string zone;
  Endpoint peer_endpoint;
};

/// A team's guarantee and limit.
struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0;  // guarantee and limit; 0 means none
  double gpus = 0, gpus_max = 0;
};

/// A service-level objective of one job class.
struct Objective {
  std::string kind;
  std::string job_class;
  double within_s = 0;
  double share = 0;
};

/// Limits that the key-value store enforces. Derived limits are computed only here.
struct StoreLimits {
  double requests_per_s = 100;
  double writes_per_s = 20;  // puts and deletes
  double max_value_kb = 8;   // of one value
  int max_transaction_writes = 16;

  /// How much of a transaction full values may take. The rest is for the compares and one more value.
  static constexpr double kMaxValuesKb = 40;
  /// The protocol's limit of a transaction's request body.
  static constexpr std::size_t kMaxTransactionBytes = 64 * 1024;
  // The size of a value above which the store refuses it.
  [[nodiscard]] std::size_t enforced_value_bytes() const {
    return static_cast<std::size_t>(max_value_kb * 1024);
  }
  // The size limit of one value, less a reserve of 5% for content that size estimates omit. A shard and the
  // tombstone list must fit into one transaction, whatever the store allows one value to have.
  [[nodiscard]] std::size_t max_value_bytes() const {
    constexpr double kMaxBytes = kMaxValuesKb * 1024 / 2;
    return static_cast<std::size_t>(std::min(max_value_kb * 1024 * 0.95, kMaxBytes));
  }
  [[nodiscard]] std::size_t max_writes() const { return static_cast<std::size_t>(max_transaction_writes); }
  [[nodiscard]] std::size_t max_compares() const { return 4 * max_writes(); }
  // The most values of full size in one transaction, whose body is limited as well.
  [[nodiscard]] std::size_t max_full_values() const {
    return std::max<std::size_t>(1, static_cast<std::size_t>(kMaxValuesKb / max_value_kb));
  }
};

/// The platform's settings, read once at start. The README lists their names in the file.
struct Settings {
  std::string label;
  std::string zone;
  Endpoint listen;
  Endpoint peer_listen;
  std::vector<Member> members;  // the other controllers
  Endpoint cloud_endpoint;
  Endpoint store_endpoint;
  int controller_count = 1;  // this one included
  std::vector<std::string> zones;
  double clock_error_s = 0;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 3, agent_lease_s = 30, gang_wait_s = 40, gang_peer_s = 6, cancel_s = 60;
  // The smaller of the current limits and those announced in `state.next`, which may apply at any time.
  StoreLimits store_limits;
  double cloud_requests_per_s = 5, cloud_list_lag_s = 5;
  double core_share = 1, ram_mb = 0;
  int max_sockets = 1000;

  /// Returns how old a leader's knowledge of cancellations may be while it still answers agents (rule
  /// `ran_cancelled`). Another controller may confirm a cancellation just after that knowledge was current,
  /// and an agent that is answered at the last moment keeps its tasks for another lease, counted from its
  /// heartbeat. 1% of a lease covers clock drift; the reserve covers other delays.
  [[nodiscard]] double lease_renewal_window_s() const {
    constexpr double kLeaseWithDrift = 1.01, kReserveS = 3.0;
    return cancel_s - agent_lease_s * kLeaseWithDrift - kReserveS;
  }
};

/// Reads and checks the settings file. Throws SettingsError.
Settings load_settings(const std::string& path);

/// The operators' settings. The defaults of the usage windows, their decay, the three cost factors and the
/// scheduling interval come from the paper that sched/rank.hpp cites and from the project's design.
struct Tuning {
  double usage_window_s = 30;  // length of a usage window
  int usage_windows = 12;      // usage windows kept
  double usage_decay = 0.8;    // weight of a window relative to the next newer one
  double image_factor = 0.3;   // the three factors sum to 1
  double size_factor = 0.1;
  double usage_factor = 0.6;
  double scheduling_interval_s = 2;      // interval of scheduling rounds
  int partitions_per_zone = 0;           // 0 means controllers / (2 * zones), at least 1
  double member_ttl_s = 3;               // store lease of a controller's membership
  double write_batch_interval_s = 0.25;  // longest time that records are batched before a write
  double max_sync_interval_s = 0.25;     // longest interval between reads of the store's changes
  double min_sync_interval_s = 0.12;     // shortest interval, while users wait for a read
  double scale_in_idle_s = 600;          // a rented machine that is idle longer is released
  int scale_out_batch = 4;               // most machines per scale-out request, unless half the need is more
  double gang_reservation_delay_s = 10;  // a gang that waits longer gets a reservation
};

/// Reads and checks the properties file. Throws SettingsError.
Tuning load_properties(const std::string& path);
/// Throws SettingsError for the first property that is out of its range.
void check(const Tuning& tuning);

}  // namespace finchrun::config
