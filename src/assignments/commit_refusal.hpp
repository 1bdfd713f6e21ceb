// How a commit that did not succeed is logged.
#pragma once

#include <spdlog/spdlog.h>

#include <string>
#include <string_view>

#include "state/key_value_store.hpp"

namespace finchrun::assignments {

/// A conflict is expected among several writers; a malformed transaction is a fault of ours; the rest an
/// on-call engineer may look at.
spdlog::level::level_enum refusal_level(state::CommitStatus status);
/// "<event> partition=... reason=... failed_key=...", with the first compare that failed ("-": none is
/// known).
std::string refusal_line(std::string_view event, std::string_view partition,
                         const state::CommitResult& result);
/// Logs that line at that level.
void log_refusal(std::string_view event, std::string_view partition, const state::CommitResult& result);

}  // namespace finchrun::assignments
