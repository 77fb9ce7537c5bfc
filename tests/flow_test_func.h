// Helpers of the flow tests: configurations, TCP packets and a zone of hosts in one process.
#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "config/snapshot_func.h"
#include "core/history_func.h"
#include "flow/hash_func.h"
#include "host/forward_func.h"
#include "net/packet_func.h"
#include "peer/host_view_func.h"

namespace agatepost {

inline auto at(const std::string& text) -> endpoint {
    return *parse_endpoint(text);
}

// Id of the TCP flow from client port 1000 + n to service `r`.
inline auto id_of_number(int n) -> flow_id {
    return id_of(flow_key{at("10.0.0.1:" + std::to_string(1000 + n)), at("10.9.0.1:80"), ip_protocol::tcp});
}

// A pool `p` in zone `z` with targets t1.. at 10.1.0.N, service 10.9.0.1:80 (profile `r`, requests), service
// 10.9.0.1:81 (profile `f`, feeds) and UDP service 10.9.0.1:53 (profile `f`).
struct test_pool {
    profile request;
    profile feed;
    profile low;  // requests of low priority, service 10.9.0.1:82
    std::vector<target> targets;
    std::uint64_t revision = 1;

    explicit test_pool(int total, std::uint32_t slots = 3) {
        request.name = "r";
        request.queue_percent = 0;
        feed.name = "f";
        low.name = "l";
        low.priority = 7;
        feed.kind = flow_kind::feed;
        for (auto i = 1; i <= total; ++i) {
            auto t = target{};
            t.name = "t" + std::to_string(i);
            t.pool = "p";
            t.index = static_cast<std::uint8_t>(i);
            t.address = at("10.1.0." + std::to_string(i) + ":0").address;
            t.zone = "z";
            t.slots = slots;
            targets.push_back(t);
        }
    }

    auto build() -> snapshot_ptr {
        auto config = configuration{revision++, {}};
        config.entries["profile/r"] = {1, request};
        config.entries["profile/f"] = {1, feed};
        config.entries["service/r"] = {1, service{"r", at("10.9.0.1:80"), ip_protocol::tcp, "p", 8080, "r"}};
        config.entries["service/f"] = {1, service{"f", at("10.9.0.1:81"), ip_protocol::tcp, "p", 8081, "f"}};
        config.entries["profile/l"] = {1, low};
        config.entries["service/l"] = {1, service{"l", at("10.9.0.1:82"), ip_protocol::tcp, "p", 8082, "l"}};
        config.entries["service/u"] = {1, service{"u", at("10.9.0.1:53"), ip_protocol::udp, "p", 5353, "f"}};
        for (const auto& t : targets) {
            config.entries["target/" + t.name] = {1, t};
        }
        return build_snapshot(config);
    }
};

// Options of make_tcp.
struct tcp_options {
    std::uint8_t flags = tcp_flag::ack;
    std::uint32_t sequence = 1000;
    std::uint32_t acknowledgment = 0;
    bool has_timestamp = true;
    std::uint32_t timestamp = 0x01020300;
    std::uint32_t echo = 0;
    std::size_t payload = 0;
};

// Returns the seed given by --seed, or a random one, and prints it. For random tests outside rapidcheck.
auto test_seed() -> unsigned;

// Builds an IPv4 TCP or UDP packet with valid checksums.
auto make_tcp(const endpoint& source, const endpoint& destination, const tcp_options& options)
    -> std::vector<std::uint8_t>;
auto make_udp(const endpoint& source, const endpoint& destination) -> std::vector<std::uint8_t>;

// Hosts that relay to each other synchronously. Packets to the fabric are collected.
class test_zone {
public:
    test_zone(int hosts, snapshot_ptr config);

    // Passes a packet from the fabric to a host and returns the packets sent to the fabric.
    auto deliver(std::size_t host, std::vector<std::uint8_t> packet)
        -> std::vector<std::vector<std::uint8_t>>;
    // Passes a packet with `sender` as its relaying host.
    auto deliver_relayed(std::size_t host, std::vector<std::uint8_t> packet, relay_reason reason,
                         const endpoint& sender) -> std::vector<std::vector<std::uint8_t>>;
    // Runs expiry and SYN retries of all choosers.
    auto expire() -> std::vector<std::vector<std::uint8_t>>;
    auto context(std::size_t host) -> forward_context;
    // Removes a host from the views of the others, or adds it.
    auto set_alive(std::size_t host, bool alive) -> void;
    auto chooser() -> std::size_t;
    auto owner(const flow_id& id) -> std::size_t;
    auto address(std::size_t host) -> endpoint;

    snapshot_ptr config;
    std::vector<std::unique_ptr<flow_state>> flows;
    std::vector<host_view> views;
    time_ms now{1000000};
    std::size_t longest_relay_path = 0;  // most relays of any one packet

private:
    auto dispatch(std::size_t host, const packet_sink& sink, std::size_t depth,
                  std::vector<std::vector<std::uint8_t>>& out) -> void;
    auto run(std::size_t host, std::vector<std::uint8_t> packet, relay_reason reason, const endpoint& sender,
             std::size_t depth, std::vector<std::vector<std::uint8_t>>& out) -> void;

    std::vector<bool> alive_;
    std::uint64_t version_ = 0;
};

// Repeats an action until the history of a kind has an entry with this value, since the rate limit of the
// history may omit entries after a test with many. Returns false after 5 s.
inline auto is_recorded(history_kind kind, const std::string& value, const std::function<void()>& act)
    -> bool {
    const auto limit = agatepost::now() + 5000;
    while (agatepost::now() < limit) {
        act();
        for (const auto& entry : recent_history(kind)) {
            for (const auto& field : entry.fields) {
                if (field.second == value) {
                    return true;
                }
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

inline auto headers_of(const std::vector<std::uint8_t>& packet) -> packet_headers {
    return *parse_packet(packet.data(), packet.size());
}

}  // namespace agatepost
