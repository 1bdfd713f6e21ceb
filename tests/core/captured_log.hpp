// Captures the log lines of a test.
#pragma once

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <sstream>
#include <string>

namespace finchrun::core {

/// Takes the place of the default logger while it exists.
class CapturedLog {
 public:
  CapturedLog() : previous_(spdlog::default_logger()) {
    auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(text_);
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("test", std::move(sink)));
  }
  ~CapturedLog() { spdlog::set_default_logger(previous_); }
  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;

  /// Returns how often the words appear.
  [[nodiscard]] int count(const std::string& words) const {
    const auto text = text_.str();
    int found = 0;
    for (std::size_t at = 0; (at = text.find(words, at)) != std::string::npos; ++at) ++found;
    return found;
  }

 private:
  std::ostringstream text_;
  std::shared_ptr<spdlog::logger> previous_;
};

}  // namespace finchrun::core
