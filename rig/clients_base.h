// Simulated clients: open flows to services, send each request once, check answers and record events.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <vector>

#include "frame_base.h"
#include "world_base.h"

namespace agatepost::rig {

// A request whose answer is incomplete.
struct pending_request {
    std::uint64_t id = 0;
    bool is_complete = false;
};

// A client's flow.
struct client_flow {
    std::uint64_t number = 0;
    std::uint16_t service = 0;
    std::string zone;
    endpoint local;
    tcp_connection tcp;  // unused for UDP
    frame_reader reader;
    frame_header first;  // sent when the flow is established
    std::vector<pending_request> pending;
    bool is_feed = false;
    bool is_closing = false;  // closed by the client; its end is recorded
    bool is_ended = false;    // kept for a while to acknowledge retransmitted FINs
    std::int64_t opened_ms = 0;
    std::int64_t timer_ms = no_deadline;
    int datagrams_left = 0;  // UDP: requests still to send in sequence
};

// Parameters of a new flow.
struct flow_request {
    std::uint16_t service = 0;
    std::string zone;
    bool timestamps = true;
    std::uint32_t work_ms = 0;
    std::uint32_t answer_size = 0;
    int datagrams = 1;  // UDP only
};

// Running counts of the clients.
struct client_counts {
    std::uint64_t open_requests = 0;  // flows of request services that have not ended
    std::uint64_t open_feeds = 0;     // subscribed feeds
    std::uint64_t opening_feeds = 0;  // SYN sent, not subscribed yet
    std::uint64_t completed = 0;      // complete answers
    std::uint64_t syn_retransmits = 0;
};

class clients {
public:
    explicit clients(world& shared) : world_(shared) {}

    // Opens a flow that sends one request, or subscribes to a feed.
    auto open(const flow_request& wanted) -> void;

    // Processes a packet from the fabric. Returns false if its destination is not a client.
    auto receive(const fabric_packet& packet) -> bool;

    // Sends a keepalive on a random feed.
    auto keepalive_random_feed() -> void;

    // Sends a final request on each open feed, at most `limit` per call, to check that it still reaches its
    // target. Returns whether feeds remain.
    auto verify_feeds(std::size_t limit) -> bool;
    // Returns whether final requests on feeds are still unanswered.
    auto is_verifying() const -> bool { return unverified_ > 0; }

    // Returns the number of the flow at this address, or 0 if no client uses it.
    auto flow_number(const endpoint& local) const -> std::uint64_t;

    // Returns the zone of a client's address.
    auto zone_of(const ip_address& address) const -> std::string;

    auto counts() const -> const client_counts& { return counts_; }

    std::int64_t time_limit_ms = 10000;
    // Called with a flow that was refused or timed out; a scenario may retry with a new request.
    std::function<void(const client_flow&)> on_failed_open;

private:
    auto next_endpoint(const std::string& zone) -> endpoint;
    auto receive_tcp(client_flow& flow, const fabric_packet& packet) -> void;
    auto receive_udp(client_flow& flow, const fabric_packet& packet) -> void;
    auto receive_icmp(const fabric_packet& packet) -> void;
    auto process_output(client_flow& flow, tcp_output& out) -> void;
    auto process_answer(client_flow& flow, const frame_header& header, tcp_output& out) -> void;
    auto process_answer_body(client_flow& flow, const frame_header& header, std::size_t bytes,
                             bool is_correct) -> void;
    auto send_frame(client_flow& flow, const frame_header& header, tcp_output& out) -> void;
    auto send_datagram(client_flow& flow) -> void;
    auto close(client_flow& flow, tcp_output& out) -> void;
    auto end(client_flow& flow, event_kind kind) -> void;
    auto abandon_flow(client_flow& flow) -> void;
    auto arm_timer(client_flow& flow) -> void;
    auto set_time_limit(const client_flow& flow) -> void;
    auto record_event(const client_flow& flow, event_kind kind, std::uint64_t request = 0,
                      std::uint32_t bytes = 0, bool is_correct = true) -> void;
    auto is_datagram(const client_flow& flow) const -> bool;
    auto find(const endpoint& local) -> client_flow*;

    world& world_;
    absl::flat_hash_map<endpoint, std::unique_ptr<client_flow>> flows_;
    std::vector<endpoint> feeds_;  // subscribed feeds; ended ones are removed lazily
    std::uint64_t next_flow_ = 1;
    std::uint64_t next_request_ = 1;
    std::size_t next_verified_ = 0;
    std::size_t unverified_ = 0;
    client_counts counts_;
};

}  // namespace agatepost::rig
