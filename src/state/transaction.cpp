#include "state/transaction.hpp"

namespace finchrun::state {

const char* name_of(CommitStatus status) {
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
      break;
  }
  return "unknown";
}

bool is_permanent_refusal(CommitStatus status) {
  return status == CommitStatus::too_large || status == CommitStatus::malformed;
}

}  // namespace finchrun::state
