// Runs seeds of the soak, one after the other, and reports each as passed, failed or not judged.
#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cstdio>
#include <exception>
#include <regex>

#include "soak/fault_schedule.hpp"
#include "soak/options.hpp"
#include "soak/real_deployment.hpp"

namespace finchrun::soak {
namespace {

// A longer stall of the soak's own loop would end agents' leases late, which rule ran_cancelled bounds to 3
// s.
constexpr double kMaxStallS = 1;
constexpr std::size_t kMaxHistoryLines = 60;

enum class Verdict { passed, failed, not_judged };

std::filesystem::path folder_of(const Options& options, std::uint32_t seed) {
  const auto base = options.folder.empty()
                        ? std::filesystem::temp_directory_path() / fmt::format("finchrun-soak-{}", ::getpid())
                        : std::filesystem::path(options.folder);
  return base / fmt::format("seed-{}", seed);
}

std::string command_of(const Options& options, std::uint32_t seed) {
  return fmt::format("finchrun_soak --seed {} --controllers {} --machines {} --duration {} --calm {}", seed,
                     options.controllers, options.machines, options.duration_s, options.calm_s);
}

// Prints the events that name the task, or the job, of the violation.
void print_history(const std::filesystem::path& folder, const std::string& violation) {
  std::smatch name;
  if (!std::regex_search(violation, name, std::regex("req-[0-9]+(/[0-9]+)?"))) return;
  std::ifstream events(folder / "events.log");
  std::size_t lines = 0;
  for (std::string line; std::getline(events, line) && lines < kMaxHistoryLines;)
    if (line.find(name.str()) != std::string::npos && ++lines) fmt::print("    {}\n", line);
}

// Returns the error lines of the controllers' logs, which no fault excuses.
std::vector<std::string> error_lines(const std::filesystem::path& folder) {
  std::vector<std::string> lines;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    if (!file.path().filename().string().starts_with("perch-") || file.path().extension() != ".log") continue;
    std::ifstream log(file.path());
    const std::regex error("^[0-9:.]+ [EC] ");
    for (std::string line; std::getline(log, line);)
      if (std::regex_search(line, error)) lines.push_back(file.path().stem().string() + " " + line);
  }
  return lines;
}

Verdict run_seed(const Options& options, std::uint32_t seed) {
  const auto folder = folder_of(options, seed);
  std::filesystem::create_directories(folder);
  asio::io_context io{1};
  std::vector<std::string> failures;
  std::vector<std::string> faults;
  double stall_s = 0;
  std::size_t starts = 0, done = 0, jobs = 0;
  {
    RealDeployment deployment(io, options, seed, folder);
    FaultSchedule schedule(deployment, options, seed);
    schedule.plan();
    deployment.run(options.duration_s + options.calm_s);
    deployment.check_at_the_end();
    failures = deployment.violations;
    faults = deployment.faults_log();
    stall_s = deployment.longest_stall_s();
    starts = deployment.task_starts;
    jobs = deployment.jobs.size();
    for (const auto& [_, job] : deployment.jobs)
      done += job.reported_done || job.reported_cancelled_at ? 1 : 0;
  }
  for (auto& line : error_lines(folder)) failures.push_back("error logged: " + line);
  const auto verdict = stall_s > kMaxStallS ? Verdict::not_judged
                       : failures.empty()   ? Verdict::passed
                                            : Verdict::failed;
  static constexpr const char* kNames[] = {"passed", "FAILED", "NOT JUDGED"};
  fmt::print("seed {}: {} violations={} starts={} jobs={} ended={} stall_s={:.2f}\n", seed,
             kNames[static_cast<int>(verdict)], failures.size(), starts, jobs, done, stall_s);
  if (!failures.empty()) {
    fmt::print("  first: {}\n  history:\n", failures.front());
    print_history(folder, failures.front());
    fmt::print("  faults:\n");
    for (const auto& fault : faults) fmt::print("    {}\n", fault);
    fmt::print("  logs: {}\n  again: {}\n", folder.string(), command_of(options, seed));
  }
  std::fflush(stdout);
  if (verdict == Verdict::passed && !options.keep_logs) std::filesystem::remove_all(folder);
  return verdict;
}

int run(const Options& options) {
  int counts[3] = {0, 0, 0};
  for (auto seed = options.first_seed; seed <= options.last_seed; ++seed)
    ++counts[static_cast<int>(run_seed(options, seed))];
  fmt::print("seeds run {}, judged {}, failed {}, not judged {}\n", counts[0] + counts[1] + counts[2],
             counts[0] + counts[1], counts[1], counts[2]);
  return counts[1] + counts[2] > 0 ? 1 : 0;
}

}  // namespace
}  // namespace finchrun::soak

int main(int argc, char** argv) {
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;  // each machine of the run listens on a port
  ::setrlimit(RLIMIT_NOFILE, &files);
  const auto parsed = finchrun::soak::parse_options(argc, argv);
  if (parsed.exit_status >= 0) return parsed.exit_status;
  try {
    return finchrun::soak::run(parsed.options);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "soak: %s\n", error.what());
    return 1;
  }
}
