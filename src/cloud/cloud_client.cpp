#include "cloud/cloud_client.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <optional>

namespace finchrun::cloud {
namespace {

namespace json = boost::json;
using namespace std::chrono_literals;

constexpr auto kRequestTimeout = 5000ms;
constexpr int kMaxPages = 200;

struct MachinePage {
  std::vector<ListedMachine> machines;
  bool has_more = false;
};

std::string string_field(const json::object& object, const char* key) {
  return std::string(object.at(key).as_string());
}
double number_field(const json::object& object, const char* key) {
  return object.at(key).to_number<double>();
}

std::optional<Error> error_of(const http::ClientResponse& answer) {
  switch (answer.status) {
    case 200:
      return std::nullopt;
    case 0:
      return Error::no_answer;
    case 429:
      return Error::rate_limited;
    case 503:
      if (answer.body.find("no capacity") != std::string::npos) return Error::no_capacity;
      return Error::refused;
    default:
      return Error::refused;
  }
}

/// Returns the result of `read` for the answer's JSON object, or the error. `read` throws on a malformed
/// object.
template <class Read>
auto parse(const http::ClientResponse& answer, const char* request, Read&& read)
    -> Result<decltype(read(std::declval<const json::object&>()))> {
  if (const auto error = error_of(answer)) {
    spdlog::debug("cloud request failed request={} reason={} status={}", request, name_of(*error),
                  answer.status);
    return *error;
  }
  try {
    return read(json::parse(answer.body).as_object());
  } catch (const std::exception& error) {
    spdlog::warn("cloud answer malformed request={} reason=\"{}\"", request, error.what());
    return Error::malformed;
  }
}

MachineType read_machine_type(const json::object& object) {
  MachineType type;
  type.name = string_field(object, "name");
  type.size = {number_field(object, "vcpus"), number_field(object, "gpus"), number_field(object, "ramGb")};
  type.cache_gb = number_field(object, "cacheGb");
  type.fetch_gb_per_s = number_field(object, "pullGbPerS");
  type.price = number_field(object, "rate");
  type.spot_price = number_field(object, "spotPrice");
  type.boot_s = number_field(object, "readyS");
  for (const auto& zone : object.at("halls").as_array()) type.zones.emplace_back(zone.as_string());
  return type;
}

std::vector<MachineType> read_machine_types(const json::object& object) {
  std::vector<MachineType> types;
  for (const auto& item : object.at("racks").as_array()) types.push_back(read_machine_type(item.as_object()));
  if (types.empty()) throw std::runtime_error("no machine types");
  return types;
}

ListedMachine read_machine(const json::object& object) {
  ListedMachine machine;
  machine.name = string_field(object, "nameId");
  if (const auto* endpoint = object.if_contains("endpoint"); endpoint && endpoint->is_string())
    machine.endpoint = string_field(object, "endpoint");
  machine.type = string_field(object, "rack");
  machine.zone = string_field(object, "hall");
  machine.spot = object.at("loaners").as_bool();
  machine.status = string_field(object, "status");
  machine.rented_for_s = number_field(object, "heldS");
  return machine;
}

MachinePage read_machine_page(const json::object& object) {
  MachinePage page;
  for (const auto& item : object.at("perches").as_array())
    page.machines.push_back(read_machine(item.as_object()));
  page.has_more = object.at("hasNext").as_bool();
  if (page.has_more && page.machines.empty()) throw std::runtime_error("an empty page that is not the last");
  return page;
}

Rented read_rented(const json::object& object) {
  Rented rented;
  for (const auto& name : object.at("perches").as_array()) rented.machines.emplace_back(name.as_string());
  return rented;
}

// Separate from the coroutines, since GCC 12 can't keep initializer lists in a coroutine frame.
std::string scale_out_body(const std::string& request_id, const std::string& type, const std::string& zone,
                           bool spot, int count) {
  return json::serialize(json::object{
      {"hire", request_id}, {"rack", type}, {"hall", zone}, {"loaners", spot}, {"howMany", count}});
}

std::string release_body(const std::vector<std::string>& names) {
  json::array list;
  for (const auto& name : names) list.emplace_back(name);
  return json::serialize(json::object{{"perches", std::move(list)}});
}

}  // namespace

const char* name_of(Error error) {
  switch (error) {
    case Error::rate_limited:
      return "rate_limited";
    case Error::no_answer:
      return "no_answer";
    case Error::no_capacity:
      return "no_capacity";
    case Error::refused:
      return "refused";
    case Error::malformed:
      return "malformed";
  }
  return "unknown";
}

CloudClient::CloudClient(http::Network& network, const config::Settings& settings)
    : client_(network.connect(settings.cloud_endpoint, 2)),
      requests_per_s_(settings.cloud_requests_per_s / settings.controller_count),
      rate_limiter_(requests_per_s_, std::max(2.0, 2 * requests_per_s_), core::SteadyClock::now()) {}

asio::awaitable<http::ClientResponse> CloudClient::call(http::Verb verb, std::string target,
                                                        std::string body) {
  if (!rate_limiter_.try_take(1, 0, core::SteadyClock::now())) co_return http::ClientResponse{429, {}};
  co_return co_await client_->call(verb, std::move(target), std::move(body), kRequestTimeout);
}

asio::awaitable<void> CloudClient::wait_for_rate_limit() {
  while (!rate_limiter_.try_take(1, 0, core::SteadyClock::now())) {
    core::Timer timer(co_await asio::this_coro::executor, core::to_duration(0.5 / requests_per_s_));
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

asio::awaitable<Result<std::vector<MachineType>>> CloudClient::machine_types() {
  const http::ClientResponse answer = co_await call(http::Verb::get, "/flavors", {});
  co_return parse(answer, "machine_types", read_machine_types);
}

asio::awaitable<Result<MachineList>> CloudClient::machines() {
  MachineList list;
  auto& machines = list.machines;
  for (int page_number = 1; page_number <= kMaxPages && !list.complete; ++page_number) {
    pages_ = std::max(pages_, page_number);
    // The pages of a long list exceed the rate limit's burst. Waiting keeps the list from failing halfway.
    co_await wait_for_rate_limit();
    std::string target = "/hosts?limit=500";
    if (!machines.empty()) target += "&from=" + machines.back().name;
    if (page_number == 1) list.requested_at = core::SteadyClock::now();
    const http::ClientResponse answer =
        co_await client_->call(http::Verb::get, std::move(target), {}, kRequestTimeout);
    auto result = parse(answer, "machines", read_machine_page);
    if (const auto* error = std::get_if<Error>(&result)) co_return *error;
    auto& page = std::get<MachinePage>(result);
    std::move(page.machines.begin(), page.machines.end(), std::back_inserter(machines));
    list.complete = !page.has_more;
  }
  if (!list.complete && list_is_complete_)
    spdlog::warn("machine list cut off pages={} machines={}", kMaxPages, machines.size());
  list_is_complete_ = list.complete;
  co_return list;
}

asio::awaitable<Result<Rented>> CloudClient::scale_out(std::string request_id, std::string type,
                                                       std::string zone, bool spot, int count) {
  const http::ClientResponse answer =
      co_await call(http::Verb::post, "/hosts", scale_out_body(request_id, type, zone, spot, count));
  co_return parse(answer, "scale_out", read_rented);
}

asio::awaitable<Result<Released>> CloudClient::release(std::vector<std::string> names) {
  const http::ClientResponse answer = co_await call(http::Verb::post, "/hosts/release", release_body(names));
  if (const auto error = error_of(answer)) {
    spdlog::debug("cloud request failed request=release reason={} status={}", name_of(*error), answer.status);
    co_return *error;
  }
  co_return Released{};
}

}  // namespace finchrun::cloud
