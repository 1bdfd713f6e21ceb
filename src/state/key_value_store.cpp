#include "state/key_value_store.hpp"

#include <spdlog/spdlog.h>

namespace finchrun::state {
namespace {

using namespace std::chrono_literals;
constexpr auto kLimit = 1500ms;

// A controller may use somewhat more than an equal part, since the others seldom use all of theirs.
double share_of(double total, int nodes) { return total * std::min(1.0, 1.5 / nodes); }

std::optional<json::value> parse(const std::string& body) {
  boost::system::error_code ec;
  json::value v = json::parse(body, ec);
  if (ec || !v.is_object()) return std::nullopt;
  return v;
}

// The body of a transaction, and what of it the service would refuse for its size.
struct TransactionBody {
  std::string text;
  std::string oversized_key;  // empty: every value is within the limit
  std::size_t oversized_bytes = 0;
};

// Kept out of the coroutines: GCC 12 can't hold initializer lists in a coroutine's frame.
TransactionBody transaction_body(const Transaction& txn, const config::StateLimits& limits) {
  const auto max_bytes = static_cast<std::size_t>(limits.value_kb * 1024);
  json::array compares;
  for (const auto& c : txn.compares) compares.push_back(json::object{{"k", c.key}, {"stamp", c.revision}});
  TransactionBody body;
  body.text = "{\"when\":" + json::serialize(compares) + ",\"then\":[";
  for (const auto& c : txn.writes) {
    if (&c != &txn.writes.front()) body.text += ',';
    const auto key = json::serialize(json::string(c.key));
    if (!c.value) {
      body.text += "{\"delete\":" + key + "}";
      continue;
    }
    const auto value = json::serialize(*c.value);
    if (value.size() > max_bytes) {
      body.oversized_key = c.key;
      body.oversized_bytes = value.size();
    }
    body.text += "{\"set\":" + key + ",\"data\":" + value;
    if (c.store_lease) body.text += ",\"hold\":" + std::to_string(*c.store_lease);
    body.text += '}';
  }
  body.text += "]}";
  return body;
}
std::string lease_body(int ttl_ms) { return json::serialize(json::object{{"ttlMs", ttl_ms}}); }

std::uint64_t whole(const json::value& v) { return v.to_number<std::uint64_t>(); }

KeyUpdate read_item(const json::object& o, const char* key_field) {
  KeyUpdate e;
  e.key = std::string(o.at(key_field).as_string());
  e.value = o.at("data");
  e.revision = whole(o.at("stamp"));
  return e;
}

std::string escape(const std::string& s) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string out;
  for (unsigned char c : s) {
    if (std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '~' || c == '/') {
      out += static_cast<char>(c);
    } else {
      out += '%';
      out += kHex[c >> 4];
      out += kHex[c & 15];
    }
  }
  return out;
}

}  // namespace

KeyValueStore::KeyValueStore(http::Network& network, const config::Settings& s,
                             std::unique_ptr<http::Transport> peer_relay)
    : client_(network.connect(s.state, 6)),
      renewals_(network.connect(s.state, 1)),
      peer_relay_(std::move(peer_relay)),
      limits_(s.state_limits),
      requests_(share_of(limits_.requests_per_s, s.nodes), share_of(limits_.requests_per_s, s.nodes) * 0.7,
                core::Steady::now()),
      writes_(share_of(limits_.writes_per_s, s.nodes), share_of(limits_.writes_per_s, s.nodes),
              core::Steady::now()) {}

void KeyValueStore::use_share_of_writes(double share) {
  // Submissions that come together, where little else is written; a quarter of what the service grants at
  // most.
  const double least_burst = std::clamp(limits_.writes_per_s / 4, 4.0, 8.0);
  const double rate = limits_.writes_per_s * std::min(1.0, share);
  writes_.resize(rate, std::max(least_burst, rate));
}

bool KeyValueStore::spend(int writes, For what) {
  const double kept = what == For::records ? 0.25 : 0;
  // More than a burst could never be there: it is let go when all of a burst is.
  const double n = std::min<double>(writes, writes_.burst() * (1 - kept));
  return writes_.take(n, kept, core::Steady::now());
}

// 503 means that the request was not executed, so it may be sent another way. Without any answer that is only
// true of reads; a write might have been applied, and its caller must read it back.
asio::awaitable<http::Answer> KeyValueStore::go(http::Transport& direct, http::Verb verb, std::string target,
                                                std::string body) {
  constexpr auto kQuick = 400ms;  // while refused, the direct way is only probed
  const bool refused = core::since(refused_at_, core::Steady::now()) < 1.0;
  auto answer =
      co_await direct.call(verb, target, body, refused && verb == http::Verb::get ? kQuick : kLimit);
  const bool unsent = answer.status == 503 || (answer.status == 0 && verb == http::Verb::get);
  if (unsent) refused_at_ = core::Steady::now();
  if (unsent && peer_relay_)
    answer = co_await peer_relay_->call(verb, std::move(target), std::move(body), kLimit);
  co_return answer;
}

asio::awaitable<http::Answer> KeyValueStore::forward(http::Verb verb, std::string target, std::string body) {
  if (!requests_.take(1, 0.2, core::Steady::now())) co_return http::Answer{429, {}};
  co_return co_await client_->call(verb, std::move(target), std::move(body), kLimit);
}

