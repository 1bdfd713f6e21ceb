// How many calls are under way.
#pragma once

#include <cstddef>
#include <memory>

namespace finchrun::gateway {

/// Counts calls that are under way. A call counts from `enter` until its token is destroyed, however it ends;
/// a token may outlive the counter, as those of coroutines do that the event loop destroys at its own end.
class InFlightCounter {
 public:
  class Token {
   public:
    explicit Token(std::shared_ptr<std::size_t> count) : count_(std::move(count)) { ++*count_; }
    ~Token() { --*count_; }
    Token(const Token&) = delete;
    Token& operator=(const Token&) = delete;

   private:
    std::shared_ptr<std::size_t> count_;
  };

  [[nodiscard]] Token enter() { return Token(count_); }
  [[nodiscard]] std::size_t count() const { return *count_; }

 private:
  std::shared_ptr<std::size_t> count_ = std::make_shared<std::size_t>(0);
};

}  // namespace finchrun::gateway
