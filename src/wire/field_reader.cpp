#include "wire/field_reader.hpp"

#include <cmath>

namespace finchrun::wire {

namespace json = boost::json;

namespace {
constexpr std::size_t kMaxTextBytes = 200;
constexpr double kMaxAmount = 1e12;
}  // namespace

void throw_invalid(const char* key) { throw InvalidField{std::string("invalid field ") + key}; }
void throw_out_of_range(const char* key) { throw InvalidField{std::string("field out of range ") + key}; }

json::object parse_object(const std::string& body) {
  boost::system::error_code error;
  json::value parsed = json::parse(body, error);
  if (error) throw InvalidField{"not JSON"};
  if (!parsed.is_object()) throw InvalidField{"not an object"};
  return std::move(parsed.as_object());
}

const json::value& required(const json::object& message, const char* key) {
  const auto* value = message.if_contains(key);
  if (!value) throw InvalidField{std::string("missing field ") + key};
  return *value;
}

const json::value* optional_field(const json::object& message, const char* key) {
  const auto* value = message.if_contains(key);
  return value && !value->is_null() ? value : nullptr;
}

std::string text_of(const json::value& value, const char* key) {
  if (!value.is_string()) throw_invalid(key);
  const auto& text = value.as_string();
  if (text.empty() || text.size() > kMaxTextBytes) throw_invalid(key);
  return std::string(text);
}

double amount_of(const json::value& value, const char* key) {
  if (!value.is_number()) throw_invalid(key);
  const double amount = value.to_number<double>();
  if (!std::isfinite(amount) || amount < 0 || amount > kMaxAmount) throw_out_of_range(key);
  return amount;
}

std::string text(const json::object& message, const char* key) {
  return text_of(required(message, key), key);
}

double amount(const json::object& message, const char* key) { return amount_of(required(message, key), key); }

bool flag(const json::object& message, const char* key) {
  const auto& value = required(message, key);
  if (!value.is_bool()) throw_invalid(key);
  return value.as_bool();
}

std::uint64_t count(const json::object& message, const char* key) {
  const auto& value = required(message, key);
  if (value.is_int64() && value.as_int64() >= 0) return static_cast<std::uint64_t>(value.as_int64());
  if (value.is_uint64()) return value.as_uint64();
  throw_invalid(key);
}

}  // namespace finchrun::wire
