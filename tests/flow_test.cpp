#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>

#include "flow_test_func.h"
#include "net/byte_order_func.h"
#include "net/checksum_func.h"

namespace agatepost {

namespace {

auto finish_packet(std::vector<std::uint8_t>& packet, ip_protocol protocol, const endpoint& source,
                   const endpoint& destination, std::size_t checksum_at) -> void {
    packet[0] = 0x45;
    store_u16(&packet[2], static_cast<std::uint16_t>(packet.size()));
    packet[8] = 64;
    packet[9] = static_cast<std::uint8_t>(protocol);
    std::copy_n(source.address.bytes.begin(), 4, &packet[12]);
    std::copy_n(destination.address.bytes.begin(), 4, &packet[16]);
    store_u16(&packet[10], static_cast<std::uint16_t>(~checksum_fold(checksum_add(0, packet.data(), 20))));
    store_u16(&packet[20], source.port);
    store_u16(&packet[22], destination.port);
    auto sum = checksum_add(0, &packet[12], 8) + static_cast<std::uint64_t>(protocol) + packet.size() - 20;
    sum = checksum_add(sum, &packet[20], packet.size() - 20);
    store_u16(&packet[20 + checksum_at], static_cast<std::uint16_t>(~checksum_fold(sum)));
}

}  // namespace

auto make_tcp(const endpoint& source, const endpoint& destination, const tcp_options& options)
    -> std::vector<std::uint8_t> {
    const auto header = std::size_t{20} + (options.has_timestamp ? 12 : 0);
    auto packet = std::vector<std::uint8_t>(20 + header + options.payload);
    store_u32(&packet[24], options.sequence);
    store_u32(&packet[28], options.acknowledgment);
    packet[32] = static_cast<std::uint8_t>(header / 4 << 4U);
    packet[33] = options.flags;
    if (options.has_timestamp) {
        packet[40] = 1;
        packet[41] = 1;
        packet[42] = 8;
        packet[43] = 10;
        store_u32(&packet[44], options.timestamp);
        store_u32(&packet[48], options.echo);
    }
    finish_packet(packet, ip_protocol::tcp, source, destination, 16);
    return packet;
}

auto make_udp(const endpoint& source, const endpoint& destination) -> std::vector<std::uint8_t> {
    auto packet = std::vector<std::uint8_t>(32);
    store_u16(&packet[24], 12);
    finish_packet(packet, ip_protocol::udp, source, destination, 6);
    return packet;
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
    views.assign(alive_.size(), host_view{version_, {}, ""});
    for (auto i = std::size_t{0}; i < alive_.size(); ++i) {
        views[i].self = "h" + std::to_string(i);
        for (auto j = std::size_t{0}; j < alive_.size(); ++j) {
            if (alive_[j]) {
                const auto name = "h" + std::to_string(j);
                views[i].hosts.push_back({name, "z", address(j), address(j), 1, stable_hash(name)});
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
    longest_path = std::max(longest_path, depth);
    auto sink = packet_sink{};
    forward_packet(context(host), received_packet{packet.data(), packet.size(), reason, sender}, sink);
    settle(host, sink, depth, out);
}

auto test_zone::settle(std::size_t host, const packet_sink& sink, std::size_t depth,
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
                forward_retry(context(i), retry, sink);
            }
        }
        settle(i, sink, 0, out);
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
