// The fabric: hands packets of clients and targets to the zones' hosts in Geneve over UDP, and takes them
// back.
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

// What the fabric does to packets. Shares are probabilities from 0 to 1.
struct fabric_faults {
    double loss = 0;
    double duplicate = 0;  // TCP only: a doubled datagram would be a request sent twice
    double reorder = 0;    // held back for reorder_ms
    std::int64_t reorder_ms = 5;
};

// A host as the fabric sees it.
struct fabric_host {
    std::string name;
    std::string zone;
    endpoint data;
    bool is_listed = false;  // packets are sprayed over listed hosts
    std::uint64_t sent = 0;  // packets handed to it
};

// A packet that came back from a host.
struct fabric_packet {
    const std::uint8_t* data = nullptr;
    packet_headers headers;
    const fabric_host* host = nullptr;  // nullptr if the sender is not in the list
};

// Counts of the whole run.
struct fabric_counts {
    std::uint64_t to_hosts = 0;
    std::uint64_t from_hosts = 0;
    std::uint64_t lost = 0;  // by the loss fault
    std::uint64_t cut = 0;   // between zones that are cut off from each other
    std::uint64_t without_host = 0;
    std::uint64_t malformed = 0;  // from a host, with a wrong header or checksum
};

class fabric {
public:
    fabric(timer_queue& timers, std::mt19937_64& random) : timers_(timers), random_(random) {}

    // Binds the fabric's address and the sockets that packets leave from.
    auto open(const endpoint& local, std::uint32_t vni) -> result<void>;

    // Sends a packet to a random listed host of a zone.
    auto send(const std::string& zone, packet_bytes packet) -> void;

    // Sends a packet to one host, listed or not, without faults.
    auto send_to(const fabric_host& host, packet_bytes packet) -> void;

    // Sends what was queued.
    auto flush() -> void;

    // Waits up to `timeout_ms` and hands the received packets to `deliver`, now or when their time has come.
    auto poll(std::int64_t timeout_ms) -> void;

    // Cuts two zones off from each other, or joins them again.
    auto set_cut(const std::string& a, const std::string& b, bool is_cut) -> void;
    auto is_cut(const std::string& a, const std::string& b) const -> bool;
    // Counts a packet that a cut stopped.
    auto count_cut() -> void { ++counts_.cut; }

    auto counts() const -> const fabric_counts& { return counts_; }

    std::vector<fabric_host> hosts;
    fabric_faults faults;
    std::function<void(const fabric_packet&)> deliver;
    // One-way delay between the hosts and an end.
    std::function<std::int64_t(const ip_address& end)> latency_ms;

private:
    struct queued {
        endpoint to;
        packet_bytes packet;
    };

    auto spray(const std::string& zone, packet_bytes packet) -> void;
    auto flush_socket(std::size_t i) -> void;
    auto take(std::uint8_t* data, std::size_t size, const endpoint& sender) -> void;
    auto happens(double share) -> bool;
    auto delay_ms(const ip_address& end) -> std::int64_t;

    timer_queue& timers_;
    std::mt19937_64& random_;
    std::uint32_t vni_ = 0;
    file_descriptor receiver_;
    std::vector<file_descriptor> senders_;
    std::vector<std::vector<queued>> queues_;  // one for each sender
    std::vector<std::uint8_t> memory_;
    std::set<std::pair<std::string, std::string>> cuts_;
    fabric_counts counts_;
};

}  // namespace agatepost::rig
