// agatepost serve: runs a host until SIGTERM or SIGINT.

#include <algorithm>
#include <chrono>
#include <csignal>
#include <iostream>
#include <thread>

#include "cmd/command_base.h"
#include "core/clock_type.h"
#include "core/counter_func.h"
#include "core/history_func.h"
#include "core/log_func.h"
#include "host/admin_pages_func.h"
#include "host/config_feed_func.h"
#include "host/flow_pages_func.h"
#include "host/forward_messages_func.h"
#include "host/host_base.h"
#include "host/worker_func.h"

namespace agatepost {

namespace {

constexpr std::int64_t idle_ms = 1000;  // a stopping host without packets for this long is no longer used
constexpr auto poll_interval = std::chrono::milliseconds(20);

// Blocks the stop signals in this and all later threads; serve() receives them.
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

// Waits, while still forwarding, until no packets arrive or stop-limit has passed.
auto wait_until_idle(host_state& host) -> void {
    const auto limit = now() + host.options.number("stop-limit");
    host.last_packet_ms = std::max(host.last_packet_ms.load(), now().value);
    while (now() < limit && now().value - host.last_packet_ms < idle_ms) {
        std::this_thread::sleep_for(poll_interval);
    }
}

// Logs the control traffic exchanged with other hosts. Capacity planning and tests read this event.
auto log_control_traffic(time_ms start) -> void {
    write_log(log_event::control_traffic,
              {{"sent", std::to_string(counter_value(counter::control_bytes_sent))},
               {"received", std::to_string(counter_value(counter::control_bytes_received))},
               {"ms", std::to_string(now() - start)}});
}

// The parts of a host, in the order in which they are opened. No thread runs before start_parts.
struct host_parts {
    std::unique_ptr<admin_server> admin;
    std::unique_ptr<peer_node> node;
    std::unique_ptr<prober> health;
    std::unique_ptr<config_feed> feed;
    std::thread flow_timers;
    std::vector<std::thread> workers;
};

// Connects the flow module to messages, load reports and the admin port.
auto connect_flows(host_state& host, host_parts& parts) -> void {
    register_flow_messages(host, parts.node->channel());
    host.apply_load_report = [&host](const std::string& pool, const std::string& target_name,
                                     std::uint32_t slots_busy, std::uint32_t connections, bool is_reachable) {
        apply_load_report(host.flows, *host.config.load(), pool, target_name, slots_busy, connections,
                          is_reachable, now());
    };
    host.hand_over = [&host, channel = host.channel] { hand_over_flows(host, *channel); };
    add_flow_pages(*parts.admin, host);
    parts.admin->add_section("/status", "hosts", [&node = *parts.node](const admin_query&) {
        return hosts_section(node.members().records());
    });
}

// Opens the store, the admin port and the peer address, and connects the modules to each other.
auto open_parts(host_state& host, host_parts& parts) -> result<void> {
    const auto store = pick_plugin<store_plugin>(host.options, "store");
    if (!store) {
        return tl::unexpected<error>(store.error());
    }
    auto client = (*store)->open(host.options);
    if (!client) {
        return tl::unexpected<error>(client.error());
    }
    auto admin = make_admin_server(host);
    if (!admin) {
        return tl::unexpected<error>(admin.error());
    }
    parts.admin = std::move(*admin);
    auto node_options = read_peer_node_options(host.options);
    if (!node_options) {
        return tl::unexpected<error>(node_options.error());
    }
    auto node = peer_node::open(std::move(*node_options), host.view);
    if (!node) {
        return tl::unexpected<error>(node.error());
    }
    parts.node = std::move(*node);
    host.channel = &parts.node->channel();
    connect_flows(host, parts);
    parts.health = std::make_unique<prober>(prober_options{
        &host.config, &host.view, host.channel, host.options.text("zone"), host.apply_load_report});
    parts.feed = std::make_unique<config_feed>(host, std::move(*client), *parts.node);
    return {};
}

auto start_parts(host_state& host, host_parts& parts) -> result<void> {
    auto started = parts.admin->start();
    if (started) {
        started = parts.node->start();
    }
    if (!started) {
        return started;
    }
    parts.feed->start();
    parts.health->start();
    auto workers = start_workers(host);
    if (!workers) {
        return tl::unexpected<error>(workers.error());
    }
    parts.workers = std::move(*workers);
    parts.flow_timers = start_flow_timers(host, *host.channel);
    return {};
}

// Announces the departure to other hosts, hands over the flows and waits until no more packets arrive.
auto stop_gracefully(host_state& host, host_parts& parts) -> void {
    host.is_stopping = true;
    write_log(log_event::host_stopping);
    record_history(history_kind::host, {{"event", "stopping"}});
    parts.node->members().announce_leaving();
    host.hand_over();
    wait_until_idle(host);
}

// Stops all threads. Also valid if some parts were not started.
auto stop_parts(host_state& host, host_parts& parts) -> void {
    host.is_done = true;
    parts.health->stop();
    parts.feed->stop();
    // The flow timers send through the node, so they are joined before it stops.
    if (parts.flow_timers.joinable()) {
        parts.flow_timers.join();
    }
    parts.node->stop();
    for (auto& worker : parts.workers) {
        worker.join();
    }
    parts.admin->stop();
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
    if (!link || !placement) {
        return tl::unexpected<error>(!link ? link.error() : placement.error());
    }
    host.link = *link;
    host.placement = *placement;
    const auto start = now();
    const auto signals = block_stop_signals();
    auto parts = host_parts{};
    auto opened = open_parts(host, parts);
    if (!opened) {
        return opened;
    }
    auto started = start_parts(host, parts);
    if (started) {
        write_log(log_event::host_started, {{"data", host.options.text("data-address")}});
        record_history(history_kind::host, {{"event", "started"}});
        auto received = 0;
        sigwait(&signals, &received);
        stop_gracefully(host, parts);
    }
    stop_parts(host, parts);
    if (!started) {
        return started;
    }
    log_control_traffic(start);
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
