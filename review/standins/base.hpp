// Shared parts of the cases: the record, HTTP over plain sockets, and child processes.
// Everything listens on 127.0.0.1.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/json/src.hpp>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;

inline Time start_time = Clock::now();
inline double now_s() { return std::chrono::duration<double>(Clock::now() - start_time).count(); }
inline void sleep_s(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// record.txt: one line for each thing that was sent, answered or run, with the seconds since the start.
class Record {
 public:
  void open(const std::string& path) { out_.open(path, std::ios::trunc); }
  void line(const std::string& text) {
    std::scoped_lock lock(mutex_);
    char at[32];
    std::snprintf(at, sizeof at, "%8.3f ", now_s());
    out_ << at << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};
inline Record record;

struct Request {
  std::string method, target, body;
};
struct Reply {
  int status = 0;  // 0: no answer
  std::string body;
};

// Reads one HTTP/1.1 message with Content-Length. Returns false at the end of the connection or the deadline.
inline bool read_message(int fd, std::string& buffer, std::string& head, std::string& body,
                         std::optional<Time> deadline) {
  const auto fill = [&]() {
    if (deadline) {
      const auto left =
          std::chrono::duration_cast<std::chrono::milliseconds>(*deadline - Clock::now()).count();
      if (left <= 0) return false;
      pollfd p{fd, POLLIN, 0};
      if (::poll(&p, 1, static_cast<int>(left)) <= 0) return false;
    }
    char chunk[16384];
    const auto n = ::recv(fd, chunk, sizeof chunk, 0);
    if (n <= 0) return false;
    buffer.append(chunk, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
    if (!fill()) return false;
  head = buffer.substr(0, end);
  std::size_t length = 0;
  std::istringstream lines(head);
  for (std::string line; std::getline(lines, line);) {
    for (auto& c : line) c = static_cast<char>(std::tolower(c));
    if (line.rfind("content-length:", 0) == 0) length = std::stoul(line.substr(15));
  }
  while (buffer.size() < end + 4 + length)
    if (!fill()) return false;
  body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  return true;
}

inline bool write_all(int fd, const std::string& bytes) {
  for (std::size_t done = 0; done < bytes.size();) {
    const auto n = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0) return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// A port that is free now.
inline int free_port() {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  auto address = loopback(0);
  ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(fd);
  return ntohs(address.sin_port);
}

// An HTTP server with a thread for each connection. A handler that returns status 0 leaves the request
// without an answer: the connection stays silent until the caller gives up.
class Server {
 public:
  using Handler = std::function<Reply(const Request&)>;
  explicit Server(Handler handler) : handler_(std::move(handler)) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(0);
    socklen_t size = sizeof address;
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd_, 256) != 0)
      throw std::runtime_error("cannot listen");
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread([this] { accept_loop(); }).detach();
  }
  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] std::string endpoint() const { return "127.0.0.1:" + std::to_string(port_); }
  // From now on new connections are closed and open ones get no answer, as if the host were gone.
  void vanish() { gone_ = true; }

 private:
  void accept_loop() {
    while (true) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  void serve(int fd) {
    std::string buffer, head, body;
    while (read_message(fd, buffer, head, body, std::nullopt)) {
      if (gone_) break;
      Request request;
      std::istringstream(head) >> request.method >> request.target;
      request.body = body;
      Reply reply;
      try {
        reply = handler_(request);
      } catch (const std::exception& error) {
        reply = {400, json::serialize(json::object{{"error", error.what()}})};
      }
      if (reply.status == 0 && !gone_) {
        pollfd closed{fd, POLLIN, 0};
        ::poll(&closed, 1, 30000);
      }
      if (reply.status == 0 || gone_) break;
      if (!write_all(fd, "HTTP/1.1 " + std::to_string(reply.status) +
                             " Status\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body))
        break;
    }
    ::close(fd);
  }
  Handler handler_;
  int fd_ = -1, port_ = 0;
  std::atomic<bool> gone_{false};
};

// Sends one request on a connection of its own. Status 0: no answer.
inline Reply call(int port, const std::string& method, const std::string& target, const std::string& body,
                  double timeout_s) {
  const auto deadline = Clock::now() + std::chrono::duration_cast<Clock::duration>(
                                           std::chrono::duration<double>(timeout_s));
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return {};
  const auto address = loopback(port);
  Reply reply;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1:" + std::to_string(port) +
                       "\r\nConnection: close\r\n";
    if (!body.empty()) text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer, head, answer;
    if (write_all(fd, text) && read_message(fd, buffer, head, answer, deadline)) {
      std::string version;
      std::istringstream(head) >> version >> reply.status;
      reply.body = answer;
    }
  }
  ::close(fd);
  return reply;
}

// A token bucket with bursts of `burst_s` seconds.
class Bucket {
 public:
  Bucket(double rate, double burst_s) : rate_(rate), size_(rate * burst_s), tokens_(size_), at_(now_s()) {}
  bool take(double tokens) {
    const double now = now_s();
    tokens_ = std::min(size_, tokens_ + rate_ * (now - at_));
    at_ = now;
    if (tokens_ < tokens) return false;
    tokens_ -= tokens;
    return true;
  }

 private:
  double rate_, size_, tokens_, at_;
};

inline std::string query_value(const std::string& target, const std::string& key) {
  auto at = target.find('?');
  while (at != std::string::npos) {
    const auto next = target.find('&', at + 1);
    const auto part = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
    if (part.rfind(key + "=", 0) == 0) return part.substr(key.size() + 1);
    at = next;
  }
  return {};
}

// Child processes, started with the run command of the deploy file. All end with this process.
class Processes {
 public:
  static std::vector<std::string> run_command() {
    std::ifstream file("deploy/service.toml");
    for (std::string line; std::getline(file, line);) {
      if (line.rfind("run", 0) != 0) continue;
      const auto first = line.find('"'), last = line.rfind('"');
      std::istringstream words(line.substr(first + 1, last - first - 1));
      std::vector<std::string> command;
      for (std::string word; words >> word;) command.push_back(word);
      return command;
    }
    throw std::runtime_error("no run command in deploy/service.toml");
  }
  static pid_t start(const std::string& settings, const std::string& log) {
    auto command = run_command();
    command.push_back(settings);
    std::vector<char*> argv;
    for (auto& word : command) argv.push_back(word.data());
    argv.push_back(nullptr);
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(1);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 2);
      ::dup2(fd, 1);
      ::execv(argv[0], argv.data());
      ::_exit(127);
    }
    std::scoped_lock lock(mutex());
    children().insert(pid);
    return pid;
  }
  static void kill(pid_t pid) {
    std::scoped_lock lock(mutex());
    if (!children().erase(pid)) return;
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  static bool ended(pid_t pid) {
    std::scoped_lock lock(mutex());
    if (!children().contains(pid)) return false;
    if (::waitpid(pid, nullptr, WNOHANG) != pid) return false;
    children().erase(pid);
    return true;
  }
  static void kill_all() {
    std::scoped_lock lock(mutex());
    for (const auto pid : children()) ::kill(pid, SIGKILL);
    for (const auto pid : children()) ::waitpid(pid, nullptr, 0);
    children().clear();
  }

 private:
  static std::set<pid_t>& children() {
    static std::set<pid_t> set;
    return set;
  }
  static std::mutex& mutex() {
    static std::mutex m;
    return m;
  }
};

// Settings and logs of the controllers. Removed at the end, unless KEEP_LOGS is set.
inline std::string temporary_folder() {
  static const std::string name = [] {
    std::string path = (std::filesystem::temp_directory_path() / "finchrun-review-XXXXXX").string();
    if (!::mkdtemp(path.data())) throw std::runtime_error("no temporary folder");
    return path;
  }();
  return name;
}

// Ends the program and all that it started. 0: the rule held, 1: broken, 2: the case could not run.
[[noreturn]] inline void finish(int status, const std::string& why) {
  record.line("RESULT " + std::to_string(status) + " " + why);
  std::cout << (status == 0 ? "held: " : status == 1 ? "BROKEN: " : "could not run: ") << why << std::endl;
  Processes::kill_all();
  std::error_code ignored;
  if (!std::getenv("KEEP_LOGS")) std::filesystem::remove_all(temporary_folder(), ignored);
  std::_Exit(status);
}

inline void limit_time(double seconds) {
  std::thread([seconds] {
    sleep_s(seconds);
    finish(2, "time limit");
  }).detach();
}

inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

}  // namespace review
