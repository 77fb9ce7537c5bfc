// The configuration compiled for the data path: immutable and replaced as a whole.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "config/config_type.h"
#include "config/persistent_type.h"

namespace agatepost {

// A pool's targets, with an array that maps target index to position. The array ends at the highest index in
// use: most pools are small, and 256 entries for each of 31,000 pools would take 16 MB.
struct snapshot_pool {
    std::string name;
    shared_list<target> targets;          // all states but gone, ordered by name
    std::vector<std::uint16_t> by_index;  // position in targets plus 1; 0: no such target

    // Returns the target with this index, or nullptr.
    auto target_of_index(std::uint8_t index) const -> const target* {
        return index >= by_index.size() || by_index[index] == 0 ? nullptr : &targets[by_index[index] - 1U];
    }
};

// A service with its profile and pool resolved.
struct snapshot_service {
    service object;
    profile rules;
    std::uint32_t pool = 0;  // position in snapshot::pools
};

// Address, port and protocol of a service or of a target's port.
struct transport_key {
    endpoint address;
    ip_protocol protocol = ip_protocol::tcp;

    friend auto operator==(const transport_key& a, const transport_key& b) -> bool {
        return a.protocol == b.protocol && a.address == b.address;
    }
    template <typename H>
    friend auto AbslHashValue(H h, const transport_key& k) -> H {
        return H::combine(std::move(h), k.address, k.protocol);
    }
};

// The service and target that a target's address and port belong to.
struct reverse_entry {
    std::uint32_t service = 0;  // position in snapshot::services
    std::uint16_t target = 0;   // position in the pool's targets
};

// All services and targets at a revision. Positions are valid within one snapshot only.
struct snapshot {
    std::uint64_t revision = 0;
    chunked_vector<snapshot_service> services;
    chunked_vector<snapshot_pool> pools;
    sharded_map<transport_key, std::uint32_t> service_by_address;
    sharded_map<transport_key, reverse_entry> service_by_target;

    // Returns the service at an address, or nullptr.
    auto find_service(const endpoint& address, ip_protocol protocol) const -> const snapshot_service* {
        const auto found = service_by_address.find(transport_key{address, protocol});
        return found == service_by_address.end() ? nullptr : &services[found->second];
    }
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

}  // namespace agatepost
