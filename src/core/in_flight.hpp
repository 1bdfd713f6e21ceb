// Counts bounded work in flight, such as connections and requests.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace finchrun::core {

/// A count that is shared with its slots: a coroutine that is destroyed with its event loop may release its
/// slot after the counter is gone.
class InFlightCounter {
 public:
  /// One unit of work, counted until this object is destroyed.
  class Slot {
   public:
    explicit Slot(std::shared_ptr<std::size_t> count) : count_(std::move(count)) { ++*count_; }
    ~Slot() {
      if (count_) --*count_;
    }
    Slot(Slot&&) noexcept = default;
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;
    Slot& operator=(Slot&&) = delete;

   private:
    std::shared_ptr<std::size_t> count_;  // null once moved from
  };

  [[nodiscard]] std::size_t count() const { return *count_; }
  [[nodiscard]] Slot acquire() { return Slot(count_); }

 private:
  std::shared_ptr<std::size_t> count_ = std::make_shared<std::size_t>(0);
};

}  // namespace finchrun::core
