// Times: a steady clock for everything that is decided, the time of day only for what users and records show.
#pragma once

#include <chrono>

namespace finchrun::core {

using Steady = std::chrono::steady_clock;
using TimePoint = Steady::time_point;
using Seconds = std::chrono::duration<double>;

inline Steady::duration secs(double s) { return std::chrono::duration_cast<Steady::duration>(Seconds(s)); }
inline double since(TimePoint from, TimePoint to) { return Seconds(to - from).count(); }
inline double wall_s() { return Seconds(std::chrono::system_clock::now().time_since_epoch()).count(); }

}  // namespace finchrun::core
