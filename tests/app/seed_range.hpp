// The seeds of tests with random days: a few in CI, others by hand.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <sstream>

namespace finchrun::sim {

/// The seeds from `first` to before `last`.
struct SeedRange {
  std::uint32_t first = 0, last = 0;
};

/// Returns the range "FIRST LAST" in the environment variable, if it is set, otherwise `defaults`.
inline SeedRange seeds_from(const char* variable, SeedRange defaults) {
  if (const char* text = std::getenv(variable)) std::istringstream(text) >> defaults.first >> defaults.last;
  return defaults;
}

}  // namespace finchrun::sim
