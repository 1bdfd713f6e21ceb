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
  static constexpr double kSlack = 1e-6;

  Resources& operator+=(const Resources& other) {
    cpus += other.cpus, gpus += other.gpus, ram_gb += other.ram_gb;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus, gpus -= other.gpus, ram_gb -= other.ram_gb;
    return *this;
  }
  friend Resources operator*(Resources a, double n) { return {a.cpus * n, a.gpus * n, a.ram_gb * n}; }
  /// True if a task with this need fits into `free`.
  [[nodiscard]] bool fits(const Resources& free) const {
    return cpus <= free.cpus + kSlack && gpus <= free.gpus + kSlack && ram_gb <= free.ram_gb + kSlack;
  }
  /// Number of tasks with this need that fit into `free`, at most a million.
  [[nodiscard]] int times_in(const Resources& free) const {
    constexpr double kMostTasks = 1e6;
    double n = kMostTasks;
    if (cpus > 0) n = std::min(n, (free.cpus + kSlack) / cpus);
    if (gpus > 0) n = std::min(n, (free.gpus + kSlack) / gpus);
    if (ram_gb > 0) n = std::min(n, (free.ram_gb + kSlack) / ram_gb);
    return n <= 0 ? 0 : static_cast<int>(n);
  }
};

}  // namespace finchrun::core
