// finchrun: a cluster scheduler. One process is one controller of a deployment.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "app/controller.hpp"
#include "http/client.hpp"

int main(int argc, char** argv) {
  using namespace finchrun;
  CLI::App cli{"finchrun: fair-share cluster scheduler"};
  std::string settings_path, properties_path;
  bool check_only = false;
  cli.add_option("--config", settings_path, "the platform's settings file (TOML)")->required();
  cli.add_option("--properties", properties_path, "the operators' settings file (Java-style properties)");
  cli.add_flag("--check", check_only, "check the settings and exit");
  cli.set_version_flag("--version", std::string("finchrun ") + FINCHRUN_VERSION);
  try {
    cli.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return cli.exit(e) == 0 ? 0 : 2;
  }
  config::Settings settings;
  config::Tuning tuning;
  try {
    settings = config::load_settings(settings_path);
    if (!properties_path.empty()) tuning = config::load_properties(properties_path);
  } catch (const config::SettingsError& e) {
    std::cerr << e.what() << '\n';
    return 2;
  }
  if (check_only) {
    std::cout << "settings are valid\n";
    return 0;
  }
  auto log = spdlog::stderr_logger_st("finchrun");
  log->set_pattern("%H:%M:%S.%e %L %v");
  spdlog::set_default_logger(log);
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(spdlog::level::from_str(level ? level : "info"));
  try {
    boost::asio::io_context io{1};
    http::TcpNetwork network(io.get_executor());
    std::vector<std::unique_ptr<peer::Link>> links;
    auto deadlines =
        std::make_shared<core::SocketDeadlines>(io.get_executor(), std::chrono::milliseconds(200));
    links.reserve(settings.members.size());
    for (const auto& member : settings.members)
      links.push_back(std::make_unique<peer::TcpLink>(deadlines, io.get_executor(), member.peer_endpoint));
    app::Controller controller(io, network, settings, tuning, std::random_device{}(), std::move(links));
    controller.listen();
    controller.start();
    spdlog::info("controller started label={} zone={} listen={}", settings.label, settings.zone,
                 settings.listen.text());
    io.run();
  } catch (const std::exception& e) {
    spdlog::critical("controller ended error=\"{}\"", e.what());
    return 3;
  }
  return 0;
}
