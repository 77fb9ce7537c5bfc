// Loads of availability zones by service, as hosts report them to each other.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "core/clock_type.h"

namespace agatepost::edge {

// Hash of a service's name, equal on all hosts.
using service_hash = std::uint32_t;

// Requests of one zone's clients for one service.
struct zone_load {
    std::map<std::string, std::uint32_t> busy;  // in progress or SYN unanswered, by zone of the target
    std::uint32_t waiting = 0;                  // SYNs that wait in hosts
    time_ms measured;                           // by this host's clock

    friend auto operator==(const zone_load& a, const zone_load& b) -> bool {
        return a.busy == b.busy && a.waiting == b.waiting && a.measured == b.measured;
    }
};

// The newest known loads, by service and zone of the clients.
using zone_loads = absl::flat_hash_map<std::pair<service_hash, std::string>, zone_load>;

}  // namespace agatepost::edge
