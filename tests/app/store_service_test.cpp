// The key-value store's stand-in refuses what the protocol refuses.
#include <gtest/gtest.h>

#include "core/case_names.hpp"
#include "http/status.hpp"
#include "sim/services.hpp"

namespace finchrun::sim {
namespace {

constexpr std::size_t kMaxBodyBytes = 64 * 1024;

json::string text(std::size_t bytes) { return json::string(bytes, 'x'); }
json::object compare(const std::string& key, std::uint64_t revision) {
  return {{"k", key}, {"stamp", revision}};
}
json::object set(const std::string& key, json::value value = json::object{}) {
  return {{"set", key}, {"data", std::move(value)}};
}
json::array repeated(const json::object& item, std::size_t count) {
  json::array items;
  for (std::size_t i = 0; i < count; ++i) items.push_back(item);
  return items;
}
// Writes of nine values, in a body of this size.
json::object transaction_of_size(std::size_t bytes) {
  constexpr std::size_t kWrites = 9;
  json::string last = text(1);
  json::object transaction;
  const auto build = [&] {
    json::array writes;
    for (std::size_t i = 0; i + 1 < kWrites; ++i) writes.push_back(set("a/" + std::to_string(i), text(8000)));
    writes.push_back(set("a/last", last));
    transaction = {{"when", json::array{}}, {"then", std::move(writes)}};
    return json::serialize(transaction).size();
  };
  last.append(bytes - build(), 'x');
  EXPECT_EQ(build(), bytes);
  return transaction;
}

struct CommitCase {
  const char* name;
  json::object transaction;
  int status;
  std::size_t rejected_for_size = 0;
};
class StoreServiceCommit : public testing::TestWithParam<CommitCase> {};
// Guards against a stand-in that lets pass what the store refuses.
TEST_P(StoreServiceCommit, AnswersAsTheProtocolSays) {
  StoreService store;
  const auto answer = store.handle(http::Verb::post, "/commit", json::serialize(GetParam().transaction), {});
  EXPECT_EQ(answer.status, GetParam().status) << answer.body;
  EXPECT_EQ(store.rejected_for_size, GetParam().rejected_for_size);
  EXPECT_EQ(store.items_with_prefix("").empty(), GetParam().status != http::status::kOk);
}
INSTANTIATE_TEST_SUITE_P(
    Table, StoreServiceCommit,
    testing::Values(
        CommitCase{"at_the_limits",
                   {{"when", repeated(compare("a/b", 0), 64)}, {"then", repeated(set("a/b"), 16)}},
                   200},
        CommitCase{"too_many_writes", {{"when", json::array{}}, {"then", repeated(set("a/b"), 17)}}, 400, 1},
        CommitCase{"too_many_compares",
                   {{"when", repeated(compare("a/b", 0), 65)}, {"then", repeated(set("a/b"), 1)}},
                   400,
                   1},
        CommitCase{"too_many_compares_that_fail",
                   {{"when", repeated(compare("a/b", 3), 65)}, {"then", repeated(set("a/b"), 1)}},
                   400,
                   1},
        CommitCase{"failed_compare",
                   {{"when", repeated(compare("a/b", 3), 1)}, {"then", repeated(set("a/b"), 1)}},
                   409},
        CommitCase{"value_too_large",
                   {{"when", json::array{}}, {"then", json::array{set("a/b", text(8191))}}},
                   400,
                   1},
        CommitCase{"value_at_the_limit",
                   {{"when", json::array{}}, {"then", json::array{set("a/b", text(8190))}}},
                   200},
        CommitCase{"body_at_the_limit", transaction_of_size(kMaxBodyBytes), 200},
        CommitCase{"body_too_large", transaction_of_size(kMaxBodyBytes + 1), 400, 1},
        CommitCase{
            "longest_key", {{"when", json::array{}}, {"then", json::array{set(std::string(200, 'k'))}}}, 200},
        CommitCase{"key_too_long",
                   {{"when", json::array{}}, {"then", json::array{set(std::string(201, 'k'))}}},
                   400},
        CommitCase{"empty_key", {{"when", json::array{}}, {"then", json::array{set("")}}}, 400},
        CommitCase{"key_with_a_space", {{"when", json::array{}}, {"then", json::array{set("a b")}}}, 400},
        CommitCase{"compared_key_with_a_space",
                   {{"when", repeated(compare("a b", 0), 1)}, {"then", repeated(set("a/b"), 1)}},
                   400},
        CommitCase{"expired_lease_whatever_the_compares",
                   {{"when", repeated(compare("a/b", 3), 1)},
                    {"then", json::array{json::object{{"set", "a/b"}, {"data", 1}, {"hold", 5}}}}},
                   400},
        CommitCase{"no_writes_key", {{"when", json::array{}}}, 400}),
    kCaseName);

TEST(StoreService, RefusesLeaseTermsOutOfRange) {
  StoreService store;
  for (const auto& [body, status] : {std::pair{R"({"ttlMs":99})", 400}, std::pair{R"({"ttlMs":100})", 200},
                                     std::pair{R"({"ttlMs":600001})", 400}})
    EXPECT_EQ(store.handle(http::Verb::post, "/grants", body, {}).status, status) << body;
}

// A page has at most 1,000 items and 512 KiB, whatever the request asks for.
TEST(StoreService, CutsPagesAtTheProtocolsBounds) {
  StoreService store;
  constexpr std::size_t kKeys = 1040, kMaxItems = 1000, kMaxBytes = 512 * 1024;
  for (const std::size_t value_bytes : {10, 4000}) {
    for (std::size_t i = 0; i < kKeys; ++i) {
      const json::object transaction{{"when", json::array{}},
                                     {"then", json::array{set("a/" + std::to_string(i), text(value_bytes))}}};
      ASSERT_EQ(store.handle(http::Verb::post, "/commit", json::serialize(transaction), {}).status, 200);
    }
    const auto answer = store.handle(http::Verb::get, "/store?under=&limit=5000", "", {});
    EXPECT_LE(answer.body.size(), kMaxBytes);
    const auto page = json::parse(answer.body);
    EXPECT_LE(page.at("items").as_array().size(), kMaxItems);
    EXPECT_TRUE(page.at("hasNext").as_bool());
  }
}

}  // namespace
}  // namespace finchrun::sim
