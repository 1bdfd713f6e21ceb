// The cases of the review: each sets up its world, makes the trouble and names the job that is judged.
#pragma once

#include <optional>
#include <string>

#include "world.hpp"

namespace finchrun::review {

/// What a case hands to the judge.
struct JudgedJob {
  enum class Rule { left_waiting, forgotten } rule = Rule::left_waiting;
  std::string id;
};
/// nullopt: the case couldn't run.
using Judged = std::optional<JudgedJob>;
using Case = asio::awaitable<Judged> (*)(World& world, bool trouble);

struct CaseEntry {
  void (*prepare)(World& world);
  Case play;
};
/// Returns nullptr for a number without a case.
const CaseEntry* find_case(int number);

}  // namespace finchrun::review
