// A host's view of its zone's hosts, as an immutable value for the data path.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "net/address_type.h"

namespace agatepost {

// One live host.
struct host_record {
    std::string name;
    std::string zone;
    endpoint data;                  // UDP, relayed packets
    endpoint peer;                  // UDP heartbeats and websocket links
    std::optional<endpoint> admin;  // not sent by older versions
    std::uint64_t incarnation = 0;  // rises when the host restarts or refutes a suspicion
    std::uint64_t name_hash = 0;    // stable_hash(name), for rendezvous

    auto tie() const { return std::tie(name, zone, data, peer, admin, incarnation); }
    friend auto operator==(const host_record& a, const host_record& b) -> bool { return a.tie() == b.tie(); }
    friend auto operator!=(const host_record& a, const host_record& b) -> bool { return !(a == b); }
};

// The live hosts of the own zone, sorted by name, the host itself included unless it is leaving.
struct host_view {
    std::uint64_t version = 0;  // rises with each change
    std::vector<host_record> hosts;
    // Data addresses of hosts that are leaving or presumed dead, until membership removes them. They may
    // still relay packets: a leaving host forwards until the fabric has dropped it, and a host can be
    // presumed dead wrongly.
    std::vector<endpoint> departed;
    std::string self;

    friend auto operator==(const host_view& a, const host_view& b) -> bool {
        return a.version == b.version && a.hosts == b.hosts && a.departed == b.departed && a.self == b.self;
    }
};

}  // namespace agatepost
