#include "soak/options.hpp"

#include <CLI/CLI.hpp>
#include <sstream>

namespace finchrun::soak {
namespace {

std::vector<std::string> split_words(const std::string& text) {
  std::istringstream words(text);
  return {std::istream_iterator<std::string>(words), {}};
}

}  // namespace

ParsedOptions parse_options(int argc, char** argv) {
  ParsedOptions parsed;
  auto& options = parsed.options;
  std::string command = "target/finchrun --config";
  std::uint32_t seed = options.first_seed;
  std::vector<std::uint32_t> seeds;
  CLI::App cli{
      "Runs controllers as processes among stand-ins on loopback, with faults, and checks the rules"};
  cli.add_option("--command", command, "starts a controller; its settings file is appended");
  cli.add_option("--seed", seed, "run this seed")->check(CLI::Range(0, 1000000));
  cli.add_option("--seeds", seeds, "run the seeds from FIRST to LAST")
      ->expected(2)
      ->excludes("--seed")
      ->check(CLI::Range(0, 1000000));
  cli.add_option("--controllers", options.controllers)->check(CLI::Range(2, 9));
  cli.add_option("--machines", options.machines)->check(CLI::Range(2, 2000));
  cli.add_option("--duration", options.duration_s, "seconds with faults")->check(CLI::Range(15.0, 86400.0));
  cli.add_option("--calm", options.calm_s, "seconds after the faults")->check(CLI::Range(10.0, 86400.0));
  cli.add_option("--folder", options.folder, "for settings and logs; default: a new one in /tmp");
  cli.add_option("--log-level", options.log_level)->check(CLI::IsMember({"error", "warn", "info", "debug"}));
  cli.add_flag("--keep-logs", options.keep_logs, "keep the logs of seeds that pass, too");
  try {
    cli.parse(argc, argv);
    if (seeds.size() == 2 && seeds[0] > seeds[1])
      throw CLI::ValidationError("--seeds", "FIRST is after LAST");
  } catch (const CLI::ParseError& error) {
    constexpr int kBadOption = 2;
    parsed.exit_status = cli.exit(error) == 0 ? 0 : kBadOption;
    return parsed;
  }
  options.command = split_words(command);
  options.first_seed = seeds.empty() ? seed : seeds[0];
  options.last_seed = seeds.empty() ? seed : seeds[1];
  return parsed;
}

}  // namespace finchrun::soak
