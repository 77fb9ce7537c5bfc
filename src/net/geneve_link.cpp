// The link plug-in "geneve": IP packets in Geneve (RFC 8926) over one UDP socket for each worker.

#include <poll.h>

#include "core/counter_func.h"
#include "net/link_base.h"
#include "net/socket_func.h"

namespace agatepost {

namespace {

constexpr std::size_t batch_size = 64;
constexpr std::size_t buffer_bytes = 9216;  // fits a jumbo frame

// Socket and receive buffers of one worker.
struct geneve_port : link_port {
    link_options options;
    file_descriptor socket;
    std::vector<std::uint8_t> memory;
    std::array<mmsghdr, batch_size> headers{};
    std::array<iovec, batch_size> vectors{};
    std::array<sockaddr_storage, batch_size> addresses{};
    sockaddr_storage fabric{};
    socklen_t fabric_length = 0;
};

auto buffer_of(geneve_port& port, std::size_t i) -> std::uint8_t* {
    return port.memory.data() + i * (buffer_bytes + geneve_headroom) + geneve_headroom;
}

auto open_geneve(const link_options& options) -> result<std::unique_ptr<link_port>> {
    auto socket = open_udp_socket(options.local, true);
    if (!socket) {
        return tl::unexpected<error>(socket.error());
    }
    auto port = std::make_unique<geneve_port>();
    port->options = options;
    port->socket = std::move(*socket);
    port->memory.resize(batch_size * (buffer_bytes + geneve_headroom));
    port->fabric_length = to_socket_address(options.fabric, port->fabric);
    return result<std::unique_ptr<link_port>>(std::move(port));
}

auto accept_packet(geneve_port& port, std::size_t i, std::vector<received_packet>& packets) -> void {
    count(counter::packets_received);
    auto* data = buffer_of(port, i);
    const auto size = static_cast<std::size_t>(port.headers[i].msg_len);
    const auto geneve = parse_geneve(data, size);
    if (!geneve) {
        count(geneve.error());
        return;
    }
    if (geneve->vni != port.options.vni) {
        count(counter::drop_wrong_vni);
        return;
    }
    packets.push_back(received_packet{data + geneve->inner_offset, size - geneve->inner_offset, geneve->relay,
                                      from_socket_address(port.addresses[i])});
}

auto receive_geneve(link_port& base, int timeout_ms, std::vector<received_packet>& packets) -> void {
    auto& port = static_cast<geneve_port&>(base);
    auto ready = pollfd{port.socket.value(), POLLIN, 0};
    if (::poll(&ready, 1, timeout_ms) <= 0) {
        return;
    }
    for (auto i = std::size_t{0}; i < batch_size; ++i) {
        port.vectors[i] = iovec{buffer_of(port, i), buffer_bytes};
        port.headers[i].msg_hdr = msghdr{};
        port.headers[i].msg_hdr.msg_name = &port.addresses[i];
        port.headers[i].msg_hdr.msg_namelen = sizeof(port.addresses[i]);
        port.headers[i].msg_hdr.msg_iov = &port.vectors[i];
        port.headers[i].msg_hdr.msg_iovlen = 1;
    }
    const auto received =
        ::recvmmsg(port.socket.value(), port.headers.data(), batch_size, MSG_DONTWAIT, nullptr);
    for (auto i = std::size_t{0}; received > 0 && i < static_cast<std::size_t>(received); ++i) {
        accept_packet(port, i, packets);
    }
}

auto prepare_message(geneve_port& port, const outgoing_packet& packet, mmsghdr& header, iovec& vector,
                     sockaddr_storage& address) -> void {
    auto* first = write_geneve(packet.inner, port.options.vni, packet.relay);
    vector = iovec{first, packet.size + static_cast<std::size_t>(packet.inner - first)};
    header.msg_hdr = msghdr{};
    header.msg_hdr.msg_iov = &vector;
    header.msg_hdr.msg_iovlen = 1;
    if (packet.relay == relay_reason::none) {
        header.msg_hdr.msg_name = &port.fabric;
        header.msg_hdr.msg_namelen = port.fabric_length;
        return;
    }
    header.msg_hdr.msg_namelen = to_socket_address(packet.host, address);
    header.msg_hdr.msg_name = &address;
}

auto send_geneve(link_port& base, const std::vector<outgoing_packet>& packets) -> void {
    auto& port = static_cast<geneve_port&>(base);
    std::array<mmsghdr, batch_size> headers;
    std::array<iovec, batch_size> vectors;
    std::array<sockaddr_storage, batch_size> addresses;
    for (auto begin = std::size_t{0}; begin < packets.size(); begin += batch_size) {
        const auto total = std::min(batch_size, packets.size() - begin);
        for (auto i = std::size_t{0}; i < total; ++i) {
            prepare_message(port, packets[begin + i], headers[i], vectors[i], addresses[i]);
        }
        auto done = std::size_t{0};
        while (done < total) {
            const auto sent = ::sendmmsg(port.socket.value(), headers.data() + done,
                                         static_cast<unsigned>(total - done), 0);
            if (sent <= 0) {
                count(counter::drop_send_failed);
                ++done;  // the first packet was not accepted; continues with the next
                continue;
            }
            done += static_cast<std::size_t>(sent);
        }
    }
}

constexpr link_plugin geneve = {"geneve", open_geneve, receive_geneve, send_geneve};
const plugin_registration<link_plugin> registration(geneve);

}  // namespace

}  // namespace agatepost
