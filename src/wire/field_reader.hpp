// Reads single fields of a message; one that breaks the rules is an `InvalidField`, thrown within `wire`
// only.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <variant>

#include "wire/messages.hpp"

namespace finchrun::wire {

/// A message breaks the protocol's rules. The text names the reason and the field, and reaches the sender.
struct InvalidField {
  std::string why;
};

/// The field's value; throws if it is missing.
const boost::json::value& required(const boost::json::object& message, const char* key);
/// Nothing if the field is null or missing: any field that may be null may also be left out.
const boost::json::value* optional_field(const boost::json::object& message, const char* key);

/// Not empty, 200 bytes at most.
std::string text_of(const boost::json::value& value, const char* key);
/// Finite, from 0 to 1e12.
double amount_of(const boost::json::value& value, const char* key);

std::string text(const boost::json::object& message, const char* key);
double amount(const boost::json::object& message, const char* key);
bool flag(const boost::json::object& message, const char* key);
/// A whole number, not negative.
std::uint64_t count(const boost::json::object& message, const char* key);

[[noreturn]] void throw_invalid(const char* key);
[[noreturn]] void throw_out_of_range(const char* key);

/// The object that the body holds; throws if it is none.
boost::json::object parse_object(const std::string& body);

/// The message that `read` makes of the body's object, or why the body is malformed.
template <class Message>
std::variant<Message, Malformed> read_message(const std::string& body,
                                              Message (&read)(const boost::json::object&)) {
  try {
    return read(parse_object(body));
  } catch (const InvalidField& invalid) {
    return Malformed{invalid.why};
  }
}

}  // namespace finchrun::wire
