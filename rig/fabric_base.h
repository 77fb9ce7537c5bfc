// Simulated network fabric: exchanges packets of clients and targets with the hosts, in Geneve over UDP.
#pragma once

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/clock_type.h"
#include "net/packet_type.h"
#include "net/socket_func.h"
#include "packet_build_func.h"
#include "timer_queue_base.h"

namespace agatepost::rig {

// Injected packet faults. Shares are probabilities from 0 to 1.
struct fabric_faults {
    double loss = 0;
    double duplicate = 0;  // TCP only: a duplicated datagram would be a second request
    double reorder = 0;    // delayed by reorder_ms
    std::int64_t reorder_ms = 5;
};

// A host that the fabric sends packets to.
struct fabric_host {
    std::string name;
    std::string zone;
    endpoint data;
    bool is_listed = false;  // receives packets of its zone
    std::uint64_t sent = 0;  // packets sent to it
};

// A packet received from a host.
struct fabric_packet {
    const std::uint8_t* data = nullptr;
    packet_headers headers;
    const fabric_host* host = nullptr;  // nullptr if the sender is not in the list
};

// Packet counts of the whole run.
struct fabric_counts {
    std::uint64_t to_hosts = 0;
    std::uint64_t from_hosts = 0;
    std::uint64_t lost = 0;  // dropped by the loss fault
    std::uint64_t cut = 0;   // dropped between partitioned zones
    std::uint64_t no_listed_host = 0;
    std::uint64_t malformed = 0;  // from a host, with a wrong header or checksum
};

class fabric {
public:
    fabric(timer_queue& timers, std::mt19937_64& random) : timers_(timers), random_(random) {}

    // Binds the receiving address and the sending sockets.
    auto open(const endpoint& local, std::uint32_t vni) -> result<void>;

    // Sends a packet to a random listed host of a zone.
    auto send(const std::string& zone, packet_bytes packet) -> void;

    // Sends a packet to one host, listed or not, without faults.
    auto send_to(const fabric_host& host, packet_bytes packet) -> void;

    // Sends the queued packets.
    auto flush() -> void;

    // Waits up to `timeout_ms` and passes received packets to `deliver`, at once or after their delay.
    auto poll(std::int64_t timeout_ms) -> void;

    // Partitions two zones from each other, or reconnects them.
    auto set_partition(const std::string& a, const std::string& b, bool is_partitioned) -> void;
    auto is_partitioned(const std::string& a, const std::string& b) const -> bool;
    // Counts a packet dropped by a partition.
    auto count_partition_drop() -> void { ++counts_.cut; }

    auto counts() const -> const fabric_counts& { return counts_; }

    std::vector<fabric_host> hosts;
    fabric_faults faults;
    std::function<void(const fabric_packet&)> deliver;
    // Returns the one-way delay between the hosts and a client or target.
    std::function<std::int64_t(const ip_address& end)> latency_ms;

private:
    struct queued_packet {
        endpoint to;
        packet_bytes packet;
    };

    auto send_to_random_host(const std::string& zone, packet_bytes packet) -> void;
    auto flush_socket(std::size_t i) -> void;
    auto process_packet(std::uint8_t* data, std::size_t size, const endpoint& sender) -> void;
    auto happens(double share) -> bool;
    auto delay_ms(const ip_address& end) -> std::int64_t;

    timer_queue& timers_;
    std::mt19937_64& random_;
    std::uint32_t vni_ = 0;
    file_descriptor receiver_;
    std::vector<file_descriptor> senders_;
    std::vector<std::vector<queued_packet>> queues_;  // one for each sender
    std::vector<std::uint8_t> receive_buffers_;
    std::set<std::pair<std::string, std::string>> partitions_;
    fabric_counts counts_;
};

}  // namespace agatepost::rig
