// Asks the other hosts of the fleet whether a silent target has answered any of their clients, before its
// flows are reset. Free functions over plain structs; no I/O, no clock.
//
// A full target may leave all flows of one host unanswered for long, since clients that open new flows take
// the places that become free. It is at work all the same, so some host sees one of its answers within a few
// request times; a dead target answers none. Only when every host of the fleet has been silent about a target
// for that long is it presumed dead. Tests: `full_target_that_answers_other_hosts_is_not_presumed_dead` and
// others in tests/edge_liveness_query_test.cpp.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error_type.h"
#include "edge/directory_base.h"
#include "edge/peer_group_base.h"

namespace agatepost::edge {

// A query without the answers of all hosts is abandoned after this time, which is longer than it takes to
// notice that a host is gone. The next retransmissions begin another one.
constexpr std::int64_t liveness_query_limit_ms = peer_silent_ms + heartbeat_ms;

// Maximum number of targets in one message, and of queries at a time. More silent targets than that are a
// fault of the network rather than of the targets.
constexpr std::size_t max_queried_targets = 64;

// A question about one target.
struct liveness_query {
    target_index target = 0;
    std::string name;  // of the target at the beginning; another target may reuse the index
    time_ms began;
    bool is_sent = false;
    std::vector<std::uint32_t> silent_hosts;  // hosts that have seen no answer of it for long enough
};

// How long a host has seen no answer of a target.
struct target_silence {
    std::uint32_t carrier = 0;
    std::uint32_t silent_ms = 0;

    friend auto operator==(const target_silence& a, const target_silence& b) -> bool {
        return a.carrier == b.carrier && a.silent_ms == b.silent_ms;
    }
};

// A message between hosts: a question, or the answer to one.
struct liveness_message {
    std::vector<std::uint32_t> asked;      // carriers; empty in an answer
    std::vector<target_silence> silences;  // empty in a question

    friend auto operator==(const liveness_message& a, const liveness_message& b) -> bool {
        return a.asked == b.asked && a.silences == b.silences;
    }
};

auto encode_liveness_message(const liveness_message& message) -> std::string;

// Returns an error for anything else, such as a heartbeat.
auto decode_liveness_message(std::string_view bytes) -> result<liveness_message>;

// Begins a query about a target unless there is one.
auto begin_liveness_query(std::vector<liveness_query>& queries, const directory& known, target_index target,
                          time_ms at) -> void;

// Returns the question about the targets of queries that were not sent yet, and marks them as sent. Empty if
// there are none.
auto unsent_question(std::vector<liveness_query>& queries, const directory& known) -> liveness_message;

// Returns the answer to a question. It leaves out targets that this host does not know, and all targets
// during the startup grace period, in which it has not seen enough.
auto answer_question(const directory& known, const liveness_message& question, time_ms at)
    -> liveness_message;

// Records the answer of a host. A target that has answered a client of that host is alive: its query ends,
// and its failed liveness check no longer counts. Returns the number of these targets.
auto record_liveness_answer(std::vector<liveness_query>& queries, directory& known, std::uint32_t host,
                            const liveness_message& answer, time_ms at) -> std::size_t;

// Removes the queries that are over, and returns the targets that every live host of the fleet, this one
// included, has found silent. In a large fleet not all hosts are known, so that no target is returned.
auto collect_dead_targets(std::vector<liveness_query>& queries, directory& known, const peer_group& group,
                          time_ms at) -> std::vector<target_index>;

}  // namespace agatepost::edge
