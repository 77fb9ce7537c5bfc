// Collects the packets to send for a batch of received packets.
#pragma once

#include <cstring>
#include <deque>
#include <utility>
#include <vector>

#include "net/link_base.h"

namespace agatepost {

// Packets to send at the end of a batch. Packets forwarded in place stay in the link's buffers; built packets
// are stored here until the batch is sent.
class packet_sink {
public:
    // Sends the packet at `inner`, a link buffer, to the fabric.
    auto to_fabric(std::uint8_t* inner, std::size_t size) -> void {
        packets_.push_back(outgoing_packet{inner, size, relay_reason::none, {}});
    }

    // Relays the packet at `inner`, a link buffer, to another host.
    auto to_host(const endpoint& host, relay_reason reason, std::uint8_t* inner, std::size_t size) -> void {
        packets_.push_back(outgoing_packet{inner, size, reason, host});
    }

    // Stores a copy of a packet and sends it to the fabric.
    auto copy_to_fabric(const std::uint8_t* data, std::size_t size) -> void {
        to_fabric(store_copy(data, size), size);
    }

    // Stores a copy of a packet and relays it.
    auto copy_to_host(const endpoint& host, relay_reason reason, const std::uint8_t* data, std::size_t size)
        -> void {
        to_host(host, reason, store_copy(data, size), size);
    }

    auto packets() const -> const std::vector<outgoing_packet>& { return packets_; }

    auto clear() -> void {
        packets_.clear();
        copies_.clear();
    }

private:
    auto store_copy(const std::uint8_t* data, std::size_t size) -> std::uint8_t* {
        auto& copy = copies_.emplace_back(geneve_headroom + size);
        std::memcpy(copy.data() + geneve_headroom, data, size);
        return copy.data() + geneve_headroom;
    }

    std::vector<outgoing_packet> packets_;
    std::deque<std::vector<std::uint8_t>> copies_;
};

}  // namespace agatepost
