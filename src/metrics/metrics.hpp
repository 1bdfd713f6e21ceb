// Counters and gauges of this process, in the Prometheus text format (library prometheus-cpp).
#pragma once

#include <cstdint>
#include <string>

namespace finchrun::metrics {

/// An attempt counts as gone; `proof` is the name of an agent::ExitProof.
void count_exit(const char* proof);
/// A start command leaves; `path` is `direct` or `heartbeat`.
void count_start(const char* path);
/// A direct stop was sent; `result` is the name of a gateway::Delivery.
void count_stop(const char* result);
/// An agent's heartbeat is not answered, so that its lease is not renewed.
void count_refused_renewal(const char* reason);
/// A direct start is not sent; `reason` is the name of an agent::StartRefusal, or `suspended`.
void count_refused_start(const char* reason);
/// An invariant does not hold; `invariant` names it as the log line does.
void count_violation(const char* invariant);
/// A transaction was sent to the key-value store, or not sent; `outcome` is the name of a
/// state::CommitStatus.
void count_commit(const char* outcome);
/// An agent holds a task that no record names.
void count_unrecorded_task();

/// Sets the revision up to which the store was read, and the age of that read.
void set_state(std::uint64_t revision, double age_s);
/// Sets the fencing token under which this process leads the partition; 0: it does not.
void set_fencing_token(const std::string& partition, std::uint64_t token);

/// Sets the number of tasks of cancelled jobs that may be on machines of partitions led here, the time since
/// the oldest of their cancellations was learnt, and the age of `ControllerState::cancellations_known_at`.
void set_cancellations(double lingering_tasks, double oldest_s, double known_age_s);

/// Returns all metrics as text.
std::string render();
/// The content type of `render`.
inline constexpr const char* kContentType = "text/plain; version=0.0.4";

}  // namespace finchrun::metrics
