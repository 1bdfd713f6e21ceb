#include "cloud/cloud.hpp"

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

constexpr auto kAnswerWithin = 5000ms;
constexpr int kMostPages = 200;

struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;
};

std::string text(const json::object& object, const char* key) {
  return std::string(object.at(key).as_string());
}
double real(const json::object& object, const char* key) { return object.at(key).to_number<double>(); }

std::optional<Error> error_of(const http::Answer& answer) {
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

/// What `read` makes of the answer's object; `read` throws if it is not what the protocol says.
template <class Read>
auto parse(const http::Answer& answer, const char* request, Read&& read)
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
  type.name = text(object, "name");
  type.size = {real(object, "vcpus"), real(object, "gpus"), real(object, "ramGb")};
  type.cache_gb = real(object, "cacheGb");
  type.fetch_gb_per_s = real(object, "pullGbPerS");
  type.price = real(object, "rate");
  type.spot_price = real(object, "spotPrice");
  type.boot_s = real(object, "readyS");
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
  machine.name = text(object, "nameId");
  if (const auto* endpoint = object.if_contains("endpoint"); endpoint && endpoint->is_string())
    machine.endpoint = text(object, "endpoint");
  machine.type = text(object, "rack");
  machine.zone = text(object, "hall");
  machine.spot = object.at("loaners").as_bool();
  machine.status = text(object, "status");
  machine.held_s = real(object, "heldS");
  return machine;
}

MachinePage read_machine_page(const json::object& object) {
  MachinePage page;
  for (const auto& item : object.at("perches").as_array())
    page.machines.push_back(read_machine(item.as_object()));
  page.more = object.at("hasNext").as_bool();
  return page;
}

Rented read_rented(const json::object& object) {
  Rented rented;
  for (const auto& name : object.at("perches").as_array()) rented.machines.emplace_back(name.as_string());
  return rented;
}

// Kept out of the coroutines: GCC 12 can't hold initializer lists in a coroutine's frame.
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

Cloud::Cloud(http::Network& network, const config::Settings& s)
    : client_(network.connect(s.cloud, 2)),
      rate_(s.cloud_rps / s.nodes),
      rate_limiter_(rate_, std::max(2.0, 2 * rate_), core::SteadyClock::now()) {}

asio::awaitable<http::Answer> Cloud::call(http::Verb verb, std::string target, std::string body) {
  if (!rate_limiter_.try_take(1, 0, core::SteadyClock::now())) co_return http::Answer{429, {}};
  co_return co_await client_->call(verb, std::move(target), std::move(body), kAnswerWithin);
}

asio::awaitable<void> Cloud::wait_for_turn() {
  while (!rate_limiter_.try_take(1, 0, core::SteadyClock::now())) {
    core::Timer timer(co_await asio::this_coro::executor, core::to_duration(0.5 / rate_));
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

asio::awaitable<Result<std::vector<MachineType>>> Cloud::machine_types() {
  const http::Answer answer = co_await call(http::Verb::get, "/flavors", {});
  co_return parse(answer, "machine_types", read_machine_types);
}

asio::awaitable<Result<std::vector<ListedMachine>>> Cloud::machines() {
  std::vector<ListedMachine> machines;
  for (int page_number = 1; page_number <= kMostPages; ++page_number) {
    pages_ = std::max(pages_, page_number);
    // A long list outlasts a burst of the limit: its next page waits for its turn rather than failing.
    co_await wait_for_turn();
    std::string target = "/hosts?limit=500";
    if (!machines.empty()) target += "&from=" + machines.back().name;
    const http::Answer answer = co_await client_->call(http::Verb::get, std::move(target), {}, kAnswerWithin);
    auto result = parse(answer, "machines", read_machine_page);
    if (const auto* error = std::get_if<Error>(&result)) co_return *error;
    auto& page = std::get<MachinePage>(result);
    std::move(page.machines.begin(), page.machines.end(), std::back_inserter(machines));
    if (!page.more || machines.empty()) break;
  }
  co_return machines;
}

asio::awaitable<Result<Rented>> Cloud::scale_out(std::string request_id, std::string type, std::string zone,
                                                 bool spot, int count) {
  const http::Answer answer =
      co_await call(http::Verb::post, "/hosts", scale_out_body(request_id, type, zone, spot, count));
  co_return parse(answer, "scale_out", read_rented);
}

asio::awaitable<Result<Released>> Cloud::release(std::vector<std::string> names) {
  const http::Answer answer = co_await call(http::Verb::post, "/hosts/release", release_body(names));
  if (const auto error = error_of(answer)) {
    spdlog::debug("cloud request failed request=release reason={} status={}", name_of(*error), answer.status);
    co_return *error;
  }
  co_return Released{};
}

}  // namespace finchrun::cloud
