// The command line of the soak.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace finchrun::soak {

/// What one call of the soak runs. Every option has a range, and a value outside it is refused by its name.
struct Options {
  std::vector<std::string> command;  ///< starts a controller; the path of its settings file is appended
  std::uint32_t first_seed = 1, last_seed = 1;
  int controllers = 3;
  int machines = 6;        ///< up at the start, over two zones
  double duration_s = 60;  ///< with faults
  double calm_s = 100;     ///< after the faults
  std::string folder;      ///< for settings and logs; a folder for each seed is made in it
  bool keep_logs = false;  ///< also of seeds that pass
  std::string log_level = "info";
};

/// Returns the options, or the status with which the program ends (after `--help`, or a bad option, whose
/// message is printed).
struct ParsedOptions {
  Options options;
  int exit_status = -1;  ///< negative: run
};
ParsedOptions parse_options(int argc, char** argv);

}  // namespace finchrun::soak
