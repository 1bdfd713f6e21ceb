// What a task takes of a machine and what a machine has.
#pragma once

#include <algorithm>
#include <limits>

namespace finchrun::core {

/// Cores, accelerators and memory, of a task or of a machine.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double ram_gb = 0;

  // Amounts are decimal numbers: sums of fractions may miss a whole by rounding only.
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
  /// Does a task of this need fit into `free`?
  [[nodiscard]] bool fits(const Resources& free) const {
    return cpus <= free.cpus + kSlack && gpus <= free.gpus + kSlack && ram_gb <= free.ram_gb + kSlack;
  }
  /// How many tasks of this need fit into `free`; a million for a task that needs nothing.
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
