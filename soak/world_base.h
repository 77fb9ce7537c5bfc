// Simulated clients, routers and targets that exchange the platform's packets over loopback addresses, and
// the checks of what they receive.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "edge/event_loop_base.h"
#include "edge/http_base.h"
#include "store_base.h"

namespace agatepost::soak {

constexpr std::uint16_t data_port = 8172;
constexpr std::uint16_t ready_port = 8167;
constexpr std::uint16_t target_port = 8000;
constexpr std::uint16_t feed_port = 443;     // feed route: idempotent, many requests per flow
constexpr std::uint16_t filing_port = 8080;  // filing route: not idempotent, one request per flow
constexpr std::uint16_t extra_port = 9000;   // route that configuration changes add and remove
constexpr std::uint32_t service_address = 0xc6120001;

// Time limits of the platform's rules.
constexpr std::int64_t recovery_limit_ms = 4000;
constexpr std::int64_t drain_limit_ms = 3000;
constexpr std::int64_t config_limit_ms = 3000;

// Returns whether a planned time has come, and clears it then.
inline auto take_due(time_ms& when, time_ms at) -> bool {
    const auto is_due = when != time_ms{} && at >= when;
    when = is_due ? time_ms{} : when;
    return is_due;
}

// A packet as a client or target writes it. The checksum covers everything except the carrier and so detects
// changes on the path.
struct wire_packet {
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::uint32_t src = 0;
    std::uint32_t dst = 0;
    std::uint16_t sport = 0;
    std::uint16_t dport = 0;
    std::uint8_t flags = 0;
    std::uint32_t echo = 0;
    std::string data;
};

// A simulated target process.
struct target {
    std::string id;
    std::uint64_t tag = 0;
    std::string service;
    std::string zone;
    std::uint32_t address = 0;
    file_descriptor socket;
    bool is_alive = true;
    bool is_draining = false;
    time_ms registered;  // last registration or renewal
    time_ms drained;
    time_ms changed;  // last start, end or drain; checks begin recovery_limit_ms later
    time_ms started;
    time_ms rewrite_at;  // next status report after the store came back from a copy
    struct connection {
        std::uint32_t client_end = 0;  // end of the client's data
        std::uint32_t sent = 0;        // bytes sent so far
        std::string last_response;
        bool is_open = false;
        bool has_ended = false;  // kept: a target answers later data of an ended flow with a reset
        bool is_working = false;
    };
    std::map<std::pair<std::uint32_t, std::uint32_t>, connection> connections;
};

// A request that a target is processing.
struct work_item {
    std::size_t target = 0;
    std::pair<std::uint32_t, std::uint32_t> connection;
    wire_packet request;
    time_ms due;
};

// A flow as its client sees it.
struct client_flow {
    std::size_t client = 0;
    std::uint16_t port = 0;
    std::uint16_t service_port = 0;
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::uint32_t echo = 0;
    std::uint32_t target_address = 0;  // of the target at which it opened
    bool is_open = false;
    std::string request;  // id of the request in progress, or empty
    int syn_retransmissions = 0;
    int tries = 1;
    time_ms started;
    time_ms next_send;  // of a retransmission
    std::int64_t retransmission_ms = 200;
    time_ms request_began;
    time_ms last_used;
};

// A host as the routers see it.
struct router_host {
    std::uint32_t address = 0;
    bool is_ready = false;
    int failed_checks = 0;
    time_ms next_check;
    time_ms disturbed;  // last fault on it
    std::unique_ptr<edge::http_client> readiness_client;
};

// Counts of requests, and the violations found.
struct run_results {
    std::uint64_t asked = 0;
    std::uint64_t served = 0;
    std::uint64_t asked_calm = 0;  // calm: no disturbance for recovery_limit_ms
    std::uint64_t served_calm = 0;
    std::vector<std::string> violations;
};

// All simulated clients, routers and targets, driven by one event loop.
class world {
public:
    world(edge::event_loop& loop, platform_store& store, std::uint8_t net, std::uint64_t seed);

