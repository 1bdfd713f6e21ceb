// Parsing of users' submissions.
#include "wire/field_reader.hpp"
#include "wire/protocol_names.hpp"

namespace finchrun::wire {
namespace {

namespace json = boost::json;

constexpr std::uint64_t kMaxTasks = 100000;

jobs::Shape read_shape(const json::object& message) {
  const auto shape = text(message, field::kShape);
  if (shape == value::kArray) return jobs::Shape::array;
  if (shape == value::kGang) return jobs::Shape::gang;
  if (shape == value::kService) return jobs::Shape::service;
  throw_invalid(field::kShape);
}

jobs::Priority read_priority(const json::object& message) {
  const auto priority = jobs::priority_from(text(message, field::kPriority));
  if (!priority) throw_invalid(field::kPriority);
  return *priority;
}

std::uint32_t read_task_count(const json::object& message) {
  const auto tasks = count(message, field::kTasks);
  if (tasks < 1 || tasks > kMaxTasks) throw_out_of_range(field::kTasks);
  return static_cast<std::uint32_t>(tasks);
}

std::optional<std::vector<std::string>> read_machine_types(const json::object& message) {
  const auto* list = optional_field(message, field::kMachineTypes);
  if (!list) return std::nullopt;
  if (!list->is_array()) throw_invalid(field::kMachineTypes);
  std::vector<std::string> types;
  for (const auto& type : list->as_array()) types.push_back(text_of(type, field::kMachineTypes));
  return types;
}

// Reads the fields in the order of the protocol's documentation; the first invalid field is reported.
Submission read_submission(const json::object& message) {
  Submission submission;
  auto& spec = submission.spec;
  submission.id = text(message, field::kJobId);
  if (!is_valid_job_id(submission.id)) throw_invalid(field::kJobId);
  submission.job_class = text(message, field::kJobClass);
  submission.team = text(message, field::kTeam);
  spec.shape = read_shape(message);
  spec.priority = read_priority(message);
  spec.tasks = read_task_count(message);
  spec.need = {amount(message, field::kCpus), amount(message, field::kGpus), amount(message, field::kRamGb)};
  submission.image = text(message, field::kImage);
  spec.image_gb = amount(message, field::kImageGb);
  submission.allowed_types = read_machine_types(message);
  if (const auto* zone = optional_field(message, field::kZone))
    submission.zone = text_of(*zone, field::kZone);
  spec.single_zone = flag(message, field::kSingleZone);
  spec.spread = flag(message, field::kSpread);
  spec.spot = flag(message, field::kSpot);
  spec.expected_run_s = amount(message, field::kExpectedRunS);
  if (spec.is_service()) spec.expected_run_s = jobs::kUnlimitedRunTimeS;
  spec.checkpoint_interval_s = amount(message, field::kCheckpointIntervalS);
  spec.checkpoint_save_s = amount(message, field::kCheckpointSaveS);
  if (const auto* deadline = optional_field(message, field::kDeadlineS))
    spec.deadline_s = amount_of(*deadline, field::kDeadlineS);
  return submission;
}

}  // namespace

bool is_valid_job_id(std::string_view id) {
  constexpr std::string_view kPrefix = "req-";
  constexpr std::size_t kMaxDigits = 20;
  if (!id.starts_with(kPrefix)) return false;
  id.remove_prefix(kPrefix.size());
  return !id.empty() && id.size() <= kMaxDigits &&
         id.find_first_not_of("0123456789") == std::string_view::npos;
}

std::variant<Submission, Malformed> parse_submission(const std::string& body) {
  return read_message<Submission>(body, read_submission);
}

}  // namespace finchrun::wire
