// Deadlines of many sockets on one timer. A timer for each operation costs several system calls a request,
// and those, not our own code, were most of what a heartbeat cost.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>

#include "core/clock.hpp"

namespace finchrun::core {

/// One socket's deadline.
struct Deadline {
  boost::asio::ip::tcp::socket* socket = nullptr;
  TimePoint at;
};

/// The deadlines of any number of sockets, kept by one timer that runs while there are any.
class Deadlines : public std::enable_shared_from_this<Deadlines> {
 public:
  /// `tick`: how exactly deadlines are kept.
  Deadlines(const boost::asio::any_io_executor& executor, std::chrono::milliseconds tick)
      : timer_(executor), tick_(tick) {}

  /// Closes the socket once its time has come, to within a tick. Lives no longer than the socket.
  class Guard {
   public:
    Guard(std::shared_ptr<Deadlines> all, boost::asio::ip::tcp::socket& socket, TimePoint at)
        : all_(std::move(all)), entry_(all_->entries_.insert(all_->entries_.end(), {&socket, at})) {
      all_->start();
    }
    ~Guard() { all_->entries_.erase(entry_); }
    Guard(const Guard&) = delete;
    Guard& operator=(const Guard&) = delete;
    void move_to(TimePoint at) { entry_->at = at; }

   private:
    std::shared_ptr<Deadlines> all_;
    std::list<Deadline>::iterator entry_;
  };

 private:
  friend class Guard;
  void start() {
    if (ticking_) return;
    ticking_ = true;
    timer_.expires_after(tick_);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
      self->ticking_ = false;
      if (ec) return;
      self->sweep();
      if (!self->entries_.empty()) self->start();
    });
  }
  void sweep() {
    const auto now = Steady::now();
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
  bool ticking_ = false;
};

}  // namespace finchrun::core
