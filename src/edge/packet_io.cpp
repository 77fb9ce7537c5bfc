#include "edge/packet_io_base.h"

#include <arpa/inet.h>

#include <cerrno>

#include "core/counter_func.h"

namespace agatepost::edge {

packet_io::packet_io(file_descriptor socket)
    : socket_(std::move(socket)), buffers_(packet_batch), read_parts_(packet_batch), reads_(packet_batch) {
    for (auto i = std::size_t{0}; i < packet_batch; ++i) {
        read_parts_[i] = {buffers_[i].packet(), max_packet_bytes};
        reads_[i].msg_hdr.msg_iov = &read_parts_[i];
        reads_[i].msg_hdr.msg_iovlen = 1;
    }
}

auto packet_io::read() -> std::size_t {
    const auto got = recvmmsg(socket_.value(), reads_.data(), packet_batch, MSG_DONTWAIT, nullptr);
    if (got <= 0) {
        return 0;
    }
    for (auto i = std::size_t{0}; i < static_cast<std::size_t>(got); ++i) {
        buffers_[i].size = reads_[i].msg_len;
    }
    return static_cast<std::size_t>(got);
}

auto packet_io::queue(const std::uint8_t* bytes, std::size_t size, std::uint32_t address, std::uint16_t port)
    -> void {
    auto to = sockaddr_in{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(address);
    addresses_.push_back(to);
    write_parts_.push_back({const_cast<std::uint8_t*>(bytes), size});
}

auto packet_io::send_all() -> void {
    auto messages = std::array<mmsghdr, packet_batch>{};
    for (auto next = std::size_t{0}; next < addresses_.size();) {
        const auto size = std::min(packet_batch, addresses_.size() - next);
        for (auto i = std::size_t{0}; i < size; ++i) {
            auto& head = messages[i].msg_hdr;
            head = {};
            head.msg_name = &addresses_[next + i];
            head.msg_namelen = sizeof(sockaddr_in);
            head.msg_iov = &write_parts_[next + i];
            head.msg_iovlen = 1;
        }
        const auto sent =
            sendmmsg(socket_.value(), messages.data(), static_cast<unsigned>(size), MSG_DONTWAIT);
        if (sent <= 0) {
            // Only the first packet failed; later ones may still be sent.
            count(counter::edge_send_failed);
            ++next;
        } else {
            next += static_cast<std::size_t>(sent);
        }
    }
    addresses_.clear();
    write_parts_.clear();
}

}  // namespace agatepost::edge
