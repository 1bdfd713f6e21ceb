#include "state/keys.hpp"

namespace finchrun::state::keys {
namespace {

// Stored names, which never change.
constexpr std::pair<Table, std::string_view> kTables[] = {
    {Table::jobs, "jobs"},        {Table::shards, "runs"},     {Table::tombstones, "ends"},
    {Table::leadership, "parts"}, {Table::members, "members"}, {Table::quotas, "teams"},
    {Table::fences, "fence"},     {Table::usage, "usage"}};

std::string key(Table table, const std::string& rest) {
  for (const auto& [value, name] : kTables)
    if (value == table) return std::string(name) + "/" + rest;
  return rest;
}

}  // namespace

std::string job(const std::string& id) { return key(Table::jobs, id); }
std::string shard(const std::string& partition, const std::string& name) {
  return key(Table::shards, partition + "/" + name);
}
std::string leadership(const std::string& partition) { return key(Table::leadership, partition); }
std::string member(const std::string& label) { return key(Table::members, label); }
std::string quota(const std::string& team) { return key(Table::quotas, team); }
std::string usage(const std::string& partition) { return key(Table::usage, partition); }
std::string fence(const std::string& partition) { return key(Table::fences, partition); }
std::string tombstones(const std::string& partition) { return key(Table::tombstones, partition); }

std::pair<std::string_view, std::string_view> split(std::string_view key) {
  const auto slash = key.find('/');
  if (slash == std::string_view::npos) return {key, {}};
  return {key.substr(0, slash), key.substr(slash + 1)};
}

Table table_from(std::string_view name) {
  for (const auto& [table, stored] : kTables)
    if (stored == name) return table;
  return Table::unknown;
}

}  // namespace finchrun::state::keys
