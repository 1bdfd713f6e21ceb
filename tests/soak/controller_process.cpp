#include "soak/controller_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <system_error>
#include <utility>

namespace finchrun::soak {
namespace {

constexpr int kCannotExecute = 127;  // as a shell reports it

[[noreturn]] void execute(const std::vector<std::string>& command, const std::string& log,
                          const std::string& log_level) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  constexpr mode_t kReadable = 0644;
  const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, kReadable);
  ::dup2(file, STDERR_FILENO);
  ::setenv("LOG_LEVEL", log_level.c_str(), 1);
  std::vector<char*> arguments;
  for (const auto& word : command) arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  ::execvp(arguments.front(), arguments.data());
  ::_exit(kCannotExecute);
}

}  // namespace

ControllerProcess::ControllerProcess(std::vector<std::string> command, const std::filesystem::path& settings,
                                     std::filesystem::path log, std::string log_level)
    : command_(std::move(command)), log_(std::move(log)), log_level_(std::move(log_level)) {
  command_.push_back(settings.string());
}

void ControllerProcess::start() {
  process_ = ::fork();
  if (process_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (process_ == 0) execute(command_, log_.string(), log_level_);
}

void ControllerProcess::kill() {
  if (!is_running()) return;
  ::kill(process_, SIGKILL);
  ::waitpid(process_, nullptr, 0);
  process_ = 0;
}

void ControllerProcess::pause() {
  if (is_running()) ::kill(process_, SIGSTOP);
}

void ControllerProcess::resume() {
  if (is_running()) ::kill(process_, SIGCONT);
}

bool ControllerProcess::has_ended_by_itself() {
  if (!is_running() || ::waitpid(process_, nullptr, WNOHANG) != process_) return false;
  process_ = 0;
  return true;
}

}  // namespace finchrun::soak
