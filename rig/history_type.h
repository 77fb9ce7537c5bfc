// Events recorded during a run, for the checker.
#pragma once

#include <cstdint>
#include <vector>

namespace agatepost::rig {

// Kinds of events. `flow` is set in all but request_run, where only the request is known.
enum class event_kind : std::uint8_t {
    flow_established,   // client: SYN-ACK received; UDP: first datagram sent
    flow_refused,       // client: refused before it sent data; with `request`: by an ICMP error for it
    flow_reset,         // either end: an established flow was reset
    flow_timed_out,     // either end: the retransmission limit was reached
    flow_closed,        // client: closed normally
    flow_unopened,      // client: the SYN was not answered within the time limit
    flow_excused,       // ended or disturbed by the scenario itself
    request_sent,       // client: request was queued on the flow; `bytes` is the expected answer size
    request_run,        // target: complete request received; `is_correct`: its bytes match
    request_abandoned,  // client: the time limit passed
    answer_bytes,       // client: part of the answer's body
    answer_complete,    // client: header and whole body received
    answer_foreign,     // client: a message that matches no request of this flow
};

// One event.
struct history_event {
    std::int64_t time_ms = 0;
    event_kind kind = event_kind::flow_established;
    bool is_datagram = false;  // of a UDP flow
    bool is_correct = true;    // whether the bytes match the id
    std::uint16_t service = 0;
    std::uint16_t target = 0;  // only in request_run
    std::uint32_t bytes = 0;
    std::uint64_t flow = 0;
    std::uint64_t request = 0;
};

using history = std::vector<history_event>;

}  // namespace agatepost::rig
