// Strong ids: external names are mapped to dense indices on input, and all other code uses the indices.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace finchrun::core {

/// A dense index of one kind. Ids of different kinds are different types.
template <class Tag>
struct Id {
  static constexpr std::uint32_t kNone = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t index = kNone;
  auto operator<=>(const Id&) const = default;
  [[nodiscard]] bool valid() const { return index != kNone; }
};

using JobId = Id<struct JobTag>;
using MachineId = Id<struct MachineTag>;
using TeamId = Id<struct TeamTag>;
using ZoneId = Id<struct ZoneTag>;
using MachineTypeId = Id<struct MachineTypeTag>;
using ImageId = Id<struct ImageTag>;
using JobClassId = Id<struct JobClassTag>;
using PartitionId = Id<struct PartitionTag>;
using ShardId = Id<struct ShardTag>;

/// Maps names to dense indices, in the order in which they were first seen.
template <class IdT>
class Interner {
 public:
  /// Returns the name's id, a new one if the name is new.
  IdT intern(std::string_view name) {
    if (auto it = index_.find(std::string(name)); it != index_.end()) return it->second;
    IdT id{static_cast<std::uint32_t>(names_.size())};
    names_.emplace_back(name);
    index_.emplace(names_.back(), id);
    return id;
  }
  [[nodiscard]] std::optional<IdT> find(std::string_view name) const {
    auto it = index_.find(std::string(name));
    if (it == index_.end()) return std::nullopt;
    return it->second;
  }
  [[nodiscard]] const std::string& name(IdT id) const { return names_.at(id.index); }
  [[nodiscard]] std::size_t size() const { return names_.size(); }

 private:
  std::vector<std::string> names_;
  std::unordered_map<std::string, IdT> index_;
};

}  // namespace finchrun::core

template <class Tag>
struct std::hash<finchrun::core::Id<Tag>> {
  std::size_t operator()(finchrun::core::Id<Tag> id) const noexcept {
    return std::hash<std::uint32_t>{}(id.index);
  }
};
