// Flows that cannot carry their target (UDP, TCP without timestamps): their owner hosts and their entries.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <vector>

#include "core/clock_type.h"
#include "flow/chooser_base.h"
#include "flow/flow_type.h"
#include "peer/host_view_type.h"

namespace agatepost {

// The owner host of each bucket of flows in one view. Immutable.
struct bucket_table {
    std::uint64_t version = 0;  // of the view
    std::vector<host_record> hosts;
    std::vector<std::uint16_t> first;   // by bucket, position in hosts; empty without hosts
    std::vector<std::uint16_t> second;  // the same as first if there is one host

    // Both return nullptr if there is no such host.
    auto owner(const flow_id& id) const -> const host_record*;
    auto second_ranked(const flow_id& id) const -> const host_record*;
};

auto build_buckets(const host_view& view) -> std::shared_ptr<const bucket_table>;

// The bucket tables of the newest view and of the one before it. Thread-safe.
class owner_buckets {
public:
    // Returns the table of the newest view. Rebuilds it only for a newer version.
    auto of_view(const host_view& view, time_ms at) -> std::shared_ptr<const bucket_table>;

    // Returns the previous table during the grace period after a change, else nullptr.
    auto previous(time_ms at) const -> std::shared_ptr<const bucket_table>;

private:
    std::mutex rebuild_;
    std::shared_ptr<const bucket_table> current_ = std::make_shared<const bucket_table>();
    std::shared_ptr<const bucket_table> previous_;
    std::atomic<std::int64_t> grace_until_ms_{0};
};

// A flow whose target differs from its pure pick, as sent to other hosts.
struct flow_exception {
    std::uint64_t id_high = 0;
    std::uint8_t target = 0;
};

// An open flow at its owner; used to find exceptions.
struct owned_flow {
    flow_id id;
    std::uint32_t pool_hash = 0;
    std::uint8_t target = 0;
};

// The entries and exceptions of a host for the flows that it owns. Thread-safe; sharded locks.
class flow_table {
public:
    static constexpr std::size_t shard_total = 64;

    // Returns the target of a flow, or 0 if it has neither entry nor exception. Turns an exception into an
    // entry.
    auto find(const flow_id& id, std::string_view pool, const profile& rules, ip_protocol protocol,
              time_ms at) -> std::uint8_t;

    // Adds or replaces the entry of a flow.
    auto insert(const flow_id& id, std::string_view pool, const profile& rules, ip_protocol protocol,
                std::uint8_t target, time_ms at) -> void;

    // Removes the entry of a closed flow, so that a new SYN of the same client port is placed again.
    auto erase_closed(const flow_id& id) -> void;

    // Returns the target of an entry or exception, or 0. Changes nothing.
    auto peek(const flow_id& id) const -> std::uint8_t;

    // Records a FIN or reset. A reset removes the entry; after both FINs it expires within seconds.
    auto close(const flow_id& id, flow_end sender, bool is_reset, time_ms at) -> void;

    // Removes the entry and the exception of a flow, as its target no longer exists.
    auto erase(const flow_id& id) -> void;

    // Stores an exception sent by another host until a packet of the flow arrives, for at most a day.
    auto learn(const flow_exception& exception, time_ms at) -> void;

    // Removes idle entries and old exceptions of one shard. `shard_total` calls cover the table.
    auto expire(time_ms at) -> void;

    // Returns the entries of one shard.
    auto flows_of_shard(std::size_t shard) const -> std::vector<owned_flow>;

    // Returns the stored exceptions of one shard.
    auto exceptions_of_shard(std::size_t shard) const -> std::vector<flow_exception>;

    // Returns the counts of a pool's entries by target, without targets that have no flow.
    auto counts(std::string_view pool) const -> indexed_counts;

    auto size() const -> std::size_t;

    // Memory of entries and exceptions in bytes.
    auto table_bytes() const -> std::size_t;

private:
    struct entry {
        std::uint32_t touched = 0;  // low 32 bits of time_ms
        std::uint32_t idle_ms = 0;
        std::uint32_t pool_hash = 0;
        std::uint8_t target = 0;
        std::uint8_t flags = 0;
    };
    struct exception_entry {
        std::uint32_t touched = 0;
        std::uint8_t target = 0;
    };
    struct alignas(64) shard {
        mutable std::mutex mutex;
        absl::flat_hash_map<flow_id, entry> flows;
        absl::flat_hash_map<std::uint64_t, exception_entry> exceptions;
    };
    using atomic_counts = std::array<std::array<std::atomic<std::uint32_t>, 2>, 256>;

    auto shard_of(std::uint64_t id_high) -> shard& { return shards_[id_high % shard_total]; }
    auto shard_of(std::uint64_t id_high) const -> const shard& { return shards_[id_high % shard_total]; }
    auto counts_of(std::uint32_t pool_hash) -> atomic_counts&;
    auto add(const entry& e) -> void;
    auto release(entry& e) -> void;

    std::array<shard, shard_total> shards_;
    std::size_t next_shard_ = 0;
    mutable std::shared_mutex counts_mutex_;
    absl::flat_hash_map<std::uint32_t, std::unique_ptr<atomic_counts>> counts_;  // by pool hash
};

}  // namespace agatepost
