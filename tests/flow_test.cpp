#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>

#include "core/counter_func.h"
#include "flow_test_func.h"
#include "packet_builder.h"

namespace agatepost {

auto make_tcp(const endpoint& source, const endpoint& destination, const tcp_options& options)
    -> std::vector<std::uint8_t> {
    auto spec = test::packet_spec{};
    spec.source = source;
    spec.destination = destination;
    spec.tcp_flags = options.flags;
    spec.has_timestamp = options.has_timestamp;
    spec.timestamp_value = options.timestamp;
    spec.timestamp_echo = options.echo;
    spec.payload.resize(options.payload);
    spec.sequence = options.sequence;
    spec.acknowledgment = options.acknowledgment;
    return test::build_packet(spec);
}

auto make_udp(const endpoint& source, const endpoint& destination) -> std::vector<std::uint8_t> {
    auto spec = test::packet_spec{};
    spec.source = source;
    spec.destination = destination;
    spec.protocol = ip_protocol::udp;
    spec.payload.resize(4);
    return test::build_packet(spec);
}

auto test_seed() -> unsigned {
    // main.cpp passes --seed=N on in this variable.
    const auto* given = std::getenv("RC_PARAMS");
    const auto text = std::string(given == nullptr ? "" : given);
    const auto at_value = text.find("seed=");
    const auto seed = at_value == std::string::npos
                          ? std::random_device{}()
                          : static_cast<unsigned>(std::stoull(text.substr(at_value + 5)));
    std::cout << " seed=" << seed;
    return seed;
}

namespace {

// The number of services with counters is limited for the process, and a metrics test uses it up. Counting
// zero before main reserves counters for the service of the flow tests, whatever the order of the tests.
[[maybe_unused]] const bool is_service_counted = [] {
    count(counter::refuse_no_target, "r", 0);
    return true;
}();

}  // namespace

test_zone::test_zone(int hosts, snapshot_ptr initial) : config(std::move(initial)), alive_(hosts, true) {
    for (auto i = 0; i < hosts; ++i) {
        flows.push_back(std::make_unique<flow_state>("z"));
    }
    set_alive(0, true);
}

auto test_zone::address(std::size_t host) -> endpoint {
    return at("127.0.0." + std::to_string(host + 1) + ":6081");
}

auto test_zone::set_alive(std::size_t host, bool alive) -> void {
    alive_[host] = alive;
    ++version_;
    views.assign(alive_.size(), host_view{version_, {}, {}, ""});
    for (auto i = std::size_t{0}; i < alive_.size(); ++i) {
        views[i].self = "h" + std::to_string(i);
        for (auto j = std::size_t{0}; j < alive_.size(); ++j) {
            if (alive_[j]) {
                const auto name = "h" + std::to_string(j);
                views[i].hosts.push_back({name, "z", address(j), address(j), {}, 1, stable_hash(name)});
            }
        }
    }
}

auto test_zone::context(std::size_t host) -> forward_context {
    const auto* placement = plugin_registry<placement_plugin>::instance().find("carried");
    return {config.get(), &views[host], placement, "z", flows[host].get(), now};
}

auto test_zone::run(std::size_t host, std::vector<std::uint8_t> packet, relay_reason reason,
                    const endpoint& sender, std::size_t depth, std::vector<std::vector<std::uint8_t>>& out)
    -> void {
    longest_relay_path = std::max(longest_relay_path, depth);
    auto sink = packet_sink{};
    forward_packet(context(host), received_packet{packet.data(), packet.size(), reason, sender}, sink);
    dispatch(host, sink, depth, out);
}

auto test_zone::dispatch(std::size_t host, const packet_sink& sink, std::size_t depth,
                         std::vector<std::vector<std::uint8_t>>& out) -> void {
    for (const auto& sent : sink.packets()) {
        auto copy = std::vector<std::uint8_t>(sent.inner, sent.inner + sent.size);
        if (sent.relay == relay_reason::none) {
            out.push_back(std::move(copy));
            continue;
        }
        for (auto i = std::size_t{0}; i < alive_.size(); ++i) {
            if (alive_[i] && address(i) == sent.host) {
                run(i, copy, sent.relay, address(host), depth + 1, out);
            }
        }
    }
}

auto test_zone::deliver(std::size_t host, std::vector<std::uint8_t> packet)
    -> std::vector<std::vector<std::uint8_t>> {
    auto out = std::vector<std::vector<std::uint8_t>>{};
    run(host, std::move(packet), relay_reason::none, {}, 0, out);
    return out;
}

auto test_zone::deliver_relayed(std::size_t host, std::vector<std::uint8_t> packet, relay_reason reason,
                                const endpoint& sender) -> std::vector<std::vector<std::uint8_t>> {
    auto out = std::vector<std::vector<std::uint8_t>>{};
    run(host, std::move(packet), reason, sender, 1, out);
    return out;
}

auto test_zone::expire() -> std::vector<std::vector<std::uint8_t>> {
    auto out = std::vector<std::vector<std::uint8_t>>{};
    for (auto i = std::size_t{0}; i < flows.size(); ++i) {
        auto sink = packet_sink{};
        for (const auto& [pool, chooser] : flows[i]->choosers.all()) {
            for (const auto& retry : chooser->expire(now)) {
                forward_syn_retry(context(i), retry, sink);
            }
        }
        dispatch(i, sink, 0, out);
    }
    return out;
}

auto test_zone::chooser() -> std::size_t {
    const auto* host = host_of_rank(views[0], stable_hash("p"), 0);
    return static_cast<std::size_t>(host->name[1] - '0');
}

auto test_zone::owner(const flow_id& id) -> std::size_t {
    return static_cast<std::size_t>(build_buckets(views[0])->owner(id)->name[1] - '0');
}

}  // namespace agatepost
