// agatepost edge: runs a host on a platform whose targets answer clients directly.

#include <fstream>
#include <sstream>

#include "cmd/command_func.h"
#include "core/log_func.h"
#include "edge/edge_host_base.h"

namespace agatepost {

namespace {

auto platform_names() -> std::vector<std::string> {
    auto names = std::vector<std::string>{};
    for (const auto* platform : plugin_registry<edge::platform_plugin>::instance().all()) {
        names.emplace_back(platform->name);
    }
    return names;
}

const setting_choices_registration platform_choices("platform", platform_names);

auto read_file(const std::string& path) -> result<std::string> {
    auto file = std::ifstream(path);
    if (!file) {
        return make_error(error_kind::invalid_setting, "settings file '" + path + "' cannot be read",
                          "set --boot or AGATEPOST_BOOT to the file that the platform wrote");
    }
    auto text = std::ostringstream{};
    text << file.rdbuf();
    return text.str();
}

auto run_edge(const std::vector<std::string>& arguments) -> int {
    const auto options = read_settings(arguments);
    if (!options) {
        return report_failure(options.error());
    }
    const auto* platform = plugin_registry<edge::platform_plugin>::instance().find(options->text("platform"));
    const auto path = options->text("boot");
    const auto done = edge::run_edge_host(*platform, [&]() -> result<edge::edge_settings> {
        return read_file(path).and_then([&](const std::string& text) {
            return platform->read_settings(text).map([&](edge::edge_settings settings) {
                settings.is_zone_overflow_allowed = options->text("zone-overflow") == "auto";
                return settings;
            });
        });
    });
    if (!done) {
        write_log(log_event::host_start_failed, {{"error", to_text(done.error())}});
        return report_failure(done.error());
    }
    return exit_code::success;
}

constexpr command_plugin command = {"edge",
                                    "run a host on a platform whose targets answer clients directly",
                                    run_edge,
                                    "[--boot=FILE] [--zone-overflow=auto|off]",
                                    "agatepost edge --boot=/etc/agatepost/boot.conf",
                                    nullptr,
                                    "boot,platform,zone-overflow"};
const plugin_registration<command_plugin> registration(command);

}  // namespace

}  // namespace agatepost
