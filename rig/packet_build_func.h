// Builds IPv4 and IPv6 packets for the rig, the tests and the benchmarks.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "net/address_type.h"

namespace agatepost::rig {

using packet_bytes = std::vector<std::uint8_t>;

// The TCP timestamp option (RFC 7323).
struct tcp_timestamps {
    std::uint32_t value = 0;
    std::uint32_t echo = 0;
};

// Header fields of one TCP segment.
struct segment_fields {
    endpoint source;
    endpoint destination;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgment = 0;
    std::uint8_t flags = 0;
    std::optional<tcp_timestamps> timestamps;
    std::size_t leading_nops = 2;  // common stacks send 2; other numbers shift the timestamp option
};

// Builds a TCP packet with valid checksums.
auto build_segment(const segment_fields& fields, std::string_view payload) -> packet_bytes;

// Builds a UDP packet with valid checksums.
auto build_datagram(const endpoint& source, const endpoint& destination, std::string_view payload)
    -> packet_bytes;

}  // namespace agatepost::rig
