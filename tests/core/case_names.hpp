// Names of the cases of a test table.
#pragma once

#include <algorithm>
#include <string>

namespace finchrun {

/// Names each case of a parameterized test by the field `name` of its parameter, in which words may be
/// separated by spaces.
inline constexpr auto kCaseName = [](const auto& info) {
  std::string name = info.param.name;
  std::replace(name.begin(), name.end(), ' ', '_');
  return name;
};

}  // namespace finchrun
