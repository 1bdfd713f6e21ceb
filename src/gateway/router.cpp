#include "gateway/router.hpp"

#include "gateway/responses.hpp"

namespace finchrun::gateway {

asio::awaitable<http::Response> Router::handle(http::Request request) {
  const std::string_view target = request.target;
  const auto path = target.substr(0, target.find('?'));
  constexpr std::string_view kJobs = "/submissions";
  const bool get = request.method == "GET", post = request.method == "POST";
  if (path == "/hello") {
    if (!post) co_return error_response(405, "method not allowed");
    co_return co_await agents_.receive(std::move(request.body));
  }
  if (path == "/up") {
    if (!get) co_return error_response(405, "method not allowed");
    if (!jobs_.ready()) co_return retry_later("no news from the state service");
    co_return http::Response{200, "{}"};
  }
  if (path == kJobs) {
    if (!post) co_return error_response(405, "method not allowed");
    co_return co_await jobs_.submit(std::move(request.body));
  }
  if (path.starts_with(kJobs) && path.size() > kJobs.size() + 1 && path[kJobs.size()] == '/') {
    auto rest = path.substr(kJobs.size() + 1);
    constexpr std::string_view kAbort = "/abort";
    if (rest.ends_with(kAbort)) {
      const std::string id(rest.substr(0, rest.size() - kAbort.size()));
      if (!post) co_return error_response(405, "method not allowed");
      if (!wire::valid_job_id(id)) co_return error_response(404, "no such job");
      co_return co_await jobs_.cancel(id);
    }
    if (rest.find('/') == std::string_view::npos) {
      if (!get) co_return error_response(405, "method not allowed");
      const std::string id(rest);
      if (!wire::valid_job_id(id)) co_return error_response(404, "no such job");
      co_return co_await jobs_.query(id);
    }
  }
  co_return error_response(404, "no such path");
}

}  // namespace finchrun::gateway
