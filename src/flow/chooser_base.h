// The chooser of a pool in a zone: places new flows. It holds an entry for each open flow and counts by
// target.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <vector>

#include "config/snapshot_type.h"
#include "core/clock_type.h"
#include "core/counter_func.h"
#include "flow/flow_type.h"

namespace agatepost {

// Which end of a flow sent a packet.
enum class flow_end : std::uint8_t {
    client,  // forward packet
    target,  // reverse packet
};

// Busy slots and connections of one target.
struct target_counts {
    std::uint32_t slots_busy = 0;
    std::uint32_t connections = 0;

    friend auto operator==(const target_counts& a, const target_counts& b) -> bool {
        return a.slots_busy == b.slots_busy && a.connections == b.connections;
    }
};
// By target index.
using pool_counts = std::array<target_counts, 256>;
using indexed_counts = std::vector<std::pair<std::uint8_t, target_counts>>;

// Where to send a SYN. If `target` is 0, the SYN is refused for `reason`.
struct open_result {
    std::uint8_t target = 0;
    counter reason = counter::refuse_no_target;
};

// What to do with a SYN-ACK, or with a reset in answer to a SYN.
enum class answer_action : std::uint8_t {
    to_client,     // deliver it
    reset_target,  // another target is connected: send a reset to the sender
    retry,         // send the returned SYN to another target
    drop,          // deliver nothing
};

// A stored SYN and the target to send it to.
struct syn_retry {
    std::uint8_t target = 0;
    std::vector<std::uint8_t> packet;
};

// What to do after a target refused a SYN.
struct refusal_result {
    answer_action action = answer_action::drop;
    syn_retry retry;
};

// Why a target cannot get a new flow.
enum class candidate_fault : std::uint8_t {
    none,        // usable
    not_ready,   // draining
    other_zone,  // in another zone, and the profile or a usable local target excludes it
    ejected,     // after unanswered or refused SYNs, or reported unreachable
    slow_start,  // at the reduced limit of its slow start
    at_limit,    // at its limit for this profile, reserves of higher priorities included
};

// Text for operators.
auto candidate_fault_text(candidate_fault fault) -> std::string_view;

// State of one target at the chooser.
struct target_status {
    std::string name;
    std::uint8_t index = 0;
    target_state state = target_state::ready;
    target_counts own;        // flows with an entry
    target_counts inherited;  // flows of the previous chooser, without an entry here
    target_counts outside;    // flows held by owner hosts
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::int64_t ejected_ms = 0;  // remaining ejection time
    bool is_reported_unreachable = false;
    double share = 1;                               // below 1 during slow start
    double load = 0;                                // only from explain: used part of the capacity
    candidate_fault fault = candidate_fault::none;  // only from explain
};

// The state of one pool's chooser.
struct pool_status {
    std::string pool;
    std::size_t open_flows = 0;
    std::size_t half_open_flows = 0;
    double retry_tokens = 0;
    bool are_marks_ignored = false;  // most targets are unhealthy, so health is not considered
    std::vector<target_status> targets;
};

// The open flows and counts of one pool. All functions are thread-safe.
class pool_chooser {
public:
    // `seed` sets the random choice among equally loaded targets.
    pool_chooser(std::string pool, std::string zone, std::uint64_t seed);

    // Applies the pool's targets and profiles of a snapshot. Ignores a revision that is not newer than the
    // applied one.
    auto configure(const snapshot& config, std::uint32_t pool, time_ms at) -> void;

    // Places a SYN. A retransmitted SYN (same sequence number) goes to the target of the entry. The SYN is
    // stored for retries until it is answered. Retries are counted for the service.
    auto open(const flow_id& id, std::string_view profile_name, std::uint32_t sequence,
              const std::uint8_t* packet, std::size_t size, time_ms at, std::string_view service_name = {})
        -> open_result;

    // Handles a SYN-ACK from a target. A late one is counted for the service.
    auto answer(const flow_id& id, std::uint8_t from, std::string_view profile_name, time_ms at,
                std::string_view service_name = {}) -> answer_action;