asio::awaitable<http::Answer> KeyValueStore::call(http::Verb verb, std::string target, std::string body,
                                                  double reserve) {
  if (!requests_.take(1, reserve, core::Steady::now())) co_return http::Answer{429, {}};
  http::Answer answer = co_await go(*client_, verb, std::move(target), std::move(body));
  if (answer.status == 429) requests_.refused(core::Steady::now());
  co_return answer;
}

// Logged once for each key and size: its owner tries again whenever something about it has changed.
void KeyValueStore::note_oversized(const Transaction& txn, const std::string& key, std::size_t bytes) {
  const auto name = key.empty() && !txn.writes.empty() ? txn.writes.front().key : key;
  const auto size = key.empty() ? txn.writes.size() : bytes;
  auto& logged = oversized_[name];
  if (logged == size) return;
  constexpr std::size_t kMostKeys = 1000;
  if (oversized_.size() > kMostKeys) oversized_.clear();
  oversized_[name] = size;
  spdlog::error("state: not sent, over a limit: key={} {}={}", name, key.empty() ? "changes" : "bytes", size);
}

asio::awaitable<CommitResult> KeyValueStore::commit(Transaction txn) {
  CommitResult out;
  auto body = transaction_body(txn, limits_);
  // Sent, it would be answered 400, now or from the moment on at which the announced limits hold.
  if (!body.oversized_key.empty() || txn.writes.size() > limits_.max_writes()) {
    note_oversized(txn, body.oversized_key, body.oversized_bytes);
    out.outcome = CommitStatus::too_large;
    co_return out;
  }
  http::Answer answer = co_await call(http::Verb::post, "/commit", std::move(body.text), 0.15);
  switch (answer.status) {
    case 200:
    case 409: {
      auto v = parse(answer.body);
      if (!v) co_return out;
      try {
        out.revision = whole(v->at("epoch"));
        out.outcome = answer.status == 200 ? CommitStatus::done : CommitStatus::conflict;
        if (answer.status == 409)
          for (const auto& k : v->at("failed").as_array()) out.failed.emplace_back(k.as_string());
      } catch (const std::exception&) {
        out = CommitResult{};
      }
      co_return out;
    }
    case 400:
      out.outcome = answer.body.find("no such lease") != std::string::npos ? CommitStatus::lease_expired
                                                                           : CommitStatus::malformed;
      if (out.outcome == CommitStatus::malformed) spdlog::error("state: commit malformed: {}", answer.body);
      co_return out;
    case 429:
      writes_.refused(core::Steady::now());
      out.outcome = CommitStatus::refused;
      co_return out;
    case 503:
      out.outcome = CommitStatus::refused;
      co_return out;
    default:
      co_return out;
  }
}

asio::awaitable<ChangesResult> KeyValueStore::changes(std::uint64_t from) {
  http::Answer answer =
      co_await call(http::Verb::get, "/follow?under=&from=" + std::to_string(from) + "&blockMs=0", {}, 0.1);
  ChangesResult out;
  if (answer.status == 410) out.kind = ChangesResult::Kind::too_old;
  if (answer.status != 200) co_return out;
  auto v = parse(answer.body);
  if (!v) co_return out;
  try {
    out.revision = whole(v->at("epoch"));
    for (const auto& item : v->at("events").as_array()) {
      const auto& o = item.as_object();
      if (o.contains("delete")) {
        out.events.push_back({std::string(o.at("delete").as_string()), std::nullopt, whole(o.at("stamp"))});
      } else {
        out.events.push_back(read_item(o, "set"));
      }
    }
    out.kind = ChangesResult::Kind::ok;
  } catch (const std::exception& e) {
    spdlog::warn("state: changes do not parse: {}", e.what());
    out = ChangesResult{};
  }
  co_return out;
}

asio::awaitable<Page> KeyValueStore::list(std::string after, int limit) {
  std::string target = "/store?under=&limit=" + std::to_string(limit);
  if (!after.empty()) target += "&from=" + escape(after);
  http::Answer answer = co_await call(http::Verb::get, std::move(target), {}, 0.1);
  Page out;
  if (answer.status != 200) co_return out;
  auto v = parse(answer.body);
  if (!v) co_return out;
  try {
    out.revision = whole(v->at("epoch"));
    out.more = v->at("hasNext").as_bool();
    for (const auto& item : v->at("items").as_array()) out.items.push_back(read_item(item.as_object(), "k"));
    out.ok = true;
  } catch (const std::exception& e) {
    spdlog::warn("state: list does not parse: {}", e.what());
    out = Page{};
  }
  co_return out;
}

asio::awaitable<std::optional<std::uint64_t>> KeyValueStore::grant_lease(int ttl_ms) {
  requests_.take(1, -10, core::Steady::now());
  http::Answer answer = co_await go(*renewals_, http::Verb::post, "/grants", lease_body(ttl_ms));
  if (answer.status != 200) co_return std::nullopt;
  auto v = parse(answer.body);
  if (!v || !v->as_object().contains("hold")) co_return std::nullopt;
  try {
    co_return whole(v->at("hold"));
  } catch (const std::exception&) {
    co_return std::nullopt;
  }
}

asio::awaitable<int> KeyValueStore::renew_lease(std::uint64_t store_lease) {
  requests_.take(1, -10, core::Steady::now());
  http::Answer answer =
      co_await go(*renewals_, http::Verb::post, "/grants/" + std::to_string(store_lease) + "/extend", {});
  co_return answer.status;
}

}  // namespace finchrun::state
