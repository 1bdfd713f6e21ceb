#include "cloud/cloud.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace finchrun::cloud {
namespace {

namespace json = boost::json;
using namespace std::chrono_literals;

std::optional<json::value> parse(const http::Answer& answer) {
  if (answer.status != 200) return std::nullopt;
  boost::system::error_code ec;
  json::value v = json::parse(answer.body, ec);
  if (ec || !v.is_object()) return std::nullopt;
  return v;
}

double real(const json::object& o, const char* key) { return o.at(key).to_number<double>(); }
// Kept out of the coroutines: GCC 12 can't hold initializer lists in a coroutine's frame.
std::string scale_out_body(const std::string& request, const std::string& type, const std::string& zone,
                           bool spot, int count) {
  return json::serialize(
      json::object{{"hire", request}, {"rack", type}, {"hall", zone}, {"loaners", spot}, {"howMany", count}});
}
std::string release_body(const std::vector<std::string>& names) {
  json::array list;
  for (const auto& n : names) list.emplace_back(n);
  return json::serialize(json::object{{"perches", std::move(list)}});
}
std::string text(const json::object& o, const char* key) { return std::string(o.at(key).as_string()); }

}  // namespace

Cloud::Cloud(http::Network& network, const config::Settings& s)
    : client_(network.connect(s.cloud, 2)),
      rate_(s.cloud_rps / s.nodes),
      rate_limiter_(rate_, std::max(2.0, 2 * rate_), core::Steady::now()) {}

asio::awaitable<http::Answer> Cloud::call(http::Verb verb, std::string target, std::string body) {
  if (!rate_limiter_.take(1, 0, core::Steady::now())) co_return http::Answer{429, {}};
  co_return co_await client_->call(verb, std::move(target), std::move(body), 5000ms);
}

asio::awaitable<std::optional<std::vector<MachineType>>> Cloud::machine_types() {
  http::Answer answer = co_await call(http::Verb::get, "/flavors", {});
  auto v = parse(answer);
  if (!v) co_return std::nullopt;
  try {
    std::vector<MachineType> out;
    for (const auto& item : v->at("racks").as_array()) {
      const auto& o = item.as_object();
      MachineType f;
      f.name = text(o, "name");
      f.size = {real(o, "vcpus"), real(o, "gpus"), real(o, "ramGb")};
      f.cache_gb = real(o, "cacheGb");
      f.fetch_gb_per_s = real(o, "pullGbPerS");
      f.price = real(o, "rate");
      f.spot_price = real(o, "spotPrice");
      f.boot_s = real(o, "readyS");
      for (const auto& z : o.at("halls").as_array()) f.zones.emplace_back(z.as_string());
      out.push_back(std::move(f));
    }
    if (out.empty()) co_return std::nullopt;
    co_return out;
  } catch (const std::exception& e) {
    spdlog::warn("cloud: machine types do not parse: {}", e.what());
    co_return std::nullopt;
  }
}

asio::awaitable<std::optional<std::vector<ListedMachine>>> Cloud::machines() {
  std::vector<ListedMachine> out;
  std::string after;
  for (int page = 0; page < 200; ++page) {
    pages_ = std::max(pages_, page + 1);
    // A long list outlasts a burst of the budget: its next page waits for its turn rather than failing.
    while (!rate_limiter_.take(1, 0, core::Steady::now())) {
      core::Timer timer(co_await asio::this_coro::executor, core::secs(0.5 / rate_));
      boost::system::error_code ec;
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    std::string target = "/hosts?limit=500";
    if (!after.empty()) target += "&from=" + after;
    http::Answer answer = co_await client_->call(http::Verb::get, std::move(target), {}, 5000ms);
    auto v = parse(answer);
    if (!v) co_return std::nullopt;
    bool more = false;
    try {
      for (const auto& item : v->at("perches").as_array()) {
        const auto& o = item.as_object();
        ListedMachine m;
        m.name = text(o, "nameId");
        if (const auto* ep = o.if_contains("endpoint"); ep && ep->is_string())
          m.endpoint = text(o, "endpoint");
        m.type = text(o, "rack");
        m.zone = text(o, "hall");
        m.spot = o.at("loaners").as_bool();
        m.status = text(o, "status");
        m.held_s = real(o, "heldS");
        out.push_back(std::move(m));
      }
      more = v->at("hasNext").as_bool();
    } catch (const std::exception& e) {
      spdlog::warn("cloud: machine list does not parse: {}", e.what());
      co_return std::nullopt;
    }
    if (!more || out.empty()) break;
    after = out.back().name;
  }
  co_return out;
}

asio::awaitable<ScaleOutResult> Cloud::scale_out(std::string request, std::string type, std::string zone,
                                                 bool spot, int count) {
  http::Answer answer =
      co_await call(http::Verb::post, "/hosts", scale_out_body(request, type, zone, spot, count));
  ScaleOutResult out;
  if (answer.status == 503 && answer.body.find("no capacity") != std::string::npos) {
    out.kind = ScaleOutResult::Kind::no_capacity;
    co_return out;
  }
  auto v = parse(answer);
  if (!v) co_return out;
  try {
    for (const auto& n : v->at("perches").as_array()) out.machines.emplace_back(n.as_string());
    out.kind = ScaleOutResult::Kind::ok;
  } catch (const std::exception&) {
    out = ScaleOutResult{};
  }
  co_return out;
}

asio::awaitable<bool> Cloud::release(std::vector<std::string> names) {
  http::Answer answer = co_await call(http::Verb::post, "/hosts/release", release_body(names));
  co_return answer.status == 200;
}

}  // namespace finchrun::cloud
