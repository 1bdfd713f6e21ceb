// Logging of commits that did not succeed.
#pragma once

#include <spdlog/spdlog.h>

#include <string>
#include <string_view>

#include "state/key_value_store.hpp"

namespace finchrun::assignments {

/// Returns the log level for the status. Conflicts are expected with several writers (info). A malformed
/// transaction is a bug of the controller (error). An on-call engineer may want to look at all others
/// (warning).
spdlog::level::level_enum refusal_level(state::CommitStatus status);
/// Returns "<event> partition=... reason=... failed_key=...", with the key of the first compare that failed
/// ("-" if unknown).
std::string refusal_line(std::string_view event, std::string_view partition,
                         const state::CommitResult& result);
/// Logs `refusal_line` at `refusal_level`.
void log_refusal(std::string_view event, std::string_view partition, const state::CommitResult& result);

}  // namespace finchrun::assignments
