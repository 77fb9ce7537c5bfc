// Geneve encapsulation (RFC 8926) with the one option that hosts use among themselves.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/counter_func.h"
#include "core/error_type.h"

namespace agatepost {

// Why one host relays a packet to another.
enum class relay_reason : std::uint8_t {
    none = 0,          // the packet came from the fabric
    open = 1,          // SYN of a client, for the chooser
    answer = 2,        // SYN-ACK or SYN-refusing reset of a target, for the chooser
    close_notice = 3,  // copy of the headers of a reset, or of a FIN without timestamps; not to be forwarded
    owner = 4,         // packet of a flow that cannot carry its target, for its owner
    previous_owner = 5,  // packet that the new owner has no entry for, for the owner before it
    close = 6,           // FIN of a flow that carries its target, for the chooser, which forwards it
};

constexpr std::size_t geneve_header_size = 8;
constexpr std::size_t geneve_relay_header_size = 16;  // with the relay option
// Free bytes kept before a received packet, so that a longer header can be written in place.
constexpr std::size_t geneve_headroom = 32;

// What a Geneve header says.
struct geneve_header {
    std::uint32_t vni = 0;
    std::size_t inner_offset = 0;
    relay_reason relay = relay_reason::none;
};

// Parses a Geneve packet. On failure returns the counter of the drop reason.
auto parse_geneve(const std::uint8_t* data, std::size_t size) -> tl::expected<geneve_header, counter>;

// Writes a Geneve header directly before the inner packet at `inner` and returns its first byte. The caller
// guarantees geneve_relay_header_size free bytes before `inner`. The inner IP version sets the protocol type.
auto write_geneve(std::uint8_t* inner, std::uint32_t vni, relay_reason relay) -> std::uint8_t*;

}  // namespace agatepost
