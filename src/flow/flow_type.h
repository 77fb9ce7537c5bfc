// Keys and identifiers of flows.
#pragma once

#include <cstdint>

#include "net/address_type.h"

namespace agatepost {

// The client's and the service's endpoint of a flow, the same for both directions.
struct flow_key {
    endpoint client;
    endpoint service;
    ip_protocol protocol = ip_protocol::tcp;

    friend auto operator==(const flow_key& a, const flow_key& b) -> bool {
        return a.protocol == b.protocol && a.client == b.client && a.service == b.service;
    }
    friend auto operator!=(const flow_key& a, const flow_key& b) -> bool { return !(a == b); }
    template <typename H>
    friend auto AbslHashValue(H h, const flow_key& k) -> H {
        return H::combine(std::move(h), k.client, k.service, k.protocol);
    }
};

// 128-bit hash of a flow key, used as the key of tables. It has half the size of the full key; the
// probability of a collision among 300,000 flows is below 2^-90.
struct flow_id {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator==(const flow_id& a, const flow_id& b) -> bool {
        return a.high == b.high && a.low == b.low;
    }
    template <typename H>
    friend auto AbslHashValue(H h, const flow_id& id) -> H {
        return H::combine(std::move(h), id.low);
    }
};

}  // namespace agatepost
