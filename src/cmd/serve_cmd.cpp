// agatepost serve: runs a host until SIGTERM or SIGINT.

#include <algorithm>
#include <chrono>
#include <csignal>
#include <iostream>
#include <thread>

#include "cmd/command_base.h"
#include "core/clock_type.h"
#include "core/history_func.h"
#include "core/log_func.h"
#include "host/admin_pages_func.h"
#include "host/config_feed_func.h"
#include "host/host_base.h"
#include "host/worker_func.h"

namespace agatepost {

namespace {

constexpr std::int64_t quiet_ms = 1000;  // a stopping host without packets for this long is no longer used
constexpr auto step = std::chrono::milliseconds(20);

// Blocks the stop signals in this and all later threads; wait_for_stop takes them.
auto block_stop_signals() -> sigset_t {
    auto signals = sigset_t{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

// Finds a plug-in by the value of a setting.
template <typename Plugin>
auto pick_plugin(const settings& options, std::string_view setting) -> result<const Plugin*> {
    const auto* found = plugin_registry<Plugin>::instance().find(options.text(setting));
    if (found != nullptr) {
        return found;
    }
    auto names = std::string();
    for (const auto* plugin : plugin_registry<Plugin>::instance().all()) {
        names += (names.empty() ? "" : ", ") + std::string(plugin->name);
    }
    return make_error(error_kind::invalid_setting,
                      "--" + std::string(setting) + ": '" + options.text(setting) + "' does not exist",
                      "use one of: " + names);
}

// Goes on forwarding until the fabric sends nothing more, or the limit has passed.
auto wait_until_quiet(host_state& host) -> void {
    const auto limit = now() + host.options.number("stop-limit");
    host.last_packet_ms = std::max(host.last_packet_ms.load(), now().value);
    while (now() < limit && now().value - host.last_packet_ms < quiet_ms) {
        std::this_thread::sleep_for(step);
    }
}

auto serve(const std::vector<std::string>& arguments) -> result<void> {
    auto options = read_settings(arguments);
    if (!options) {
        return tl::unexpected<error>(options.error());
    }
    configure_log(log_identity_of(*options));
    auto host = host_state(std::move(*options));
    const auto link = pick_plugin<link_plugin>(host.options, "link");
    const auto placement = pick_plugin<placement_plugin>(host.options, "placement");
    const auto store = pick_plugin<store_plugin>(host.options, "store");
    if (!link || !placement || !store) {
        return tl::unexpected<error>(!link ? link.error() : !placement ? placement.error() : store.error());
    }
    host.link = *link;
    host.placement = *placement;
    auto client = (*store)->open(host.options);
    if (!client) {
        return tl::unexpected<error>(client.error());
    }
    auto admin = make_admin_server(host);
    if (!admin) {
        return tl::unexpected<error>(admin.error());
    }
    const auto signals = block_stop_signals();
    auto listening = (*admin)->start();
    if (!listening) {
        return listening;
    }
    auto feed = start_config_feed(host, std::move(*client));
    auto workers = start_workers(host);
    if (workers) {
        write_log(log_event::host_started, {{"data", host.options.text("data-address")}});
        record_history(history_kind::host, {{"event", "started"}});
        auto received = 0;
        sigwait(&signals, &received);
        host.is_stopping = true;
        write_log(log_event::host_stopping);
        record_history(history_kind::host, {{"event", "stopping"}});
        wait_until_quiet(host);
    }
    host.is_done = true;
    feed.join();
    if (!workers) {
        return tl::unexpected<error>(workers.error());
    }
    for (auto& worker : *workers) {
        worker.join();
    }
    (*admin)->stop();
    write_log(log_event::host_stopped);
    flush_log();
    return {};
}

auto run_serve(const std::vector<std::string>& arguments) -> int {
    const auto served = serve(arguments);
    if (served) {
        return exit_code::success;
    }
    write_log(log_event::host_start_failed, {{"error", to_text(served.error())}});
    return served.error().kind == error_kind::invalid_setting ? exit_code::usage : exit_code::failure;
}

constexpr command_plugin command = {"serve", "run a host until SIGTERM", run_serve};
const plugin_registration<command_plugin> registration(command);

}  // namespace

}  // namespace agatepost
