// One controller as a child process.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <string>
#include <vector>

namespace finchrun::soak {

/// Starts, kills and pauses a controller. The process is killed with this object, or with the soak.
class ControllerProcess {
 public:
  /// `command` starts the controller once the path of `settings` is appended. Its standard error is appended
  /// to `log`.
  ControllerProcess(std::vector<std::string> command, const std::filesystem::path& settings,
                    std::filesystem::path log, std::string log_level);
  ~ControllerProcess() { kill(); }
  ControllerProcess(const ControllerProcess&) = delete;
  ControllerProcess& operator=(const ControllerProcess&) = delete;

  void start();
  /// Kills the process without a signal that it could handle, and waits for its end.
  void kill();
  void pause();
  void resume();
  [[nodiscard]] bool is_running() const { return process_ > 0; }
  /// Returns true once if the process has ended without `kill`.
  bool has_ended_by_itself();

 private:
  std::vector<std::string> command_;
  std::filesystem::path log_;
  std::string log_level_;
  pid_t process_ = 0;  // 0: not running
};

}  // namespace finchrun::soak