    auto open() -> result<void>;
    auto add_host(std::uint32_t address) -> void;
    auto record_disturbance(std::uint32_t host_address) -> void;  // 0: all hosts, for faults of the store too

    // `similar_to`: the tag of a target whose id ends in the same eight digits; 0: none.
    auto add_target(const std::string& service, std::uint64_t similar_to = 0) -> void;
    auto crash_target() -> void;
    auto restart_target() -> void;  // keeps its id
    auto add_target_with_similar_id() -> void;
    // Another writer registers a copy of a target under a key of its own, or removes its copies.
    auto copy_registration() -> void;
    auto remove_copies() -> void;
    // Another writer overwrites the registration of a target, until its next report.
    auto overwrite_registration() -> void;
    auto drain_target() -> void;
    auto change_routes(bool with_extra) -> void;

    // The store came back from a copy: targets and operators write again what is not in it, within a
    // heartbeat.
    auto rewrite_lost_items() -> void;

    auto on_timer(time_ms at) -> void;
    auto results() -> run_results& { return results_; }
    auto disturbed() const -> time_ms { return disturbed_; }

private:
    auto select_host(const client_flow& flow) -> router_host*;
    auto check_hosts(time_ms at) -> void;
    auto start_flow(std::size_t client, std::uint16_t service_port, const std::string& request)
        -> client_flow&;
    auto retry_request(client_flow ended) -> void;
    auto send_from_client(client_flow& flow, std::uint8_t flags, const std::string& data, std::uint32_t seq)
        -> void;
    auto update_flow(client_flow& flow, time_ms at) -> bool;
    auto read_client(std::size_t client) -> void;
    auto on_client_packet(std::size_t client, const wire_packet& packet, bool is_checksum_valid,
                          std::uint32_t sender) -> void;  // sender: a target, or the host of a reset
    auto read_target(std::size_t index) -> void;
    auto on_target_packet(std::size_t index, const wire_packet& packet, std::uint32_t host) -> void;
    auto process_request(std::size_t index, const wire_packet& packet) -> void;
    auto reply(const target& from, const wire_packet& to, std::uint8_t flags, const std::string& data,
               std::uint32_t seq) -> void;
    auto register_target(target& one) -> void;
    auto write_routes() -> void;
    auto write_due_items(time_ms at) -> void;
    auto pick_target() -> std::size_t;
    auto check_reset(const client_flow& flow, std::uint32_t host, time_ms at) -> void;
    auto check_reset_of_other_target(const client_flow& flow, time_ms at) -> void;
    auto check_syn(const target& at_target, const wire_packet& packet, std::uint32_t host, time_ms at)
        -> void;
    auto is_calm(time_ms at, std::uint32_t host_address) const -> bool;
    auto add_violation(const std::string& what) -> void;
    auto finish_request(client_flow& flow, bool is_served) -> void;

    edge::event_loop& loop_;
    platform_store& store_;
    std::uint8_t net_;
    std::mt19937_64 random_;
    std::vector<std::string> copies_;  // keys of another writer
    std::vector<router_host> hosts_;
    std::vector<std::unique_ptr<target>> targets_;
    std::vector<file_descriptor> clients_;
    std::map<std::pair<std::size_t, std::uint16_t>, client_flow> flows_;
    std::vector<work_item> pending_work_;
    std::set<std::string> processed_filings_;
    std::set<std::string> sent_requests_;
    run_results results_;
    time_ms disturbed_;
    time_ms routes_changed_;
    time_ms rewrite_routes_at_;
    bool has_extra_ = false;
    int version_ = 0;
    std::uint16_t next_port_ = 1024;
    std::uint64_t next_request_ = 0;
    time_ms next_arrival_;
};

}  // namespace agatepost::soak