    // Handles a reset from a target that refuses a SYN. A late one is counted for the service.
    auto refused(const flow_id& id, std::uint8_t from, time_ms at, std::string_view service_name = {})
        -> refusal_result;

    // Records a FIN or reset. `index` is the target that the packet carries or comes from, 0 if unknown. With
    // `may_adopt`, the close of a flow without an entry reduces the inherited counts.
    auto close(const flow_id& id, flow_end sender, bool is_reset, std::uint8_t index, bool may_adopt,
               std::string_view profile_name, time_ms at) -> void;

    // Restarts the idle time-out of a flow. Creates an entry if there is none and `index` is not 0.
    auto touch(const flow_id& id, std::uint8_t index, std::string_view profile_name, time_ms at) -> void;

    // Returns the SYNs that timed out, each with its next target. Removes entries that are idle, half-closed
    // or half-open for too long; a call scans at most one shard for idle and half-closed ones.
    auto expire(time_ms at) -> std::vector<syn_retry>;

    // Returns the target of an open flow, or 0.
    auto target_of(const flow_id& id) const -> std::uint8_t;

    // Returns the sum of own and inherited counts, for the next chooser.
    auto counts() const -> pool_counts;

    // Returns the counts of flows with an entry.
    auto own_counts() const -> pool_counts;

    // Replaces the inherited counts of the indexes in [begin, end) by those of the previous chooser.
    auto inherit(const pool_counts& previous, std::size_t begin, std::size_t end) -> void;

    // Adds the counts of flows that another host placed without the chooser to the inherited counts.
    auto add_inherited(const indexed_counts& placed) -> void;

    // Replaces the counts reported by an owner host for its flows that the chooser does not see (UDP, TCP
    // without timestamps). They lapse when the owner sends none for some seconds.
    auto set_owner_counts(const std::string& sender, const indexed_counts& held, time_ms at) -> void;

    // Applies a target's load report. report_influence_share limits its effect.
    auto apply_report(std::uint8_t index, std::uint32_t slots_busy, std::uint32_t connections,
                      bool is_reachable, time_ms at) -> void;

    // Returns whether a target is neither ejected nor reported unreachable.
    auto answers_syns(std::uint8_t index, time_ms at) const -> bool;

    auto status(time_ms at) const -> pool_status;

    // Like status, with the load and fault of each target for a new flow of a profile.
    auto explain(std::string_view profile_name, time_ms at) const -> pool_status;

    // Memory of the flow table in bytes.
    auto table_bytes() const -> std::size_t;

private:
    static constexpr std::size_t shard_total = 16;  // expire scans one at a time

    struct entry {
        std::uint32_t touched = 0;  // low 32 bits of time_ms
        std::uint32_t sequence = 0;
        std::uint16_t profile_index = 0;
        std::uint8_t target = 0;
        std::uint8_t flags = 0;
    };
    struct half_open {
        std::vector<std::uint8_t> packet;
        std::vector<std::uint8_t> tried;
        time_ms started;
        time_ms deadline;
        time_ms sent;  // to the last tried target
        std::string service_name;
    };
    struct target_entry {
        target object;
        bool is_present = false;
        std::array<std::uint32_t, 2> own{};  // by flow_kind
        std::array<std::uint32_t, 2> inherited{};
        std::array<std::uint32_t, 2> outside{};
        std::vector<std::uint32_t> by_profile;
        time_ms slow_start_since;
        bool has_slow_start = false;
        time_ms ejected_until;
        std::uint32_t failures = 0;  // consecutive
        std::array<std::uint32_t, 2> reported{};
        time_ms reported_at;
        bool is_reported = false;
        bool is_unreachable = false;
    };
    struct owner_counts {
        indexed_counts held;
        time_ms at;
    };
    struct evaluation {
        candidate_fault fault = candidate_fault::none;
        double load = 0;
    };
    using shard = absl::flat_hash_map<flow_id, entry>;

