// TCP implementation for the rig's clients and targets: handshake, retransmission with back-off, fast
// retransmission, timestamps with PAWS (RFC 7323), reassembly, FIN, RST and time-outs. It performs no I/O.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>

#include "net/packet_type.h"
#include "packet_build_func.h"

namespace agatepost::rig {

// Connection states. Flags of tcp_connection represent the closing states.
enum class tcp_state : std::uint8_t {
    syn_sent,      // client: waits for SYN-ACK
    syn_received,  // target: waits for the final ACK of the handshake
    established,   // handshake complete
    closed,        // ended by FIN from both sides, reset or time-out
};

// Packets and events produced by one call on a connection.
struct tcp_output {
    std::vector<packet_bytes> packets;
    std::string received;      // in-order payload bytes
    bool connected = false;    // the handshake was completed
    bool peer_closed = false;  // the peer's FIN and all data before it were received
    bool finished = false;     // both FINs are acknowledged
    bool refused = false;      // the SYN was answered with a reset
    bool was_reset = false;    // an open connection was reset
    bool timed_out = false;    // the retransmission limit was reached
};

constexpr std::int64_t no_deadline = std::numeric_limits<std::int64_t>::max();

// One end of a connection. Times are milliseconds on the caller's clock, so tests can simulate time.
struct tcp_connection {
    endpoint local;
    endpoint remote;
    tcp_state state = tcp_state::closed;
    bool timestamps = false;       // offered, then negotiated
    bool close_requested = false;  // FIN follows the last byte
    bool fin_sent = false;         // its sequence number precedes send_next
    bool fin_acked = false;        // the peer acknowledged this end's FIN
    bool has_peer_fin = false;     // the peer's FIN was received in order
    std::uint32_t send_unacked = 0;
    std::uint32_t send_next = 0;
    std::uint32_t send_highest = 0;  // end of the data sent so far
    std::uint32_t receive_start = 0;
    std::uint32_t receive_next = 0;
    std::string outgoing;                               // bytes starting at send_unacked
    std::map<std::uint32_t, std::string> out_of_order;  // segments after a gap, by offset from receive_start
    std::uint32_t out_of_order_fin = 0;                 // offset of a FIN received after a gap; 0: none
    std::uint32_t timestamp_recent = 0;                 // TSval to echo
    std::int64_t timestamp_recent_ms = 0;               // when timestamp_recent was received
    std::uint32_t timestamp_offset = 0;                 // of this end's timestamp clock
    int retries = 0;                                    // of the oldest unacknowledged segment
    int duplicate_acks = 0;                             // in a row
    std::int64_t retransmit_ms = 0;                     // current retransmission time-out
    std::int64_t deadline_ms = no_deadline;             // when tcp_tick must run
    std::uint64_t paws_drops = 0;                       // segments dropped for an old timestamp
};

// Starts a client connection and emits its SYN.
auto tcp_connect(const endpoint& local, const endpoint& remote, bool timestamps,
                 std::uint32_t initial_sequence, std::int64_t now_ms, tcp_output& out) -> tcp_connection;

// Accepts a SYN at a target and emits the SYN-ACK.
auto tcp_accept(const packet_headers& syn, const std::uint8_t* packet, std::uint32_t initial_sequence,
                std::int64_t now_ms, tcp_output& out) -> tcp_connection;

// Processes one received packet of the connection.
auto tcp_receive(tcp_connection& tcp, const packet_headers& headers, const std::uint8_t* packet,
                 std::int64_t now_ms, tcp_output& out) -> void;

// Queues bytes and sends what the window allows.
auto tcp_send(tcp_connection& tcp, std::string_view bytes, std::int64_t now_ms, tcp_output& out) -> void;

// Sends FIN after the last byte.
auto tcp_close(tcp_connection& tcp, std::int64_t now_ms, tcp_output& out) -> void;

// Sends a reset and closes the connection.
auto tcp_abort(tcp_connection& tcp, tcp_output& out) -> void;

// Retransmits, or times out at the retry limit, if the deadline has been reached.
auto tcp_tick(tcp_connection& tcp, std::int64_t now_ms, tcp_output& out) -> void;

}  // namespace agatepost::rig
