// Shared state behind a short lock: the state is reached only inside `with`, which cannot span a co_await.
#pragma once

#include <mutex>
#include <utility>

namespace finchrun::core {

/// A value that is reached under its lock only.
template <class T>
class Locked {
 public:
  template <class... Args>
  explicit Locked(Args&&... args) : value_(std::forward<Args>(args)...) {}

  /// Calls `f` with the value, under the lock. What it returns must not refer into the value.
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