    auto shard_of(const flow_id& id) -> shard& { return shards_[id.high % shard_total]; }
    auto shard_of(const flow_id& id) const -> const shard& { return shards_[id.high % shard_total]; }
    auto find_profile(std::string_view profile_name) const -> std::optional<std::uint16_t>;
    auto is_unhealthy(const target_entry& s, time_ms at) const -> bool;
    auto are_marks_ignored(time_ms at) const -> bool;
    auto slow_start_share_of(const target_entry& s, const profile& rules, time_ms at) const -> double;
    auto evaluate(const target_entry& s, std::uint16_t profile_index, bool ignore_health, time_ms at) const
        -> evaluation;
    auto is_free_capacity_reserved(std::uint16_t profile_index, bool is_local, bool ignore_health,
                                   time_ms at) const -> bool;
    auto limit_of(const target_entry& s, std::uint16_t profile_index) const -> std::uint32_t;
    auto pick(std::uint16_t profile_index, const std::vector<std::uint8_t>& tried, time_ms at,
              counter& reason) -> std::uint8_t;
    auto add(std::uint8_t index, std::uint16_t profile_index) -> void;
    auto remove(std::uint8_t index, std::uint16_t profile_index) -> void;
    auto release(entry& e, time_ms at) -> void;
    auto adopt(const flow_id& id, std::uint8_t index, std::uint16_t profile_index, time_ms at) -> entry&;
    auto mark_failure(std::uint8_t index, time_ms at) -> void;
    auto next_target(entry& e, half_open& pending, counter reason, time_ms at) -> std::uint8_t;
    auto count_entry(entry& e) -> void;
    auto record_verdict(const target_entry& s, std::string_view verdict) const -> void;
    auto sum_owner_counts(time_ms at) -> void;
    static auto used_of(const target_entry& s, std::size_t kind) -> std::uint32_t;
    auto expire_half_open(time_ms at, std::vector<syn_retry>& retries) -> void;
    auto decay_inherited(time_ms at) -> void;
    auto expire_shard(time_ms at) -> void;
    auto status_locked(time_ms at) const -> pool_status;

    mutable std::mutex mutex_;
    std::string pool_;
    std::string zone_;
    std::uint64_t revision_ = 0;
    bool is_configured_ = false;
    std::vector<profile> profiles_;      // entries refer to positions, so elements are never removed
    std::vector<int> reserved_percent_;  // by profile: largest reserve of higher priorities
    std::vector<target_entry> targets_;  // by target index
    std::array<shard, shard_total> shards_;
    absl::flat_hash_map<flow_id, half_open> half_open_;
    absl::flat_hash_map<std::string, owner_counts> owner_counts_;  // by owner host
    std::size_t next_shard_ = 0;
    time_ms next_scan_;
    time_ms next_decay_;  // of inherited slots
    double retry_tokens_;
    time_ms refilled_at_;
    std::minstd_rand random_;
};

// Ages counts that were sent `age_ms` ago: slots decay like inherited ones, connections stay.
auto aged_counts(const pool_counts& received, std::int64_t age_ms) -> pool_counts;

// The choosers of one host, by pool name. Thread-safe.
class chooser_set {
public:
    explicit chooser_set(std::string zone) : zone_(std::move(zone)) {}

    // Returns the chooser of a pool after applying the snapshot. Creates it if there is none, with the
    // inherited counts unless these are nullptr.
    auto find_or_create(const snapshot& config, std::uint32_t pool, const pool_counts* inherited, time_ms at)
        -> std::shared_ptr<pool_chooser>;

    // Returns the chooser of a pool, or nullptr if this host has none.
    auto find(std::string_view pool) const -> std::shared_ptr<pool_chooser>;

    // Returns all choosers by pool name.
    auto all() const -> std::vector<std::pair<std::string, std::shared_ptr<pool_chooser>>>;

    // Removes the chooser of a pool, to be called after its counts were sent to the next chooser.
    auto remove(std::string_view pool) -> void;

private:
    std::string zone_;
    mutable std::shared_mutex mutex_;
    std::map<std::string, std::shared_ptr<pool_chooser>, std::less<>> choosers_;
};

}  // namespace agatepost
