// Counters and gauges of this process, in the Prometheus text format (library prometheus-cpp).
#pragma once

#include <cstdint>
#include <string>

namespace finchrun::metrics {

/// An attempt counts as gone; `proof` is the name of an agent::ExitProof.
void count_exit(const char* proof);
/// A start command leaves; `path` is `direct` or `heartbeat`.
void count_start(const char* path);
/// A direct start is not sent; `reason` is the name of an agent::StartRefusal, or `suspended`.
void count_refused_start(const char* reason);
/// An invariant does not hold; `invariant` names it as the log line does.
void count_violation(const char* invariant);
/// An agent holds a task that no record names.
void count_unrecorded_task();

/// Sets the revision up to which the store was read, and the age of that read.
void set_state(std::uint64_t revision, double age_s);
/// Sets the fencing token under which this process leads the partition; 0: it does not.
void set_fencing_token(const std::string& partition, std::uint64_t token);

/// Returns all metrics as text.
std::string render();
/// The content type of `render`.
inline constexpr const char* kContentType = "text/plain; version=0.0.4";

}  // namespace finchrun::metrics
