// Amounts of resources: the need of a task, or the size of a machine.
#pragma once

#include <algorithm>
#include <limits>

namespace finchrun::core {

/// Cores, accelerators and memory, of a task or of a machine.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double ram_gb = 0;

  // Tolerance for rounding errors in sums of decimal fractions.
  static constexpr double kRoundingTolerance = 1e-6;

  Resources& operator+=(const Resources& other) {
    cpus += other.cpus, gpus += other.gpus, ram_gb += other.ram_gb;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus, gpus -= other.gpus, ram_gb -= other.ram_gb;
    return *this;
  }
  friend Resources operator*(Resources amount, double factor) {
    return {amount.cpus * factor, amount.gpus * factor, amount.ram_gb * factor};
  }
  /// True if a task with this need fits into `free`.
  [[nodiscard]] bool fits_in(const Resources& free) const {
    return cpus <= free.cpus + kRoundingTolerance && gpus <= free.gpus + kRoundingTolerance &&
           ram_gb <= free.ram_gb + kRoundingTolerance;
  }
  /// Number of tasks with this need that fit into `free`, at most a million.
  [[nodiscard]] int max_copies_in(const Resources& free) const {
    constexpr double kMaxCopies = 1e6;
    double copies = kMaxCopies;
    if (cpus > 0) copies = std::min(copies, (free.cpus + kRoundingTolerance) / cpus);
    if (gpus > 0) copies = std::min(copies, (free.gpus + kRoundingTolerance) / gpus);
    if (ram_gb > 0) copies = std::min(copies, (free.ram_gb + kRoundingTolerance) / ram_gb);
    return copies <= 0 ? 0 : static_cast<int>(copies);
  }
};

}  // namespace finchrun::core
