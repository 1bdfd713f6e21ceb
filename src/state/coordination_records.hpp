// The records of the state cache by which controllers coordinate: leadership, membership, quotas, fences and
// resource usage.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/records.hpp"
#include "state/transaction.hpp"

namespace finchrun::state {

/// Leadership, fence and usage by partition; members by label; quotas by team.
class CoordinationRecords {
 public:
  CoordinationRecords(const jobs::Names& names, std::size_t partitions, std::size_t teams)
      : names_(names), leadership_(partitions), quotas_(teams), fences_(partitions, 0), usage_(partitions) {}

  /// Each applies a change of one record, named by the part of its key after the table. Changes that are not
  /// newer than the known record are ignored, and so are those of partitions and teams that are not in this
  /// controller's settings. They throw on a malformed record, and keep the known one.
  void apply_leadership(std::string_view partition, const KeyUpdate& update);
  void apply_member(std::string_view label, const KeyUpdate& update);
  void apply_quota(std::string_view team, const KeyUpdate& update);
  void apply_fence(std::string_view partition, const KeyUpdate& update);
  void apply_usage(std::string_view partition, const KeyUpdate& update);
  /// Clears everything except the last record levels.
  void reset();

  [[nodiscard]] const LeadershipRecord& leadership(core::PartitionId id) const {
    return leadership_.at(id.index);
  }
  [[nodiscard]] std::size_t partitions() const { return leadership_.size(); }
  [[nodiscard]] const Member* member(const std::string& label) const;
  [[nodiscard]] const std::unordered_map<std::string, Member>& members() const { return members_; }
  /// Level in the newest member record of the label, also after its process has ended.
  [[nodiscard]] std::optional<std::uint64_t> last_record_level(const std::string& label) const;
  [[nodiscard]] const QuotaRecord& quota(core::TeamId id) const { return quotas_.at(id.index); }
  [[nodiscard]] std::uint64_t fence(core::PartitionId id) const { return fences_.at(id.index); }
  [[nodiscard]] const UsageRecord& usage(core::PartitionId id) const { return usage_.at(id.index); }

 private:
  const jobs::Names& names_;
  std::vector<LeadershipRecord> leadership_;
  std::unordered_map<std::string, Member> members_;
  std::unordered_map<std::string, std::uint64_t> last_record_levels_;  // by label
  std::vector<QuotaRecord> quotas_;
  std::vector<std::uint64_t> fences_;
  std::vector<UsageRecord> usage_;
};

}  // namespace finchrun::state
