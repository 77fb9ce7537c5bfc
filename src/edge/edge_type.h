// Plain types of the one-way data path: packets of clients pass through a host; targets answer clients
// directly.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace agatepost::edge {

// Addresses and ports of a flow, taken from the client's packets; host byte order.
struct flow_key {
    std::uint32_t client_address = 0;
    std::uint32_t service_address = 0;
    std::uint16_t client_port = 0;
    std::uint16_t service_port = 0;

    friend auto operator==(const flow_key& a, const flow_key& b) -> bool {
        return a.client_address == b.client_address && a.service_address == b.service_address &&
               a.client_port == b.client_port && a.service_port == b.service_port;
    }
    template <typename H>
    friend auto AbslHashValue(H h, const flow_key& k) -> H {
        return H::combine(std::move(h), k.client_address, k.service_address, k.client_port, k.service_port);
    }
};

// The header fields of a client's packet that a host reads.
struct client_packet {
    flow_key flow;
    std::uint32_t sequence = 0;
    // Bytes of the target that the client has received; of a SYN, the number of retransmissions before it.
    std::uint32_t acknowledgement = 0;
    std::uint32_t carrier = 0;  // identifies the flow's target; 0 in a SYN
    std::uint16_t payload_bytes = 0;
    bool is_syn = false;
    bool is_ack = false;
    bool is_fin = false;
    bool is_rst = false;

    friend auto operator==(const client_packet& a, const client_packet& b) -> bool {
        return a.flow == b.flow && a.sequence == b.sequence && a.acknowledgement == b.acknowledgement &&
               a.carrier == b.carrier && a.payload_bytes == b.payload_bytes && a.is_syn == b.is_syn &&
               a.is_ack == b.is_ack && a.is_fin == b.is_fin && a.is_rst == b.is_rst;
    }
};

// Whether a target accepts new flows.
enum class target_state {
    ready,     // accepts new flows
    draining,  // completes its open flows, then leaves
};

// The registration of one instance of a target.
struct target_entry {
    std::string name;           // unique among registrations
    std::uint64_t tag = 0;      // identifies the instance; precedes each packet sent to the target
    std::uint32_t carrier = 0;  // identifies the target in packets of clients
    std::string service;
    std::string zone;
    std::uint32_t address = 0;  // host byte order
    std::uint16_t port = 0;
    std::uint32_t slots = 1;  // requests that it processes at a time
    target_state state = target_state::ready;
    std::int64_t cold_ms = 0;     // duration of the cold start from the registration on, with slower requests
    std::int64_t started_ms = 0;  // wall clock at its start; another value means a new instance

    friend auto operator==(const target_entry& a, const target_entry& b) -> bool {
        return a.name == b.name && a.tag == b.tag && a.carrier == b.carrier && a.service == b.service &&
               a.zone == b.zone && a.address == b.address && a.port == b.port && a.slots == b.slots &&
               a.state == b.state && a.cold_ms == b.cold_ms && a.started_ms == b.started_ms;
    }
};

// Whether the requests of a route may be repeated.
enum class request_kind {
    idempotent,      // may be repeated
    non_idempotent,  // must run at most once
    download,        // may be repeated; large responses
};

// A service that gets a share of a route's new flows.
struct route_backend {
    std::string service;
    std::uint32_t weight = 1;

    friend auto operator==(const route_backend& a, const route_backend& b) -> bool {
        return a.service == b.service && a.weight == b.weight;
    }
};

// Destinations and limits of new flows to one service address.
struct route_entry {
    std::uint32_t address = 0;  // host byte order
    std::uint16_t port = 0;
    std::vector<route_backend> backends;
    request_kind kind = request_kind::idempotent;
    std::int64_t timeout_ms = 0;
    std::int64_t target_latency_ms = 0;  // limit for a response in time; 0: none
    std::uint32_t priority = 0;          // 0 is highest

    friend auto operator==(const route_entry& a, const route_entry& b) -> bool {
        return a.address == b.address && a.port == b.port && a.backends == b.backends && a.kind == b.kind &&
               a.timeout_ms == b.timeout_ms && a.target_latency_ms == b.target_latency_ms &&
               a.priority == b.priority;
    }
};

// A service whose cold targets are limited.
struct service_entry {
    std::string name;
    double cold_per_s = 0;  // opening SYNs per second that a cold target can handle

    friend auto operator==(const service_entry& a, const service_entry& b) -> bool {
        return a.name == b.name && a.cold_per_s == b.cold_per_s;
    }
};

// The configuration written by operators.
struct route_table {
    std::int64_t version = 0;
    std::vector<route_entry> routes;
    std::vector<service_entry> services;  // those that limit their cold targets
    std::int64_t idle_timeout_ms = 0;     // an open flow without packets for this long may be dropped

    friend auto operator==(const route_table& a, const route_table& b) -> bool {
        return a.version == b.version && a.routes == b.routes && a.services == b.services &&
               a.idle_timeout_ms == b.idle_timeout_ms;
    }
};

// A request of operators that no new flows go to the targets of a zone, in force while its item exists.
struct zone_evacuation {
    std::string zone;

    friend auto operator==(const zone_evacuation& a, const zone_evacuation& b) -> bool {
        return a.zone == b.zone;
    }
};

// An item of the store, written or removed.
struct store_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool is_removed = false;

    friend auto operator==(const store_item& a, const store_item& b) -> bool {
        return a.key == b.key && a.value == b.value && a.revision == b.revision &&
               a.is_removed == b.is_removed;
    }
};

// A response of the store to a listing or a watch.
struct store_page {
    std::vector<store_item> items;
    std::uint64_t revision = 0;  // of the store at the time of the response
    bool has_more = false;       // the listing continues after the last key

    friend auto operator==(const store_page& a, const store_page& b) -> bool {
        return a.items == b.items && a.revision == b.revision && a.has_more == b.has_more;
    }
};

}  // namespace agatepost::edge
