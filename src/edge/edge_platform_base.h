// Plug-in interface that translates between a platform's formats and the types of the one-way data path.
// Plug-ins open no sockets and make no decisions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/error_type.h"
#include "core/plugin_base.h"
#include "edge/cold_start_type.h"
#include "edge/edge_type.h"
#include "net/address_type.h"

namespace agatepost::edge {

// Bound for changes if the settings have none.
constexpr std::int64_t default_change_bound_ms = 3000;

// Settings that the platform gives a host at its start.
struct edge_settings {
    std::string host;
    std::string zone;
    endpoint data_address;           // UDP, packets of clients
    endpoint ready_address;          // TCP, readiness checks of the routers
    endpoint store_address;          // TCP
    endpoint peer_address;           // UDP, heartbeats of other hosts
    endpoint sync_address;           // TCP, other hosts read store changes from this one
    endpoint metrics_address;        // TCP, counters for monitoring
    std::vector<endpoint> seeds;     // peer addresses of some hosts; may be out of date
    std::int64_t max_flow_ms = 0;    // maximum duration of a flow; state of older ones may be deleted
    std::int64_t stop_limit_ms = 0;  // time from the stop signal until the platform kills the process
    // A change must be in use this long after the store acknowledged it.
    std::int64_t change_bound_ms = default_change_bound_ms;
    // Interval of the targets' registrations, which lapse after several without one; 0: unknown.
    std::int64_t registration_interval_ms = 0;
    // Bounds for cold targets; nothing: they are not limited.
    std::optional<cold_bounds> cold;

    std::vector<std::string> zones;        // all availability zones
    bool is_zone_overflow_allowed = true;  // by the operators

    friend auto operator==(const edge_settings& a, const edge_settings& b) -> bool {
        return a.host == b.host && a.zone == b.zone && a.data_address == b.data_address &&
               a.ready_address == b.ready_address && a.store_address == b.store_address &&
               a.peer_address == b.peer_address && a.sync_address == b.sync_address &&
               a.metrics_address == b.metrics_address && a.seeds == b.seeds &&
               a.max_flow_ms == b.max_flow_ms && a.stop_limit_ms == b.stop_limit_ms &&
               a.change_bound_ms == b.change_bound_ms &&
               a.registration_interval_ms == b.registration_interval_ms && a.cold == b.cold &&
               a.zones == b.zones && a.is_zone_overflow_allowed == b.is_zone_overflow_allowed;
    }
};

// Size of the prefix before a client's packet on the way to a target.
constexpr std::size_t forward_prefix_bytes = 8;

// Size of a packet without payload, such as a SYN or a reset.
constexpr std::size_t bare_packet_bytes = 34;

// Decoded item of the store; monostate: an item that hosts do not use.
using item_meaning = std::variant<std::monostate, target_entry, route_table, zone_evacuation>;

// Functions for a platform's formats.
struct platform_plugin {
    std::string_view name;
    // Reads the settings file. The error names the line or field.
    auto(*read_settings)(std::string_view text) -> result<edge_settings>;
    // Decodes a client's packet; empty if the bytes are not one.
    auto(*read_packet)(const std::uint8_t* bytes, std::size_t size) -> std::optional<client_packet>;
    // Writes the prefix for a target into the forward_prefix_bytes before `packet`.
    auto(*write_prefix)(std::uint8_t* prefix, std::uint64_t target_tag) -> void;
    // Writes the carrier into a packet.
    auto(*write_carrier)(std::uint8_t* packet, std::uint32_t carrier) -> void;
    // Writes the reset of bare_packet_bytes that answers a client's packet. `is_open`: the flow may be open.
    auto(*write_reset)(std::uint8_t* out, const client_packet& packet, bool is_open) -> void;
    // Returns path and query of a listing of all items after a key (empty: from the first).
    auto(*list_request)(std::string_view after_key) -> std::string;
    // Returns path and query of a watch of all items after a revision.
    auto(*watch_request)(std::uint64_t after_revision, std::int64_t wait_ms) -> std::string;
    // Name of the header of the store's answers that tells its era.
    std::string_view era_header;
    // Reads the era from the values of all these headers of an answer; empty if there are none. The error
    // says what is invalid.
    auto(*read_era)(const std::vector<std::string>& values) -> result<std::optional<std::uint64_t>>;
    // Reads the answer to a listing or a watch.
    auto(*read_page)(std::string_view body) -> result<store_page>;
    // Decodes an item. The error names the field.
    auto(*read_item)(std::string_view key, std::string_view value) -> result<item_meaning>;
    // Returns name, tag and carrier of the target that a key registers, whatever its value; empty if the key
    // is none of a registration.
    auto(*read_target_key)(std::string_view key) -> std::optional<target_entry>;
    // Returns whether an HTTP request target is the routers' readiness check.
    auto(*is_ready_check)(std::string_view target) -> bool;
};

}  // namespace agatepost::edge
