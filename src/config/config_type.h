// The operators' objects: profiles, services and targets, as immutable values.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <variant>

#include "net/address_type.h"

namespace agatepost {

// The resource that a flow occupies on its target.
enum class flow_kind {
    request,  // a slot: one unit of work at a time
    feed,     // a connection: long-lived and mostly idle
};

// The zones whose targets a flow may use.
enum class zone_rule {
    local,         // only targets of the host's own zone
    prefer_local,  // other zones when no local target has capacity
};

// The administrative state of a target.
enum class target_state {
    ready,     // accepts new flows
    draining,  // keeps its flows, accepts no new ones
    gone,      // removed; its index is in quarantine
};

// Traffic policy of the services that use it. Times are in milliseconds, shares in percent.
struct profile {
    std::string name;
    int priority = 4;  // 0 is the highest, 7 the lowest
    flow_kind kind = flow_kind::request;
    int slot_limit_percent = 100;        // share of a target's slots that this profile may use
    int connection_limit_percent = 100;  // share of a target's connections that this profile may use
    int reserve_percent = 0;             // share of the pool reserved for this and higher priorities
    int queue_percent = 100;             // request flows that may queue at a target, as a share of its slots
    std::int64_t idle_timeout_ms = 3600000;
    std::int64_t silence_timeout_ms = 10000;
    std::int64_t drain_timeout_ms = 600000;
    int retry_budget_percent = 10;  // retries as a share of new flows
    std::int64_t syn_timeout_ms = 800;
    zone_rule zones = zone_rule::local;
    std::int64_t slow_start_ms = 10000;

    auto tie() const {
        return std::tie(name, priority, kind, slot_limit_percent, connection_limit_percent, reserve_percent,
                        queue_percent, idle_timeout_ms, silence_timeout_ms, drain_timeout_ms,
                        retry_budget_percent, syn_timeout_ms, zones, slow_start_ms);
    }
    friend auto operator==(const profile& a, const profile& b) -> bool { return a.tie() == b.tie(); }
    friend auto operator!=(const profile& a, const profile& b) -> bool { return !(a == b); }
};

// An address that clients connect to.
struct service {
    std::string name;
    endpoint address;
    ip_protocol protocol = ip_protocol::tcp;
    std::string pool;
    std::uint16_t target_port = 0;
    std::string profile_name;

    auto tie() const { return std::tie(name, address, protocol, pool, target_port, profile_name); }
    friend auto operator==(const service& a, const service& b) -> bool { return a.tie() == b.tie(); }
    friend auto operator!=(const service& a, const service& b) -> bool { return !(a == b); }
};

// An endpoint behind the pool's services.
struct target {
    std::string name;
    std::string pool;
    std::uint8_t index = 0;  // 1 to 255, unique in the pool; carried in TCP timestamps
    ip_address address;
    std::string zone;
    std::uint16_t health_port = 0;  // 0: not probed
    std::uint32_t slots = 1;
    std::uint32_t connections = 2000;
    target_state state = target_state::ready;
    std::int64_t freed_at_ms = 0;  // wall clock time at which the state became gone

    auto tie() const {
        return std::tie(name, pool, index, address, zone, health_port, slots, connections, state,
                        freed_at_ms);
    }
    friend auto operator==(const target& a, const target& b) -> bool { return a.tie() == b.tie(); }
    friend auto operator!=(const target& a, const target& b) -> bool { return !(a == b); }
};

// Any object; monostate where an object was removed or never existed.
using config_object = std::variant<std::monostate, profile, service, target>;

// One object with the store revision of its last change. monostate marks a removed object.
struct config_entry {
    std::uint64_t revision = 0;
    config_object object;

    friend auto operator==(const config_entry& a, const config_entry& b) -> bool {
        return a.revision == b.revision && a.object == b.object;
    }
};

// An entry shared by the keeper and the snapshots.
using shared_entry = std::shared_ptr<const config_entry>;

// All objects at a revision. Keys are KIND/NAME, such as service/tracker-filing.
struct configuration {
    std::uint64_t revision = 0;
    std::map<std::string, config_entry> entries;

    friend auto operator==(const configuration& a, const configuration& b) -> bool {
        return a.revision == b.revision && a.entries == b.entries;
    }
};

}  // namespace agatepost
