// What the rig records while it runs. The checker reads it after the run.
#pragma once

#include <cstdint>
#include <vector>

namespace agatepost::rig {

// Kinds of events. `flow` is set in all but request_run, which knows only the request.
enum class event_kind : std::uint8_t {
    flow_established,   // client: SYN-ACK received; UDP: first datagram sent
    flow_refused,       // client: refused before anything was sent; with `request`: an ICMP error about it
    flow_reset,         // either end: an established flow was reset
    flow_timed_out,     // either end: the retransmission limit was reached
    flow_closed,        // client: ended as intended
    flow_unopened,      // client: the SYN was not answered within the time limit
    flow_excused,       // the scenario itself ended or disturbed the flow
    request_sent,       // client: first byte was handed to the flow; `bytes` is the expected answer size
    request_run,        // target: the whole request was received; `is_correct`: with the right bytes
    request_abandoned,  // client: the time limit passed
    answer_bytes,       // client: part of the answer's body
    answer_complete,    // client: header and whole body received
    answer_foreign,     // client: a message that answers none of this flow's requests
};

// One event.
struct history_event {
    std::int64_t time_ms = 0;
    event_kind kind = event_kind::flow_established;
    bool is_datagram = false;  // of a UDP flow
    bool is_correct = true;    // whether bytes were as derived from the id
    std::uint16_t service = 0;
    std::uint16_t target = 0;  // only in request_run
    std::uint32_t bytes = 0;
    std::uint64_t flow = 0;
    std::uint64_t request = 0;
};

using history = std::vector<history_event>;

}  // namespace agatepost::rig
