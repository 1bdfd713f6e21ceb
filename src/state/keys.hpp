// Keys of the records in the key-value store.
#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace finchrun::state::keys {

std::string job(const std::string& id);
std::string shard(const std::string& partition, const std::string& name);
std::string leadership(const std::string& partition);
std::string member(const std::string& label);
std::string quota(const std::string& team);
std::string usage(const std::string& partition);
std::string fence(const std::string& partition);
std::string tombstones(const std::string& partition);

/// Splits a key at its first '/' into the name of the table and the rest: "runs/a.0/3" into "runs" and
/// "a.0/3".
std::pair<std::string_view, std::string_view> split(std::string_view key);

/// The tables of the key-value store, one for each kind of record.
enum class Table { jobs, shards, tombstones, leadership, members, quotas, fences, usage, unknown };
/// Returns the table with this name, the part of a key before its first '/'. `unknown`: the key was written
/// by a newer version.
Table table_from(std::string_view name);

}  // namespace finchrun::state::keys
