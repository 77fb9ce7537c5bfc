// Link plug-ins, which receive packets from the fabric and other hosts and send packets to them.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "core/error_type.h"
#include "core/plugin_base.h"
#include "net/address_type.h"
#include "net/geneve_func.h"

namespace agatepost {

// Addresses and network identifier of a link.
struct link_options {
    endpoint local;   // receives packets
    endpoint fabric;  // destination of packets that are not relayed
    std::uint32_t vni = 0;
};

// One received packet. The inner packet has geneve_headroom free bytes before it.
struct received_packet {
    std::uint8_t* inner = nullptr;
    std::size_t size = 0;
    relay_reason relay = relay_reason::none;
    endpoint sender;  // outer source address
};

// One packet to send. `inner` must stay valid until send_all returns and have geneve_headroom free bytes
// before it.
struct outgoing_packet {
    std::uint8_t* inner = nullptr;
    std::size_t size = 0;
    relay_reason relay = relay_reason::none;
    endpoint host;  // destination of a relayed packet; unused when relay is none
};

// State of an open link. Each plug-in derives its own class.
struct link_port {
    link_port() = default;
    link_port(const link_port&) = delete;
    auto operator=(const link_port&) -> link_port& = delete;
    virtual ~link_port() = default;
};

// A link plug-in. Each worker thread opens its own port.
struct link_plugin {
    std::string_view name;
    auto(*open)(const link_options& options) -> result<std::unique_ptr<link_port>>;
    // Waits up to `timeout_ms` for packets and appends the received ones. Their buffers stay valid until the
    // next call. Malformed packets are counted and dropped.
    void (*receive_some)(link_port& port, int timeout_ms, std::vector<received_packet>& packets);
    void (*send_all)(link_port& port, const std::vector<outgoing_packet>& packets);
};

}  // namespace agatepost
