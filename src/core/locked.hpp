// Shared state behind a short lock: it is accessible only inside `with`, which cannot span a co_await.
#pragma once

#include <mutex>
#include <utility>

namespace finchrun::core {

/// A value that is accessible only under its lock.
template <class T>
class Locked {
 public:
  template <class... Args>
  explicit Locked(Args&&... args) : value_(std::forward<Args>(args)...) {}

  /// Calls `f` with the value, under the lock. The result must not refer to the value.
  template <class F>
  auto with(F&& f) {
    std::scoped_lock lock(mutex_);
    return std::forward<F>(f)(value_);
  }

 private:
  std::mutex mutex_;
  T value_;
};

}  // namespace finchrun::core
