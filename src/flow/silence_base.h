// Silent flows: local notes of unanswered packets, and the flows under suspicion.
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

// What the note of a flow says after a forward packet.
struct forward_note {
    bool is_suspect = false;         // unanswered for the silence time-out, and sent again
    std::int64_t unanswered_ms = 0;  // age of the oldest unanswered packet
    bool is_activity_due = false;    // the chooser has not been told of activity for long
};

// Times of unanswered and answering packets by flow, in a table of fixed size: within a set the note that was
// not used for longest is replaced. Thread-safe; sharded locks.
class silence_notes {
public:
    silence_notes();

    // Notes a forward packet. Only packets that take up sequence numbers call for an answer. A packet is a
    // repetition if its sequence number is not after the oldest unanswered one.
    auto note_forward(const flow_id& id, std::uint32_t sequence, bool calls_for_answer,
                      std::int64_t silence_ms, std::int64_t activity_ms, time_ms at) -> forward_note;

    // Notes a reverse packet.
    auto note_reverse(const flow_id& id, time_ms at) -> void;

    // Notes that the chooser was told of activity.
    auto note_activity_sent(const flow_id& id, time_ms at) -> void;

    // Returns whether a reverse packet was seen within the last `age_ms`.
    auto has_answer_within(const flow_id& id, std::int64_t age_ms, time_ms at) const -> bool;

    // Forgets the unanswered packet of a flow that was answered at another host, or reset.
    auto clear_unanswered(const flow_id& id) -> void;

    auto table_bytes() const -> std::size_t;

private:
    static constexpr std::size_t ways = 4;
    static constexpr std::size_t set_total = 1U << 17U;
    static constexpr std::size_t lock_total = 256;

    // Times are the low 32 bits of time_ms; 0 means none.
    struct note {
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
    auto lock_of(std::size_t set) const -> std::mutex& { return locks_[set % lock_total].value; }
    auto find(const flow_id& id) const -> const note*;
    auto find(const flow_id& id) -> note*;
    auto find_or_replace(const flow_id& id, time_ms at) -> note&;

    std::vector<note> notes_;
    mutable std::array<padded_mutex, lock_total> locks_;
};

// A flow that may be silent, with what is needed to reset both ends.
struct silent_suspect {
    flow_id id;
    flow_key key;
    endpoint target;
    std::uint8_t index = 0;
    std::string pool;
    std::uint32_t sequence = 0;        // of the last forward packet
    std::uint32_t acknowledgment = 0;  // of the last forward packet
    time_ms since;                     // oldest unanswered packet
    time_ms asked;                     // first query; 0 before
    time_ms asked_last;
    std::set<std::string> waiting;  // hosts that have not answered yet
};

// What another host knows of a suspect.
enum class silence_verdict : std::uint8_t {
    not_seen = 0,     // no reverse packet since
    seen = 1,         // the flow is alive
    target_down = 2,  // the target does not answer new SYNs either
};

// The suspects of one host. Thread-safe.
class silent_suspects {
public:
    static constexpr std::size_t limit = 1024;

    // Adds a suspect or renews its sequence numbers. Returns whether it is new; false also when the list
    // is full, which is counted.
    auto add(const silent_suspect& suspect) -> bool;

    // Returns up to `most` suspects to ask about: new ones, and those with hosts that have not answered for
    // a while. `hosts` are the names of the other hosts, which become those waited for.
    auto take_queries(const std::vector<std::string>& hosts, std::size_t most, time_ms at)
        -> std::vector<silent_suspect>;

    // Takes in a host's answer. Returns whether the suspicion ended by it.
    auto answer(const flow_id& id, const std::string& host, silence_verdict verdict) -> bool;

    // Returns the suspects that all hosts of `hosts` had seen nothing of, a second after the query. Those
    // that a live host did not answer about are dropped: without its answer the flow may be alive.
    auto take_silent(const std::vector<std::string>& hosts, time_ms at) -> std::vector<silent_suspect>;

private:
    std::mutex mutex_;
    std::vector<silent_suspect> suspects_;
};

}  // namespace agatepost
