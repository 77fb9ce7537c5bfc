// Detection of silent flows: times of unanswered packets, and the flows suspected to be silent.
#pragma once

#include <array>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "core/clock_type.h"
#include "flow/flow_type.h"

namespace agatepost {

// State of a flow after a forward packet was recorded.
struct forward_result {
    bool is_suspect = false;         // unanswered for the silence time-out, and retransmitted
    std::int64_t unanswered_ms = 0;  // age of the oldest unanswered packet
    bool is_activity_due = false;    // the activity report to the chooser is due
};

// Times of the oldest unanswered packet and of the last answer of each flow, in a set-associative table of
// fixed size with replacement of the least recently used entry. Thread-safe; sharded locks.
class silence_table {
public:
    silence_table();

    // Records a forward packet. `needs_answer` is set for packets that consume sequence numbers. A packet is
    // a retransmission if its sequence number is not after that of the oldest unanswered one.
    auto record_forward(const flow_id& id, std::uint32_t sequence, bool needs_answer, std::int64_t silence_ms,
                        std::int64_t activity_ms, time_ms at) -> forward_result;

    // Records a reverse packet.
    auto record_reverse(const flow_id& id, time_ms at) -> void;

    // Records that activity was reported to the chooser.
    auto record_activity_sent(const flow_id& id, time_ms at) -> void;

    // Returns whether a reverse packet was recorded within the last `age_ms`.
    auto has_answer_within(const flow_id& id, std::int64_t age_ms, time_ms at) const -> bool;

    // Clears the unanswered packet of a flow that was answered at another host or reset.
    auto clear_unanswered(const flow_id& id) -> void;

    auto table_bytes() const -> std::size_t;

private:
    static constexpr std::size_t ways = 4;
    static constexpr std::size_t set_total = 1U << 17U;
    static constexpr std::size_t mutex_total = 256;

    // Times are the low 32 bits of time_ms; 0 means none.
    struct entry {
        std::uint32_t tag = 0;
        std::uint32_t unanswered = 0;
        std::uint32_t answered = 0;
        std::uint32_t activity_sent = 0;
        std::uint32_t used = 0;
        std::uint32_t sequence = 0;
    };
    struct alignas(64) padded_mutex {
        std::mutex value;
    };

    auto set_of(const flow_id& id) const -> std::size_t { return id.low % set_total; }
    auto lock_of(std::size_t set) const -> std::mutex& { return locks_[set % mutex_total].value; }
    auto find(const flow_id& id) const -> const entry*;
    auto find(const flow_id& id) -> entry*;
    auto find_or_replace(const flow_id& id, time_ms at) -> entry&;

    std::vector<entry> entries_;
    mutable std::array<padded_mutex, mutex_total> locks_;
};

// A flow that may be silent, with the values needed to reset both ends.
struct silent_suspect {
    flow_id id;
    flow_key key;
    endpoint target;
    std::uint8_t index = 0;
    std::string pool;
    std::uint32_t sequence = 0;        // of the last forward packet
    std::uint32_t acknowledgment = 0;  // of the last forward packet
    time_ms since;                     // time of the oldest unanswered packet
    time_ms first_query;               // 0 before the first query
    time_ms last_query;
    std::set<std::string> waiting;  // hosts that have not answered yet
};

// Answer of another host about a suspect.
enum class silence_verdict : std::uint8_t {
    not_seen = 0,     // no reverse packet since the oldest unanswered packet
    seen = 1,         // the flow is alive
    target_down = 2,  // the target does not answer new SYNs either
};

// The suspected flows of one host. Thread-safe.
class silent_suspects {
public:
    static constexpr std::size_t limit = 1024;

    // Adds a suspect, or updates the sequence numbers of a known one. Returns whether it was added; a suspect
    // dropped from a full list is counted.
    auto add(const silent_suspect& suspect) -> bool;

    // Returns up to `most` suspects to send queries for: new ones, and those with overdue answers. `hosts`
    // are the names of the other hosts, whose answers a new suspect waits for.
    auto collect_queries(const std::vector<std::string>& hosts, std::size_t most, time_ms at)
        -> std::vector<silent_suspect>;

    // Applies a host's answer. Returns whether it removed the suspect.
    auto answer(const flow_id& id, const std::string& host, silence_verdict verdict) -> bool;

    // Removes and returns the suspects for which every host of `hosts` has seen no reverse packet, one second
    // after the query. A suspect with a missing answer is dropped, since its flow may be alive.
    auto collect_silent(const std::vector<std::string>& hosts, time_ms at) -> std::vector<silent_suspect>;

private:
    std::mutex mutex_;
    std::vector<silent_suspect> suspects_;
};

}  // namespace agatepost
