#include "assignments/commit_refusal.hpp"

namespace finchrun::assignments {

using state::CommitStatus;

std::string_view commit_status_name(CommitStatus status) {
  switch (status) {
    case CommitStatus::done:
      return "done";
    case CommitStatus::conflict:
      return "conflict";
    case CommitStatus::lease_expired:
      return "lease_expired";
    case CommitStatus::refused:
      return "refused";
    case CommitStatus::too_large:
      return "too_large";
    case CommitStatus::malformed:
      return "malformed";
    case CommitStatus::unknown:
      return "unknown";
  }
  return "unknown";
}

spdlog::level::level_enum refusal_level(CommitStatus status) {
  if (status == CommitStatus::done || status == CommitStatus::conflict) return spdlog::level::info;
  return status == CommitStatus::malformed ? spdlog::level::err : spdlog::level::warn;
}

std::string refusal_line(std::string_view event, std::string_view partition,
                         const state::CommitResult& result) {
  return fmt::format("{} partition={} reason={} failed_key={}", event, partition,
                     commit_status_name(result.outcome), result.failed.empty() ? "-" : result.failed.front());
}

void log_refusal(std::string_view event, std::string_view partition, const state::CommitResult& result) {
  spdlog::log(refusal_level(result.outcome), "{}", refusal_line(event, partition, result));
}

}  // namespace finchrun::assignments
