#include "controller/runtime.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace finchrun::controller {
namespace {

constexpr int kExitStatusAfterFailedLoop = 3;

std::string message_of(const std::exception_ptr& failure) {
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& e) {
    return e.what();
  } catch (...) {
    return "unknown exception";
  }
}

}  // namespace

core::SteadyClock::duration Runtime::jitter(double seconds) {
  std::uniform_real_distribution<double> spread(0.8, 1.2);
  return core::to_duration(seconds * spread(random_));
}

asio::awaitable<void> Runtime::sleep(double seconds) {
  core::Timer timer(io_, jitter(seconds));
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

void Runtime::run_forever(asio::awaitable<void> loop) {
  asio::co_spawn(io_, std::move(loop), [](const std::exception_ptr& failure) {
    if (!failure) return;
    spdlog::critical("loop failed error=\"{}\"", message_of(failure));
    std::_Exit(kExitStatusAfterFailedLoop);
  });
}

void Runtime::spawn(asio::awaitable<void> task) {
  asio::co_spawn(io_, std::move(task), [](const std::exception_ptr& failure) {
    if (failure) spdlog::error("task failed error=\"{}\"", message_of(failure));
  });
}

asio::awaitable<void> Wakeup::wait(double seconds) {
  timer_.expires_after(core::to_duration(seconds));
  boost::system::error_code ec;
  co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

}  // namespace finchrun::controller
