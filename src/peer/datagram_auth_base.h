// Authentication of datagrams between hosts and protection against replay.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_set>

#include "core/counter_func.h"
#include "core/message_auth_func.h"

namespace agatepost {

// Datagrams whose time differs more from the receiver's wall clock are dropped, so the clocks of hosts must
// agree within this.
constexpr std::int64_t datagram_window_ms = 10000;

// Adds a header (version, wall clock, sequence) and an authentication code to a payload. The code covers the
// receiver's address, so that a datagram cannot be replayed to another host.
auto seal_datagram(const auth_keys& keys, std::string_view receiver, std::int64_t wall_ms,
                   std::string_view payload) -> std::string;

// Checks received datagrams. Not thread-safe.
class datagram_checker {
public:
    datagram_checker(const auth_keys& keys, std::string receiver)
        : keys_(keys), receiver_(std::move(receiver)) {}

    // Returns the payload, a part of `datagram`, or the counter of the reason for dropping it.
    auto open(std::string_view datagram, std::int64_t wall_ms) -> tl::expected<std::string_view, counter>;

private:
    auto is_replay(std::string_view mac, std::int64_t wall_ms) -> bool;

    auth_keys keys_;
    std::string receiver_;
    // Codes seen in the current and the previous generation; a generation lasts as long as a datagram can be
    // accepted.
    std::unordered_set<std::uint64_t> seen_;
    std::unordered_set<std::uint64_t> seen_before_;
    std::int64_t generation_start_ms_ = 0;
};

}  // namespace agatepost
