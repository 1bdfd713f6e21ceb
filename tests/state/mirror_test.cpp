#include "state/mirror.hpp"

#include <gtest/gtest.h>

namespace finchrun::state {
namespace {

struct Bed {
  Bed() : mirror(prepare(names), 1, 1) {}
  static jobs::Names& prepare(jobs::Names& n) {
    n.teams.intern("red");
    n.parts.intern("a.0");
    return n;
  }
  jobs::Names names;
  Mirror mirror;
};
json::value run(const char* text) { return json::parse(text); }

TEST(Mirror, RepeatsAndOlderChangesDoNoHarm) {
  Bed b;
  b.mirror.apply({"run/req-1/a.0", run(R"({"p":[[0,7,"m",1]],"d":[]})"), 10});
  b.mirror.apply({"run/req-1/a.0", run(R"({"p":[],"d":[[0,1]]})"), 12});
  b.mirror.apply({"run/req-1/a.0", run(R"({"p":[[0,7,"m",1]],"d":[]})"), 10});
  EXPECT_EQ(b.mirror.done(core::JobId{0}), 1u);
  EXPECT_EQ(b.mirror.placed(core::JobId{0}), 0u);
}

TEST(Mirror, OwnDeletionIsNotUndoneByAnOlderValue) {
  Bed b;
  b.mirror.synced(5);
  b.mirror.apply({"run/req-1/a.0", run(R"({"p":[[0,7,"m",1]],"d":[]})"), 10});
  b.mirror.apply({"run/req-1/a.0", std::nullopt, 12});
  b.mirror.apply({"run/req-1/a.0", run(R"({"p":[[0,7,"m",1]],"d":[]})"), 11});
  EXPECT_EQ(b.mirror.placed(core::JobId{0}), 0u);
  b.mirror.synced(12);
  b.mirror.apply({"run/req-1/a.0", run(R"({"p":[[0,9,"m",1]],"d":[]})"), 13});
  EXPECT_EQ(b.mirror.placed(core::JobId{0}), 1u);
}

TEST(Mirror, SenselessRecordsAreLeftOut) {
  Bed b;
  for (const char* text : {"3", "{}", R"({"st":"live"})"}) b.mirror.apply({"jobs/req-2", run(text), 10});
  EXPECT_TRUE(b.mirror.live().empty());
}

}  // namespace
}  // namespace finchrun::state
