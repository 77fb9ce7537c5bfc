// Runs several hosts in one process on loopback addresses and records their views.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "core/clock_type.h"
#include "flow/hash_func.h"
#include "peer/peer_node_base.h"

namespace agatepost {

// Waits until `holds` returns true. Returns whether it did within the limit.
inline auto await(const std::function<bool()>& holds, std::int64_t limit_ms = 15000) -> bool {
    const auto limit = now() + limit_ms;
    while (now() < limit) {
        if (holds()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return holds();
}

// Returns an address of 127.0.0.0/8 with a port that is free for UDP at the time of the call.
inline auto free_address(std::size_t last_byte) -> endpoint {
    const auto any = *parse_endpoint("127.0.0." + std::to_string(last_byte) + ":0");
    const auto socket = open_udp_socket(any, false);
    auto address = sockaddr_storage{};
    auto length = socklen_t{sizeof(address)};
    ::getsockname(socket->value(), reinterpret_cast<sockaddr*>(&address), &length);
    return from_socket_address(address);
}

// A key of one repeated byte.
inline auto key_of(unsigned char byte) -> auth_key {
    auto key = auth_key{};
    key.fill(byte);
    return key;
}

// Hosts h0, h1, ... of one process. Host 0 is the seed of all others.
class peer_fleet {
public:
    struct host {
        endpoint peer;
        published<host_view> view;
        std::unique_ptr<peer_node> node;
        std::vector<host_view> history;
    };

    explicit peer_fleet(std::size_t total, const auth_keys& keys = {key_of(1), {}}) {
        for (auto i = std::size_t{0}; i < total; ++i) {
            hosts.push_back(std::make_unique<host>());
            hosts.back()->peer = free_address(10 + i);
        }
        for (auto i = std::size_t{0}; i < total; ++i) {
            open(i, keys);
        }
    }

    ~peer_fleet() {
        is_done_ = true;
        if (recorder_.joinable()) {
            recorder_.join();
        }
        for (auto& entry : hosts) {
            entry->node->stop();
        }
    }

    static auto name_of(std::size_t i) -> std::string { return "h" + std::to_string(i); }

    auto open(std::size_t i, const auth_keys& keys, const std::string& zone = "z") -> void {
        auto options = peer_node_options{};
        auto& self = options.member.self;
        self.name = name_of(i);
        self.zone = zone;
        self.peer = hosts[i]->peer;
        self.data = hosts[i]->peer;
        self.admin = hosts[i]->peer;
        options.member.seeds = {hosts[0]->peer};
        options.member.random_seed = static_cast<std::uint32_t>(i + 1);
        options.keys = keys;
        options.is_blocked = [this, i](const endpoint& other) { return is_cut(i, other); };
        hosts[i]->node.reset();
        hosts[i]->node = std::move(*peer_node::open(std::move(options), hosts[i]->view));
    }

    // Starts all hosts and the recorder.
    auto start() -> bool {
        recorder_ = std::thread([this] { record(); });
        for (auto& entry : hosts) {
            if (!entry->node->start()) {
                return false;
            }
        }
        return true;
    }

    auto names_seen_by(std::size_t i) const -> std::set<std::string> {
        auto names = std::set<std::string>{};
        for (const auto& record : hosts[i]->view.load()->hosts) {
            names.insert(record.name);
        }
        return names;
    }

    // Returns whether the view of each of these hosts contains exactly these hosts.
    auto agree(const std::vector<std::size_t>& members) const -> bool {
        auto names = std::set<std::string>{};
        for (const auto i : members) {
            names.insert(name_of(i));
        }
        for (const auto i : members) {
            if (names_seen_by(i) != names) {
                return false;
            }
        }
        return true;
    }

    // Simulates a partition: drops traffic between hosts of different sides until heal is called.
    auto cut(std::vector<std::size_t> sides) -> void {
        const auto lock = std::lock_guard(mutex_);
        sides_ = std::move(sides);
    }
    auto heal() -> void { cut({}); }

    // Returns the recorded views of a host, oldest first.
    auto history_of(std::size_t i) -> std::vector<host_view> {
        const auto lock = std::lock_guard(mutex_);
        return hosts[i]->history;
    }

    std::vector<std::unique_ptr<host>> hosts;

private:
    auto is_cut(std::size_t from, const endpoint& other) -> bool {
        const auto lock = std::lock_guard(mutex_);
        for (auto i = std::size_t{0}; i < sides_.size(); ++i) {
            if (hosts[i]->peer == other) {
                return sides_[i] != sides_[from];
            }
        }
        return false;
    }

    auto record() -> void {
        while (!is_done_) {
            for (auto& entry : hosts) {
                const auto view = entry->view.load();
                const auto lock = std::lock_guard(mutex_);
                if (entry->history.empty() || entry->history.back().version != view->version) {
                    entry->history.push_back(*view);
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    std::mutex mutex_;
    std::vector<std::size_t> sides_;
    std::atomic<bool> is_done_{false};
    std::thread recorder_;
};

}  // namespace agatepost
