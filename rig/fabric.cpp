#include <poll.h>

#include <algorithm>
#include <array>

#include "fabric_base.h"
#include "net/geneve_func.h"
#include "net/packet_func.h"

namespace agatepost::rig {

namespace {

constexpr std::size_t sender_count = 8;  // several source ports spread the load over a host's workers
constexpr std::size_t batch_size = 64;
constexpr std::size_t buffer_bytes = 2048;
constexpr int receive_rounds = 16;  // limit per poll, so that timers are not starved

}  // namespace

auto fabric::open(const endpoint& local, std::uint32_t vni) -> result<void> {
    vni_ = vni;
    receive_buffers_.resize(batch_size * buffer_bytes);
    auto receiver = open_udp_socket(local, false);
    if (!receiver) {
        return tl::unexpected<error>(receiver.error());
    }
    receiver_ = std::move(*receiver);
    for (auto i = std::size_t{0}; i < sender_count; ++i) {
        auto sender = open_udp_socket(endpoint{local.address, 0}, false);
        if (!sender) {
            return tl::unexpected<error>(sender.error());
        }
        senders_.push_back(std::move(*sender));
    }
    queues_.resize(sender_count);
    return {};
}

auto fabric::happens(double share) -> bool {
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

auto fabric::delay_ms(const ip_address& end) -> std::int64_t {
    return (latency_ms ? latency_ms(end) : 0) + (happens(faults.reorder) ? faults.reorder_ms : 0);
}

auto fabric::send(const std::string& zone, packet_bytes packet) -> void {
    if (happens(faults.loss)) {
        ++counts_.lost;
        return;
    }
    const auto is_tcp = packet[9] == static_cast<std::uint8_t>(ip_protocol::tcp);
    if (is_tcp && happens(faults.duplicate)) {
        send_to_random_host(zone, packet);
    }
    auto source = ip_address{};
    std::copy_n(packet.begin() + 12, 4, source.bytes.begin());
    const auto wait = delay_ms(source);
    if (wait == 0) {
        send_to_random_host(zone, std::move(packet));
        return;
    }
    timers_.add(now().value + wait, [this, zone, kept = std::move(packet)]() mutable {
        send_to_random_host(zone, std::move(kept));
    });
}

auto fabric::send_to_random_host(const std::string& zone, packet_bytes packet) -> void {
    auto listed = std::array<fabric_host*, 64>{};
    auto total = std::size_t{0};
    for (auto& host : hosts) {
        if (host.is_listed && host.zone == zone && total < listed.size()) {
            listed[total++] = &host;
        }
    }
    if (total == 0) {
        ++counts_.no_listed_host;
        return;
    }
    auto& chosen = *listed[random_() % total];
    ++chosen.sent;
    send_to(chosen, std::move(packet));
}

auto fabric::send_to(const fabric_host& host, packet_bytes packet) -> void {
    auto framed = packet_bytes(geneve_header_size + packet.size());
    std::copy(packet.begin(), packet.end(), framed.begin() + geneve_header_size);
    write_geneve(framed.data() + geneve_header_size, vni_, relay_reason::none);
    const auto i = random_() % senders_.size();
    queues_[i].push_back(queued_packet{host.data, std::move(framed)});
    ++counts_.to_hosts;
    if (queues_[i].size() >= batch_size) {
        flush_socket(i);
    }
}

auto fabric::flush() -> void {
    for (auto i = std::size_t{0}; i < senders_.size(); ++i) {
        flush_socket(i);
    }
}

auto fabric::flush_socket(std::size_t i) -> void {
    auto& queue = queues_[i];
    std::array<mmsghdr, batch_size> headers{};
    std::array<iovec, batch_size> vectors{};
    std::array<sockaddr_storage, batch_size> addresses{};
    for (auto k = std::size_t{0}; k < queue.size(); ++k) {
        vectors[k] = iovec{queue[k].packet.data(), queue[k].packet.size()};
        headers[k].msg_hdr.msg_iov = &vectors[k];
        headers[k].msg_hdr.msg_iovlen = 1;
        headers[k].msg_hdr.msg_namelen = to_socket_address(queue[k].to, addresses[k]);
        headers[k].msg_hdr.msg_name = &addresses[k];
    }
    auto done = std::size_t{0};
    while (done < queue.size()) {
        const auto sent = ::sendmmsg(senders_[i].value(), headers.data() + done,
                                     static_cast<unsigned>(queue.size() - done), 0);
        done += sent > 0 ? static_cast<std::size_t>(sent) : 1;  // skips a packet that the kernel rejected
    }
    queue.clear();
}

auto fabric::process_packet(std::uint8_t* data, std::size_t size, const endpoint& sender) -> void {
    const auto geneve = parse_geneve(data, size);
    if (!geneve || geneve->vni != vni_) {
        ++counts_.malformed;
        return;
    }
    ++counts_.from_hosts;
    auto packet = fabric_packet{};
    packet.data = data + geneve->inner_offset;
    const auto headers = parse_packet(packet.data, size - geneve->inner_offset);
    if (!headers) {
        ++counts_.malformed;
        return;
    }
    if (happens(faults.loss)) {
        ++counts_.lost;
        return;
    }
    packet.headers = *headers;
    const auto found =
        std::find_if(hosts.begin(), hosts.end(), [&](const auto& host) { return host.data == sender; });
    packet.host = found == hosts.end() ? nullptr : &*found;
    const auto is_tcp = headers->protocol == ip_protocol::tcp;
    if (is_tcp && happens(faults.duplicate)) {
        deliver(packet);
    }
    const auto wait = delay_ms(headers->destination.address);
    if (wait == 0) {
        deliver(packet);
        return;
    }
    timers_.add(now().value + wait,
                [this, packet, kept = packet_bytes(packet.data, packet.data + headers->size)]() mutable {
                    packet.data = kept.data();
                    deliver(packet);
                });
}

auto fabric::poll(std::int64_t timeout_ms) -> void {
    auto ready = pollfd{receiver_.value(), POLLIN, 0};
    if (::poll(&ready, 1, static_cast<int>(timeout_ms)) <= 0) {
        return;
    }
    std::array<mmsghdr, batch_size> headers{};
    std::array<iovec, batch_size> vectors{};
    std::array<sockaddr_storage, batch_size> addresses{};
    for (auto round = 0; round < receive_rounds; ++round) {
        for (auto i = std::size_t{0}; i < batch_size; ++i) {
            vectors[i] = iovec{receive_buffers_.data() + i * buffer_bytes, buffer_bytes};
            headers[i].msg_hdr = msghdr{};
            headers[i].msg_hdr.msg_name = &addresses[i];
            headers[i].msg_hdr.msg_namelen = sizeof(addresses[i]);
            headers[i].msg_hdr.msg_iov = &vectors[i];
            headers[i].msg_hdr.msg_iovlen = 1;
        }
        const auto received =
            ::recvmmsg(receiver_.value(), headers.data(), batch_size, MSG_DONTWAIT, nullptr);
        for (auto i = 0; i < received; ++i) {
            process_packet(receive_buffers_.data() + static_cast<std::size_t>(i) * buffer_bytes,
                           headers[i].msg_len, from_socket_address(addresses[i]));
        }
        if (received < static_cast<int>(batch_size)) {
            return;
        }
    }
}

auto fabric::set_partition(const std::string& a, const std::string& b, bool is_partitioned) -> void {
    const auto key = std::pair(std::min(a, b), std::max(a, b));
    if (is_partitioned) {
        partitions_.insert(key);
    } else {
        partitions_.erase(key);
    }
}

auto fabric::is_partitioned(const std::string& a, const std::string& b) const -> bool {
    return !partitions_.empty() && partitions_.count(std::pair(std::min(a, b), std::max(a, b))) != 0;
}

}  // namespace agatepost::rig
