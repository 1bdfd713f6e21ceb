#include "state/store_protocol.hpp"

#include <spdlog/spdlog.h>

#include <cctype>

namespace finchrun::state {
namespace {

std::uint64_t to_uint64(const json::value& value) { return value.to_number<std::uint64_t>(); }

std::optional<json::value> parse(const std::string& body) {
  boost::system::error_code error;
  json::value value = json::parse(body, error);
  if (error || !value.is_object()) return std::nullopt;
  return value;
}

StoreError error_of(int status) {
  switch (status) {
    case http::status::kNoAnswer:
      return StoreError::no_answer;
    case http::status::kGone:
      return StoreError::revision_too_old;
    case http::status::kTooManyRequests:
    case http::status::kServiceUnavailable:
      return StoreError::refused;
    default:
      return StoreError::malformed_answer;
  }
}

// Parses the body of a successful answer; `read` throws on a malformed one.
template <class T, class Read>
Result<T> result(const http::ClientResponse& answer, const char* request, Read&& read) {
  if (answer.status != http::status::kOk) return error_of(answer.status);
  const auto body = parse(answer.body);
  if (!body) return StoreError::malformed_answer;
  try {
    return read(*body);
  } catch (const std::exception& fault) {
    spdlog::warn("store answer malformed request={} reason={}", request, fault.what());
    return StoreError::malformed_answer;
  }
}

KeyUpdate parse_item(const json::object& item, const char* key_field) {
  KeyUpdate update;
  update.key = std::string(item.at(key_field).as_string());
  update.value = item.at("data");
  update.revision = to_uint64(item.at("stamp"));
  return update;
}

KeyUpdate parse_event(const json::object& event) {
  if (!event.contains("delete")) return parse_item(event, "set");
  return {std::string(event.at("delete").as_string()), std::nullopt, to_uint64(event.at("stamp"))};
}

std::string percent_encode(const std::string& text) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string encoded;
  for (const unsigned char c : text) {
    if (std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '~' || c == '/') {
      encoded += static_cast<char>(c);
    } else {
      encoded += '%';
      encoded += kHex[c >> 4];
      encoded += kHex[c & 15];
    }
  }
  return encoded;
}

// Answers 200 and 409 contain the store's revision; 409 also the keys whose condition failed.
CommitResult parse_commit_answer(const http::ClientResponse& answer) {
  const auto body = parse(answer.body);
  if (!body) return {};
  try {
    CommitResult result;
    result.revision = to_uint64(body->at("epoch"));
    result.outcome = answer.status == http::status::kOk ? CommitStatus::done : CommitStatus::conflict;
    if (result.outcome == CommitStatus::conflict)
      for (const auto& key : body->at("failed").as_array()) result.failed_keys.emplace_back(key.as_string());
    return result;
  } catch (const std::exception&) {
    return {};
  }
}

}  // namespace

const char* name_of(StoreError error) {
  switch (error) {
    case StoreError::refused:
      return "refused";
    case StoreError::no_answer:
      return "no_answer";
    case StoreError::revision_too_old:
      return "revision_too_old";
    case StoreError::malformed_answer:
      break;
  }
  return "malformed_answer";
}

CommitBody commit_body(const Transaction& transaction) {
  json::array compares;
  for (const auto& compare : transaction.compares)
    compares.push_back(json::object{{"k", compare.key}, {"stamp", compare.revision}});
  CommitBody body;
  body.text = "{\"when\":" + json::serialize(compares) + ",\"then\":[";
  for (const auto& write : transaction.writes) {
    if (&write != &transaction.writes.front()) body.text += ',';
    const auto key = json::serialize(json::string(write.key));
    if (!write.value) {
      body.text += "{\"delete\":" + key + "}";
      continue;
    }
    const auto value = json::serialize(*write.value);
    if (value.size() > body.cost.largest_value_bytes) {
      body.largest_key = write.key;
      body.cost.largest_value_bytes = value.size();
    }
    body.text += "{\"set\":" + key + ",\"data\":" + value;
    if (write.store_lease) body.text += ",\"hold\":" + std::to_string(*write.store_lease);
    body.text += '}';
  }
  body.text += "]}";
  body.cost.writes = transaction.writes.size();
  body.cost.compares = transaction.compares.size();
  body.cost.bytes = body.text.size() - kTransactionFrameBytes;
  return body;
}

std::string lease_body(int ttl_ms) { return json::serialize(json::object{{"ttlMs", ttl_ms}}); }

std::string changes_target(std::uint64_t from) {
  return "/follow?under=&from=" + std::to_string(from) + "&blockMs=0";
}

std::string list_target(const std::string& after, int limit) {
  std::string target = "/store?under=&limit=" + std::to_string(limit);
  if (!after.empty()) target += "&from=" + percent_encode(after);
  return target;
}

std::string renewal_target(std::uint64_t store_lease) {
  return "/grants/" + std::to_string(store_lease) + "/extend";
}

CommitResult commit_result(const http::ClientResponse& answer) {
  CommitResult result;
  switch (answer.status) {
    case http::status::kOk:
    case http::status::kConflict:
      return parse_commit_answer(answer);
    case http::status::kBadRequest:
      result.outcome = answer.body.find("no such lease") != std::string::npos ? CommitStatus::lease_expired
                                                                              : CommitStatus::malformed;
      break;
    case http::status::kTooManyRequests:
    case http::status::kServiceUnavailable:
      result.outcome = CommitStatus::refused;
      break;
    default:
      break;
  }
  return result;
}

Result<Changes> changes_result(const http::ClientResponse& answer) {
  return result<Changes>(answer, "changes", [](const json::value& body) {
    Changes changes;
    changes.revision = to_uint64(body.at("epoch"));
    for (const auto& event : body.at("events").as_array())
      changes.events.push_back(parse_event(event.as_object()));
    return changes;
  });
}

Result<ListPage> list_result(const http::ClientResponse& answer) {
  return result<ListPage>(answer, "list", [](const json::value& body) {
    ListPage page;
    page.revision = to_uint64(body.at("epoch"));
    page.has_more = body.at("hasNext").as_bool();
    for (const auto& item : body.at("items").as_array())
      page.items.push_back(parse_item(item.as_object(), "k"));
    return page;
  });
}

Result<std::uint64_t> lease_result(const http::ClientResponse& answer) {
  return result<std::uint64_t>(answer, "grant_lease",
                               [](const json::value& body) { return to_uint64(body.at("hold")); });
}

LeaseRenewal renewal_result(const http::ClientResponse& answer) {
  if (answer.status == http::status::kOk) return LeaseRenewal::renewed;
  return answer.status == http::status::kNotFound ? LeaseRenewal::expired : LeaseRenewal::unknown;
}

}  // namespace finchrun::state
