#include "gateway/routes.hpp"

#include <gtest/gtest.h>

namespace finchrun::gateway {
namespace {

struct RouteCase {
  const char* method;
  const char* target;
  std::variant<Route, RouteError> expected;
};
void PrintTo(const RouteCase& test_case, std::ostream* out) {
  *out << test_case.method << " " << test_case.target;
}

class Routes : public testing::TestWithParam<RouteCase> {};
TEST_P(Routes, AreParsedByMethodAndPath) {
  EXPECT_EQ(parse_route(GetParam().method, GetParam().target), GetParam().expected);
}
INSTANTIATE_TEST_SUITE_P(
    Table, Routes,
    testing::Values(RouteCase{"POST", "/hello", Route{Endpoint::heartbeat, ""}},
                    RouteCase{"GET", "/hello", RouteError::method_not_allowed},
                    RouteCase{"GET", "/up", Route{Endpoint::readiness, ""}},
                    RouteCase{"GET", "/up?from=balancer", Route{Endpoint::readiness, ""}},
                    RouteCase{"POST", "/up", RouteError::method_not_allowed},
                    RouteCase{"GET", "/metrics", Route{Endpoint::metrics, ""}},
                    RouteCase{"POST", "/metrics", RouteError::method_not_allowed},
                    RouteCase{"POST", "/submissions", Route{Endpoint::submit, ""}},
                    RouteCase{"GET", "/submissions", RouteError::method_not_allowed},
                    RouteCase{"GET", "/submissions/req-1", Route{Endpoint::query, "req-1"}},
                    RouteCase{"GET", "/submissions/req-1?verbose=1", Route{Endpoint::query, "req-1"}},
                    RouteCase{"DELETE", "/submissions/req-1", RouteError::method_not_allowed},
                    RouteCase{"GET", "/submissions/job-1", RouteError::no_such_job},
                    RouteCase{"POST", "/submissions/req-1/abort", Route{Endpoint::cancel, "req-1"}},
                    RouteCase{"GET", "/submissions/req-1/abort", RouteError::method_not_allowed},
                    RouteCase{"POST", "/submissions/job-1/abort", RouteError::no_such_job},
                    RouteCase{"POST", "/submissions//abort", RouteError::no_such_job},
                    RouteCase{"GET", "/submissions/abort", RouteError::no_such_job},
                    RouteCase{"POST", "/submissions/req-1/2/abort", RouteError::no_such_job},
                    RouteCase{"GET", "/submissions/", RouteError::no_such_path},
                    RouteCase{"GET", "/submissions/req-1/tasks", RouteError::no_such_path},
                    RouteCase{"GET", "/submissionsreq-1", RouteError::no_such_path},
                    RouteCase{"GET", "", RouteError::no_such_path},
                    RouteCase{"GET", "/", RouteError::no_such_path}));

}  // namespace
}  // namespace finchrun::gateway
