// The targets: they accept flows, run requests in slots, answer, push to feeds and report their load.
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

// What a target's load endpoint answers. Written by the event loop, read by the HTTP thread.
struct load_report {
    std::atomic<int> slots_busy{0};
    std::atomic<int> connections{0};
    std::atomic<bool> is_answering{true};
    std::atomic<int> false_slots_busy{-1};  // reported instead of the truth if not negative
};

// One flow at a target.
struct target_flow {
    tcp_connection tcp;
    frame_reader reader;
    std::uint16_t service = 0;
    std::uint64_t feed_id = 0;  // of the subscription; 0: not a feed yet
    bool is_waiting = false;    // counted in target_server::unfinished
    bool is_muted = false;      // the path lost its state: its packets vanish in both directions
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

// One target.
struct target_server {
    mix_target spec;
    std::uint16_t number = 0;
    bool is_dead = false;            // neither sends nor receives
    bool is_shedding = false;        // answers SYN with a reset
    bool is_ready = true;            // takes part in the measures of imbalance and avoidable wait
    std::int64_t slow_until_ms = 0;  // cold start: work takes slow_factor times as long
    double slow_factor = 4;
    int busy = 0;        // slots that work
    int unfinished = 0;  // request flows that were opened and have not been answered yet
    int feeds = 0;       // open feed flows
    std::deque<target_job> queue;
    absl::flat_hash_map<std::pair<endpoint, std::uint16_t>, std::unique_ptr<target_flow>> flows;
    std::shared_ptr<load_report> report = std::make_shared<load_report>();
};

// A new flow at a target, for the replay through a perfect choice.
struct flow_arrival {
    std::int64_t time_ms = 0;
    std::int64_t end_ms = -1;    // -1: still open
    std::int64_t queued_ms = 0;  // part of the time that was spent waiting for a slot
    std::size_t group = 0;       // pool and zone
    bool is_request = false;
    bool is_avoidable = false;  // found all slots busy while another target of the group had one free
};

class targets {
public:
    targets(world& shared, const std::vector<mix_target>& specs);

    // Takes a packet from the fabric whose destination is a target. Returns false if it is none.
    auto receive(const fabric_packet& packet) -> bool;

    // Sends one push to a random feed of a random target.
    auto push_to_random_feed() -> void;

    // Kills a target: it answers nothing any more, and its flows are the scenario's to lose.
    auto kill(target_server& one) -> void;
    // Starts a killed target again, empty and slow at first.
    auto start_cold(target_server& one, std::int64_t slow_ms) -> void;
    // Lets the open flows of a target go silent; new ones work.
    auto mute_open_flows(target_server& one) -> void;

    // Publishes what the load endpoints answer.
    auto publish_reports() -> void;

    // Returns pool and zone of a target as one number.
    auto group_of(const target_server& one) const -> std::size_t;
    // Pools in each zone; the mix's first pool of a zone is a group whose number is a multiple of this.
    auto pool_total() const -> std::size_t { return world_.workload.pools.size(); }

    std::vector<std::unique_ptr<target_server>> all;
    std::vector<flow_arrival> arrivals;
    std::function<std::string(const ip_address&)> zone_of_client;
    std::function<std::uint64_t(const endpoint&)> flow_of_client;  // number of the client's flow; 0: unknown

private:
    using flow_key_pair = std::pair<endpoint, std::uint16_t>;

    auto receive_tcp(target_server& one, const fabric_packet& packet) -> void;
    auto receive_udp(target_server& one, const fabric_packet& packet) -> void;
    auto open_flow(target_server& one, const fabric_packet& packet) -> void;
    auto note_arrival(target_server& one, bool is_request) -> std::size_t;
    auto after_call(target_server& one, const flow_key_pair& key, tcp_output& out) -> void;
    auto drop_flow(target_server& one, const flow_key_pair& key) -> void;
    auto finish_waiting(target_server& one, target_flow& flow) -> void;
    auto arm(target_server& one, const flow_key_pair& key, target_flow& flow) -> void;
    auto take_request(target_server& one, target_flow& flow, const frame_header& header, bool is_correct)
        -> void;
    auto enqueue(target_server& one, const target_job& job) -> void;
    auto start_next(target_server& one) -> void;
    auto complete(target_server& one, const target_job& job) -> void;
    auto send_frame(target_server& one, target_flow& flow, const frame_header& header) -> void;
    auto excuse_flows(const target_server& one) -> void;

    world& world_;
    absl::flat_hash_map<ip_address, target_server*> by_address_;
};

}  // namespace agatepost::rig
