// A digest of a simulated cluster's messages, to compare the behaviour of two builds.
#pragma once

#include <cstdint>
#include <string_view>

#include "core/clock.hpp"

namespace finchrun::sim {

// FNV-1a over the fields of every message, in the order of delivery.
class TrafficDigest {
 public:
  void add(core::TimePoint at, std::size_t controller, std::string_view kind, std::string_view request,
           std::string_view answer, int status) {
    add_number(static_cast<std::uint64_t>(at.time_since_epoch().count()));
    add_number(controller);
    add_text(kind);
    add_text(request);
    add_text(answer);
    add_number(static_cast<std::uint64_t>(status));
    ++messages_;
  }
  [[nodiscard]] std::uint64_t value() const { return value_; }
  [[nodiscard]] std::uint64_t messages() const { return messages_; }

 private:
  void add_byte(unsigned char byte) {
    constexpr std::uint64_t kPrime = 1099511628211ULL;
    value_ = (value_ ^ byte) * kPrime;
  }
  void add_number(std::uint64_t number) {
    constexpr int kBits = 64, kByte = 8;
    for (int shift = 0; shift < kBits; shift += kByte) add_byte(static_cast<unsigned char>(number >> shift));
  }
  void add_text(std::string_view text) {
    add_number(text.size());
    for (const char c : text) add_byte(static_cast<unsigned char>(c));
  }

  std::uint64_t value_ = 14695981039346656037ULL;
  std::uint64_t messages_ = 0;
};

}  // namespace finchrun::sim
