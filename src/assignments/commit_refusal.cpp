#include "assignments/commit_refusal.hpp"

namespace finchrun::assignments {

using state::CommitStatus;

spdlog::level::level_enum refusal_level(CommitStatus status) {
  if (status == CommitStatus::done || status == CommitStatus::conflict) return spdlog::level::info;
  return status == CommitStatus::malformed ? spdlog::level::err : spdlog::level::warn;
}

std::string refusal_line(std::string_view event, std::string_view partition,
                         const state::CommitResult& result) {
  return fmt::format("{} partition={} reason={} failed_key={}", event, partition,
                     state::name_of(result.outcome),
                     result.failed_keys.empty() ? "-" : result.failed_keys.front());
}

void log_refusal(std::string_view event, std::string_view partition, const state::CommitResult& result) {
  spdlog::log(refusal_level(result.outcome), "{}", refusal_line(event, partition, result));
}

}  // namespace finchrun::assignments
