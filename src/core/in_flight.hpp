// How many of something bounded are under way: connections, requests.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace finchrun::core {

/// A count of what is under way, shared with each of it: a coroutine that is destroyed with its event loop
/// gives back its place after the counter's own object has gone.
class InFlightCounter {
 public:
  /// A place that is taken until this object is destroyed.
  class Place {
   public:
    explicit Place(std::shared_ptr<std::size_t> count) : count_(std::move(count)) { ++*count_; }
    ~Place() {
      if (count_) --*count_;
    }
    Place(Place&&) noexcept = default;
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;
    Place& operator=(Place&&) = delete;

   private:
    std::shared_ptr<std::size_t> count_;  // nothing once moved from
  };

  [[nodiscard]] std::size_t count() const { return *count_; }
  [[nodiscard]] Place take() { return Place(count_); }

 private:
  std::shared_ptr<std::size_t> count_ = std::make_shared<std::size_t>(0);
};

}  // namespace finchrun::core
