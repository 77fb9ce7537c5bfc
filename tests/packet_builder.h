// Builds TCP and UDP packets for tests, using the packet builder of the rig.
#pragma once

#include <string_view>
#include <vector>

#include "net/packet_type.h"
#include "packet_build_func.h"

namespace agatepost::test {

// Contents of a packet to build.
struct packet_spec {
    endpoint source;
    endpoint destination;
    ip_protocol protocol = ip_protocol::tcp;
    std::uint8_t tcp_flags = tcp_flag::ack;
    bool has_timestamp = true;
    std::uint32_t timestamp_value = 0;
    std::uint32_t timestamp_echo = 0;
    std::size_t leading_nops = 2;  // common stacks send 2; other numbers shift the timestamp option
    std::vector<std::uint8_t> payload;
    std::uint32_t sequence = 1000;
    std::uint32_t acknowledgment = 2000;
};

inline auto build_packet(const packet_spec& spec) -> std::vector<std::uint8_t> {
    const auto payload =
        std::string_view(reinterpret_cast<const char*>(spec.payload.data()), spec.payload.size());
    if (spec.protocol != ip_protocol::tcp) {
        return rig::build_datagram(spec.source, spec.destination, payload);
    }
    auto fields = rig::segment_fields{};
    fields.source = spec.source;
    fields.destination = spec.destination;
    fields.sequence = spec.sequence;
    fields.acknowledgment = spec.acknowledgment;
    fields.flags = spec.tcp_flags;
    if (spec.has_timestamp) {
        fields.timestamps = rig::tcp_timestamps{spec.timestamp_value, spec.timestamp_echo};
    }
    fields.leading_nops = spec.leading_nops;
    return rig::build_segment(fields, payload);
}

}  // namespace agatepost::test
