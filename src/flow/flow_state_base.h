// The flow state of a host, and functions on it for other modules and operators.
#pragma once

#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "config/snapshot_type.h"
#include "flow/chooser_base.h"
#include "flow/flow_table_base.h"
#include "flow/placement_base.h"
#include "flow/silence_base.h"
#include "net/geneve_func.h"
#include "peer/host_view_type.h"

namespace agatepost {

// A packet built outside the worker threads, to be sent by one of them: to the fabric if `relay` is none,
// else to `host`.
struct pending_packet {
    std::vector<std::uint8_t> data;
    relay_reason relay = relay_reason::none;
    endpoint host;
};

// Activity of a flow, to be reported to its chooser.
struct flow_activity {
    flow_id id;
    std::uint8_t index = 0;
    std::string pool;
    std::string profile_name;
};

// A bounded queue from many threads to one.
template <typename T>
class bounded_queue {
public:
    explicit bounded_queue(std::size_t limit) : limit_(limit) {}

    // Appends an item. Returns false if the queue is full.
    auto push(T item) -> bool {
        const auto lock = std::lock_guard(mutex_);
        if (items_.size() >= limit_) {
            return false;
        }
        items_.push_back(std::move(item));
        size_.store(items_.size(), std::memory_order_relaxed);
        return true;
    }

    // Removes and returns up to `most` items, oldest first.
    auto take(std::size_t most) -> std::vector<T> {
        auto taken = std::vector<T>{};
        if (size_.load(std::memory_order_relaxed) == 0) {
            return taken;
        }
        const auto lock = std::lock_guard(mutex_);
        while (!items_.empty() && taken.size() < most) {
            taken.push_back(std::move(items_.front()));
            items_.pop_front();
        }
        size_.store(items_.size(), std::memory_order_relaxed);
        return taken;
    }

private:
    std::size_t limit_;
    std::mutex mutex_;
    std::deque<T> items_;
    std::atomic<std::size_t> size_{0};
};

// Counts of a pool received from its chooser.
struct received_counts {
    pool_counts counts{};
    time_ms at;
};

// The flow state of a host. Every member is thread-safe.
struct flow_state {
    explicit flow_state(std::string own_zone) : zone(own_zone), choosers(std::move(own_zone)) {}

    const std::string zone;
    chooser_set choosers;
    owner_buckets buckets;
    flow_table owned;
    silence_table notes;
    silent_suspects suspects;
    bounded_queue<pending_packet> outgoing{16384};
    bounded_queue<flow_activity> activities{256};  // messages of about three seconds
    bounded_queue<flow_id> new_exceptions{16384};

    std::mutex received_mutex;
    absl::flat_hash_map<std::string, received_counts> received;  // by pool, guarded by received_mutex
};

// Returns the chooser of a pool on this host. A new chooser starts with the counts that the previous one sent
// to this host, unless they are too old.
auto chooser_of(flow_state& flows, const snapshot& config, std::uint32_t pool, time_ms at)
    -> std::shared_ptr<pool_chooser>;

// Returns the position of a pool in the snapshot, or -1.
auto pool_position(const snapshot& config, std::string_view pool) -> int;

// Applies the load report of a target to the pool's chooser. Does nothing if this host is not the chooser.
auto apply_load_report(flow_state& flows, const snapshot& config, std::string_view pool,
                       std::string_view target_name, std::uint32_t slots_busy, std::uint32_t connections,
                       bool is_reachable, time_ms at) -> void;

// Returns the state of all choosers of this host.
auto flow_status(const flow_state& flows, time_ms at) -> std::vector<pool_status>;

// How the host would forward a packet of a flow.
struct flow_explanation {
    std::string service;  // empty if the service endpoint is unknown
    std::string pool;
    std::string profile_name;
    std::string chooser;           // host name; empty if none is known
    std::string owner;             // host name, for flows that cannot carry their target
    std::string chooser_target;    // target of the chooser's entry, if this host is the chooser
    std::string owner_target;      // target of the owner's entry or exception, if this host is the owner
    std::string pure_pick_target;  // from the configuration alone
    std::vector<target_status> candidates;  // with load and fault; empty if this host is not the chooser
};

// Explains how this host would place a flow.
auto explain_flow(const flow_state& flows, const snapshot& config, const host_view& view, const flow_key& key,
                  time_ms at) -> flow_explanation;

}  // namespace agatepost
