// Reads and validates single fields of a message. `InvalidField` is thrown and caught within `wire` only.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <variant>

#include "wire/messages.hpp"

namespace finchrun::wire {

/// A field that violates the protocol. The text names the reason and the field, and is returned to the
/// sender.
struct InvalidField {
  std::string reason;
};

/// Returns the field's value; throws if it is missing.
const boost::json::value& required(const boost::json::object& message, const char* key);
/// Returns the field's value; null if the field is null or missing: any field that may be null may also be
/// left out.
const boost::json::value* optional_field(const boost::json::object& message, const char* key);

/// Accepts 1 to 200 bytes.
std::string text_of(const boost::json::value& value, const char* key);
/// Accepts finite numbers from 0 to 1e12.
double amount_of(const boost::json::value& value, const char* key);

std::string text(const boost::json::object& message, const char* key);
double amount(const boost::json::object& message, const char* key);
bool flag(const boost::json::object& message, const char* key);
/// Accepts non-negative integers.
std::uint64_t count(const boost::json::object& message, const char* key);

[[noreturn]] void throw_invalid(const char* key);
[[noreturn]] void throw_out_of_range(const char* key);

/// Parses the body as a JSON object; throws if it is not one.
boost::json::object parse_object(const std::string& body);

/// Returns the message that `read` reads from the body's object, or the reason why the body is malformed.
template <class Message>
std::variant<Message, Malformed> read_message(const std::string& body,
                                              Message (&read)(const boost::json::object&)) {
  try {
    return read(parse_object(body));
  } catch (const InvalidField& invalid) {
    return Malformed{invalid.reason};
  }
}

}  // namespace finchrun::wire
