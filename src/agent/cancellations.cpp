#include "agent/cancellations.hpp"

namespace finchrun::agent {

const char* name_of(CancellationSource source) {
  switch (source) {
    case CancellationSource::commit:
      return "commit";
    case CancellationSource::read:
      return "read";
    case CancellationSource::load:
      return "load";
    case CancellationSource::announcement:
      return "announcement";
    case CancellationSource::ping:
      return "ping";
  }
  return "unknown";
}

KnownCancellation* Cancellations::find(core::JobId job) {
  const auto found = known_.find(job);
  return found == known_.end() ? nullptr : &found->second;
}

const KnownCancellation* Cancellations::find(core::JobId job) const {
  const auto found = known_.find(job);
  return found == known_.end() ? nullptr : &found->second;
}

}  // namespace finchrun::agent
