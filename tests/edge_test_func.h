// Directories and packets for tests of the one-way data path.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <string>

#include "edge/forwarding_base.h"
#include "edge/liveness_query_func.h"

namespace agatepost::edge {

// Returns the platform plugin that reads the items of all tests.
inline auto test_platform() -> const platform_plugin& {
    const auto* found = plugin_registry<platform_plugin>::instance().find("fleet");
    CPPUNIT_ASSERT(found != nullptr);
    return *found;
}

// Fields of a registration that a target writes.
struct test_target {
    std::string id;
    std::string service = "desk";
    std::string zone = "a";
    std::string address = "10.1.64.1:8000";
    std::string state = "ready";
    int slots = 2;
    int cold_ms = 0;
    std::int64_t born = 1;
};

inline auto target_item(const test_target& target, std::uint64_t revision) -> store_item {
    const auto value = nlohmann::json{{"service", target.service},
                                      {"address", target.address},
                                      {"zone", target.zone},
                                      {"version", "v1"},
                                      {"slots", target.slots},
                                      {"state", target.state},
                                      {"cold-remaining-ms", target.cold_ms},
                                      {"call-seq", 1},
                                      {"born", target.born}};
    return {"servers/" + target.id, value.dump(), revision, false};
}

inline auto removal_item(const std::string& id, std::uint64_t revision) -> store_item {
    return {"servers/" + id, "", revision, true};
}

// A route of 198.18.0.1 and this port.
struct test_route {
    int port = 443;
    std::string service = "desk";
    std::string kind = "idempotent";
    int target_latency_ms = 0;
    int priority = 1;
};

inline auto routes_item(const std::vector<test_route>& routes, int version, std::uint64_t revision)
    -> store_item {
    auto list = nlohmann::json::array();
    for (const auto& route : routes) {
        list.push_back({{"name", "r-" + std::to_string(route.port)},
                        {"hostname", "198.18.0.1"},
                        {"prefix", "/" + std::to_string(route.port) + "/"},
                        {"route-type", route.kind},
                        {"timeout-ms", 1500},
                        {"target-latency-ms", route.target_latency_ms},
                        {"priority", route.priority},
                        {"service", route.service}});
    }
    const auto value =
        nlohmann::json{{"version", version}, {"routes", list}, {"limits", {{"idle-timeout-ms", 15000}}}};
    return {"op/config", value.dump(), revision, false};
}

constexpr std::uint32_t test_service_address = 0xc6120001;  // 198.18.0.1
constexpr std::uint32_t test_client_address = 0x64400007;   // 100.64.0.7
constexpr auto test_start = time_ms{100000};
constexpr auto current_view = packet_context{true, false};
constexpr auto old_view = packet_context{false, false};
constexpr auto after_pause = packet_context{false, true};

// Returns a state with these targets and routes, by default one route to "desk" at port 443.
inline auto test_state(const std::vector<test_target>& targets,
                       const std::vector<test_route>& routes = {test_route{}}) -> forwarding_state {
    auto state = forwarding_state{};
    state.zone = "a";
    state.known.platform = &test_platform();
    auto revision = std::uint64_t{1};
    apply_item(state.known, routes_item(routes, 1, revision), test_start);
    for (const auto& target : targets) {
        const auto outcome = apply_item(state.known, target_item(target, ++revision), test_start);
        CPPUNIT_ASSERT(!outcome.fault);
    }
    state.known.is_complete = true;
    state.known.revision = revision;
    return state;
}

// Returns a client's SYN.
inline auto client_syn(std::uint16_t client_port, std::uint16_t service_port = 443) -> client_packet {
    auto packet = client_packet{};
    packet.flow = {test_client_address, test_service_address, client_port, service_port};
    packet.sequence = 1000;
    packet.is_syn = true;
    return packet;
}

// Returns the packet that completes the handshake with the target of this carrier.
inline auto handshake_ack(std::uint16_t client_port, std::uint32_t carrier, std::uint16_t service_port = 443)
    -> client_packet {
    auto packet = client_syn(client_port, service_port);
    packet.sequence = 1001;
    packet.acknowledgement = 5001;
    packet.is_syn = false;
    packet.is_ack = true;
    packet.carrier = carrier;
    return packet;
}

// Returns 100 bytes of data at an offset in the flow, with the number of bytes acknowledged.
inline auto data(std::uint16_t client_port, std::uint32_t carrier, std::uint32_t offset,
                 std::uint32_t acknowledged = 0, std::uint16_t service_port = 443) -> client_packet {
    auto packet = handshake_ack(client_port, carrier, service_port);
    packet.sequence += offset;
    packet.acknowledgement += acknowledged;
    packet.payload_bytes = 100;
    return packet;
}

// Returns the load of the target of this name.
inline auto load(const forwarding_state& state, const std::string& name) -> const target_load& {
    return state.known.targets[state.known.by_name.at(name)].load;
}

inline auto name_of(const forwarding_state& state, const packet_verdict& verdict) -> std::string {
    return state.known.targets[verdict.target].entry.name;
}

inline auto carrier_of(const forwarding_state& state, const packet_verdict& verdict) -> std::uint32_t {
    return state.known.targets[verdict.target].entry.carrier;
}

// Presumes the unresponsive targets dead as a host without other hosts does.
inline auto settle_liveness(forwarding_state& state, time_ms at) -> void {
    auto queries = std::vector<liveness_query>{};
    for (const auto index : state.unresponsive_targets) {
        begin_liveness_query(queries, state.known, index, at);
    }
    state.unresponsive_targets.clear();
    unsent_question(queries, state.known);
    for (const auto index : collect_dead_targets(queries, state.known, peer_group{}, at)) {
        presume_dead(state, index, at);
    }
}

// Opens a flow and returns the carrier of its target.
inline auto open_flow(forwarding_state& state, std::uint16_t client_port, time_ms at,
                      std::uint16_t service_port = 443) -> std::uint32_t {
    const auto verdict = handle_packet(state, client_syn(client_port, service_port), current_view, at);
    CPPUNIT_ASSERT(verdict.action == packet_action::forward);
    const auto carrier = carrier_of(state, verdict);
    handle_packet(state, handshake_ack(client_port, carrier, service_port), current_view, at);
    return carrier;
}

}  // namespace agatepost::edge
