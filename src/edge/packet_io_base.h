// Batched reading and writing of packets on one UDP socket.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstdint>
#include <vector>

#include "edge/edge_platform_base.h"
#include "net/socket_func.h"

namespace agatepost::edge {

// Packets read or written with one system call.
constexpr std::size_t packet_batch = 32;

// Largest datagram that is read.
constexpr std::size_t max_packet_bytes = 1536;

// A received packet with space for the prefix before it.
struct packet_buffer {
    std::array<std::uint8_t, forward_prefix_bytes + max_packet_bytes> bytes;
    std::size_t size = 0;  // of the packet, without the prefix

    auto packet() -> std::uint8_t* { return bytes.data() + forward_prefix_bytes; }
};

// Reads packets in batches, and collects packets to send. Not thread-safe.
class packet_io {
public:
    explicit packet_io(file_descriptor socket);

    auto fd() const -> int { return socket_.value(); }

    // Reads up to packet_batch packets. The buffers stay valid until the next call.
    auto read() -> std::size_t;
    auto buffer(std::size_t i) -> packet_buffer& { return buffers_[i]; }

    // Queues bytes for an IPv4 address in host byte order. They must stay valid until send_all.
    auto queue(const std::uint8_t* bytes, std::size_t size, std::uint32_t address, std::uint16_t port)
        -> void;

    // Sends the queued packets. Those that the socket does not accept are dropped and counted.
    auto send_all() -> void;

private:
    file_descriptor socket_;
    std::vector<packet_buffer> buffers_;
    std::vector<iovec> read_parts_;
    std::vector<mmsghdr> reads_;
    std::vector<sockaddr_in> addresses_;
    std::vector<iovec> write_parts_;
};

}  // namespace agatepost::edge
