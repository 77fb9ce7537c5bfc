// A small TCP for the rig's clients and targets: handshake, segments, retransmission with back-off, fast
// retransmission, timestamps with PAWS (RFC 7323), reassembly, FIN, RST and time-outs. No I/O of its own.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>

#include "net/packet_type.h"
#include "packet_build_func.h"

namespace agatepost::rig {

// States that the rig tells apart; the closing states are the flags of tcp_connection.
enum class tcp_state : std::uint8_t {
    syn_sent,      // a client that waits for SYN-ACK
    syn_received,  // a target that waits for the last step of the handshake
    established,   // data flows
    closed,        // ended by FIN of both sides, reset or time-out
};

// What one call of a connection produced.
struct tcp_output {
    std::vector<packet_bytes> packets;
    std::string received;      // bytes in order
    bool connected = false;    // the handshake was completed
    bool peer_closed = false;  // the other side sent FIN and everything before it has been received
    bool finished = false;     // both FINs were acknowledged
    bool refused = false;      // the SYN was answered with a reset
    bool was_reset = false;    // an open connection was reset
    bool timed_out = false;    // the retransmission limit was reached
};

constexpr std::int64_t no_deadline = std::numeric_limits<std::int64_t>::max();

// One end of a connection. Times are the caller's milliseconds and may be set freely in tests.
struct tcp_connection {
    endpoint local;
    endpoint remote;
    tcp_state state = tcp_state::closed;
    bool timestamps = false;    // offered, then agreed by both ends
    bool wants_close = false;   // FIN follows the last byte
    bool fin_sent = false;      // at send_next or before
    bool fin_acked = false;     // the other side has our FIN
    bool has_peer_fin = false;  // the other side's FIN was received in order
    std::uint32_t send_unacked = 0;
    std::uint32_t send_next = 0;
    std::uint32_t send_highest = 0;  // end of what was ever sent
    std::uint32_t receive_start = 0;
    std::uint32_t receive_next = 0;
    std::string outgoing;                        // bytes from send_unacked on
    std::map<std::uint32_t, std::string> early;  // received past a gap, by offset from receive_start
    std::uint32_t early_fin = 0;                 // offset of a FIN received past a gap; 0: none
    std::uint32_t timestamp_recent = 0;          // TSval to echo
    std::int64_t timestamp_recent_ms = 0;        // when it was received
    std::uint32_t timestamp_offset = 0;          // of this end's timestamp clock
    int retries = 0;                             // of the oldest unacknowledged segment
    int duplicate_acks = 0;                      // in a row
    std::int64_t retransmit_ms = 0;              // current retransmission time-out
    std::int64_t deadline_ms = no_deadline;      // when tcp_tick is due
    std::uint64_t paws_drops = 0;                // segments with an old timestamp
};

// Opens a connection from a client.
auto tcp_connect(const endpoint& local, const endpoint& remote, bool timestamps,
                 std::uint32_t initial_sequence, std::int64_t now_ms, tcp_output& out) -> tcp_connection;

// Accepts the SYN with these headers at a target.
auto tcp_accept(const packet_headers& syn, const std::uint8_t* packet, std::uint32_t initial_sequence,
                std::int64_t now_ms, tcp_output& out) -> tcp_connection;

// Takes one packet of the connection.
auto tcp_receive(tcp_connection& tcp, const packet_headers& headers, const std::uint8_t* packet,
                 std::int64_t now_ms, tcp_output& out) -> void;

// Sends bytes, now or when the window allows.
auto tcp_send(tcp_connection& tcp, std::string_view bytes, std::int64_t now_ms, tcp_output& out) -> void;

// Sends FIN after the last byte.
auto tcp_close(tcp_connection& tcp, std::int64_t now_ms, tcp_output& out) -> void;

// Sends a reset and closes.
auto tcp_abort(tcp_connection& tcp, tcp_output& out) -> void;

// Retransmits or gives up if the deadline has been reached.
auto tcp_tick(tcp_connection& tcp, std::int64_t now_ms, tcp_output& out) -> void;

}  // namespace agatepost::rig
