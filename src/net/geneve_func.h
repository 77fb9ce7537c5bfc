// Geneve encapsulation (RFC 8926) with the relay option that hosts use between themselves.
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
    owner = 4,         // packet of a flow whose packets cannot carry its target, for its owner
    previous_owner = 5,  // packet without an entry at the flow's new owner, for the previous owner
    close = 6,           // FIN of a flow whose packets carry its target, for the chooser, which forwards it
};

constexpr std::size_t geneve_header_size = 8;
constexpr std::size_t geneve_relay_header_size = 16;  // with the relay option
// Free bytes before each received packet, in which a longer header can be written without a copy.
constexpr std::size_t geneve_headroom = 32;

// The parsed fields of a Geneve header.
struct geneve_header {
    std::uint32_t vni = 0;
    std::size_t inner_offset = 0;  // of the inner packet, from the first byte of the Geneve header
    relay_reason relay = relay_reason::none;
};

// Parses the Geneve header of a packet. On failure returns the drop counter that names the reason.
auto parse_geneve(const std::uint8_t* data, std::size_t size) -> tl::expected<geneve_header, counter>;

// Writes a Geneve header directly before the packet at `inner` and returns a pointer to its first byte. There
// must be geneve_relay_header_size free bytes before `inner`. The protocol type follows from the inner IP
// version.
auto write_geneve(std::uint8_t* inner, std::uint32_t vni, relay_reason relay) -> std::uint8_t*;

}  // namespace agatepost
