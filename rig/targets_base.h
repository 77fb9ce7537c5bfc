// Simulated targets: accept flows, run requests in slots, send answers and pushes, and report load.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "frame_base.h"
#include "world_base.h"

namespace agatepost::rig {

// Content of a target's load endpoint. Written by the event loop, read by the HTTP thread.
struct load_report {
    std::atomic<int> slots_busy{0};
    std::atomic<int> connections{0};
    std::atomic<bool> is_answering{true};
    std::atomic<int> false_slots_busy{-1};  // reported in place of slots_busy if not negative
};

// A flow at a target.
struct target_flow {
    tcp_connection tcp;
    frame_reader reader;
    std::uint16_t service = 0;
    std::uint64_t feed_id = 0;  // of the subscription; 0: not subscribed
    bool is_waiting = false;    // counted in target_server::unfinished
    bool is_muted = false;      // packets are dropped in both directions, as if the path lost its state
    std::size_t arrival = 0;    // position in targets::arrivals
    std::int64_t timer_ms = no_deadline;
};

// A request in a target's queue.
struct target_job {
    endpoint client;
    std::uint16_t service = 0;
    frame_header request;
    std::int64_t queued_ms = 0;
};

// A simulated target.
struct target_server {
    mix_target spec;
    std::uint16_t number = 0;
    bool is_dead = false;            // neither sends nor receives
    bool is_shedding = false;        // answers each SYN with a reset
    bool is_ready = true;            // counted in imbalance and avoidable wait
    std::int64_t drained_ms = -1;    // when an operator began to drain it; -1: not draining
    std::int64_t slow_until_ms = 0;  // cold start: until then work takes slow_factor times as long
    double slow_factor = 4;
    int busy = 0;        // occupied slots
    int unfinished = 0;  // open request flows without a complete answer
    int feeds = 0;       // open feed flows
    std::deque<target_job> queue;
    absl::flat_hash_map<std::pair<endpoint, std::uint16_t>, std::unique_ptr<target_flow>> flows;
    std::shared_ptr<load_report> report = std::make_shared<load_report>();
};

// A new flow at a target, for the replay with an ideal choice of targets.
struct flow_arrival {
    std::int64_t time_ms = 0;
    std::int64_t end_ms = -1;    // -1: still open
    std::int64_t queued_ms = 0;  // time spent waiting for a slot
    std::uint16_t target = 0;
    std::size_t group = 0;  // pool and zone
    bool is_request = false;
    bool is_avoidable = false;  // found all slots busy while another target of the group had one free
};

class targets {
public:
    targets(world& shared, const std::vector<mix_target>& specs);

    // Processes a packet from the fabric. Returns false if its destination is not a target.
    auto receive(const fabric_packet& packet) -> bool;

    // Sends a push to a random feed of a random target.
    auto push_to_random_feed() -> void;

    // Kills a target: it stops answering, and the loss of its flows is not a fault.
    auto kill(target_server& server) -> void;
    // Restarts a killed target without flows; it works slowly for `slow_ms`.
    auto start_cold(target_server& server, std::int64_t slow_ms) -> void;
    // Drops all packets of a target's open flows; new flows work.
    auto mute_open_flows(target_server& server) -> void;

    // Updates the contents of the load endpoints.
    auto publish_reports() -> void;

    // Returns the number of flows opened at draining targets more than `limit_ms` after the drain began.
    auto late_to_draining(std::int64_t limit_ms) const -> std::uint64_t;

    // Returns the group number of a target, for its pool and zone.
    auto group_of(const target_server& server) const -> std::size_t;
    // Number of pools per zone. Group numbers of the mix's first pool are multiples of it.
    auto pool_count() const -> std::size_t { return world_.workload.pools.size(); }

    std::vector<std::unique_ptr<target_server>> all;
    std::vector<flow_arrival> arrivals;
    std::function<std::string(const ip_address&)> zone_of_client;
    std::function<std::uint64_t(const endpoint&)> flow_of_client;  // number of the client's flow; 0: unknown

private:
    using flow_key_pair = std::pair<endpoint, std::uint16_t>;

    auto receive_tcp(target_server& server, const fabric_packet& packet) -> void;
    auto receive_udp(target_server& server, const fabric_packet& packet) -> void;
    auto open_flow(target_server& server, const fabric_packet& packet) -> void;
    auto record_arrival(target_server& server, bool is_request) -> std::size_t;
    auto process_output(target_server& server, const flow_key_pair& key, tcp_output& out) -> void;
    auto drop_flow(target_server& server, const flow_key_pair& key) -> void;
    auto mark_request_finished(target_server& server, target_flow& flow) -> void;
    auto arm_timer(target_server& server, const flow_key_pair& key, target_flow& flow) -> void;
    auto process_request(target_server& server, target_flow& flow, const frame_header& header,
                         bool is_correct) -> void;
    auto enqueue(target_server& server, const target_job& job) -> void;
    auto start_next(target_server& server) -> void;
    auto complete(target_server& server, const target_job& job) -> void;
    auto send_frame(target_server& server, target_flow& flow, const frame_header& header) -> void;
    auto excuse_flows(const target_server& server) -> void;

    world& world_;
    absl::flat_hash_map<ip_address, target_server*> by_address_;
};

}  // namespace agatepost::rig
