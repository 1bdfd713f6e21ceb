// Deadlines of many sockets on one timer. A timer for each operation costs several system calls for each
// request, which was most of the cost of a heartbeat.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>

#include "core/clock.hpp"

namespace finchrun::core {

/// A socket and its deadline.
struct Deadline {
  boost::asio::ip::tcp::socket* socket = nullptr;
  TimePoint at;
};

/// Closes sockets at their deadlines with one timer, which runs while there are any deadlines.
class SocketDeadlines : public std::enable_shared_from_this<SocketDeadlines> {
 public:
  /// `tick`: interval between checks, the precision of the deadlines.
  SocketDeadlines(const boost::asio::any_io_executor& executor, std::chrono::milliseconds tick)
      : timer_(executor), tick_(tick) {}

  /// Closes the socket when its deadline has passed, to within a tick. Must not outlive the socket.
  class Guard {
   public:
    Guard(std::shared_ptr<SocketDeadlines> deadlines, boost::asio::ip::tcp::socket& socket, TimePoint at)
        : deadlines_(std::move(deadlines)),
          entry_(deadlines_->entries_.insert(deadlines_->entries_.end(), {&socket, at})) {
      deadlines_->start_timer();
    }
    ~Guard() { deadlines_->entries_.erase(entry_); }
    Guard(const Guard&) = delete;
    Guard& operator=(const Guard&) = delete;
    void reset(TimePoint at) { entry_->at = at; }

   private:
    std::shared_ptr<SocketDeadlines> deadlines_;
    std::list<Deadline>::iterator entry_;
  };

 private:
  friend class Guard;
  void start_timer() {
    if (timer_running_) return;
    timer_running_ = true;
    timer_.expires_after(tick_);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
      self->timer_running_ = false;
      if (ec) return;
      self->close_expired();
      if (!self->entries_.empty()) self->start_timer();
    });
  }
  void close_expired() {
    const auto now = SteadyClock::now();
    for (auto& deadline : entries_) {
      if (deadline.at > now) continue;
      boost::system::error_code ignored;
      deadline.socket->close(ignored);
      deadline.at = TimePoint::max();
    }
  }

  Timer timer_;
  std::chrono::milliseconds tick_;
  std::list<Deadline> entries_;
  bool timer_running_ = false;
};

}  // namespace finchrun::core
