// Rendering of commands and other answers.
#include "wire/messages.hpp"

#include "wire/protocol_names.hpp"

namespace finchrun::wire {
namespace {

namespace json = boost::json;

const char* wire_name_of(Command::Kind kind) {
  switch (kind) {
    case Command::Kind::start:
      return value::kStart;
    case Command::Kind::stop:
      return value::kStop;
    case Command::Kind::forget:
      break;
  }
  return value::kForget;
}

json::array commands_json(const std::vector<Command>& commands) {
  json::array list;
  for (const auto& command : commands) {
    json::object item;
    item[field::kCommandKind] = wire_name_of(command.kind);
    item[field::kTask] = command.job + "/" + std::to_string(command.task);
    item[field::kAttempt] = command.attempt;
    if (command.kind == Command::Kind::stop) item[field::kGraceS] = command.grace_s;
    list.push_back(std::move(item));
  }
  return list;
}

}  // namespace

std::string render_commands(std::uint64_t fencing_token, const std::vector<Command>& commands) {
  return json::serialize(
      json::object{{field::kFencingToken, fencing_token}, {field::kCommands, commands_json(commands)}});
}

std::string render_direct_commands(std::uint64_t fencing_token, std::uint64_t agent_incarnation,
                                   const std::vector<Command>& commands) {
  return json::serialize(json::object{{field::kFencingToken, fencing_token},
                                      {field::kAgentIncarnation, agent_incarnation},
                                      {field::kCommands, commands_json(commands)}});
}

std::string render_redirect(const std::optional<std::string>& leader) {
  json::object message;
  if (leader) message[field::kLeader] = *leader;
  return json::serialize(message);
}

std::string render_status(const std::string& id, const char* status) {
  return json::serialize(json::object{{field::kJobId, id}, {field::kJobStatus, status}});
}

std::string render_status(const std::string& id, const char* status, std::uint32_t done,
                          std::uint32_t running) {
  return json::serialize(json::object{
      {field::kJobId, id}, {field::kJobStatus, status}, {field::kDone, done}, {field::kRunning, running}});
}

std::string render_error(std::string_view reason) {
  return json::serialize(json::object{{field::kError, reason}});
}

}  // namespace finchrun::wire
