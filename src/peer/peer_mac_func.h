// Authentication of messages between hosts: keys, message authentication codes, protection against replay.
#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "core/counter_func.h"
#include "core/settings_func.h"

namespace agatepost {

constexpr std::size_t mac_size = 16;
using peer_key = std::array<unsigned char, 32>;

// The keys that are accepted; the first is used for sending. Without any, messages are not authenticated.
struct peer_keys {
    std::vector<peer_key> accepted;

    friend auto operator==(const peer_keys& a, const peer_keys& b) -> bool {
        return a.accepted == b.accepted;
    }
};

// Reads the settings key and key-previous; error_kind::invalid_setting if one is not 64 hexadecimal digits.
auto read_peer_keys(const settings& options) -> result<peer_keys>;

// Parses 64 hexadecimal digits.
auto parse_peer_key(std::string_view text) -> result<peer_key>;

// Keyed BLAKE2b over the parts, each preceded by its length, truncated to mac_size bytes.
auto compute_mac(const peer_key& key, std::initializer_list<std::string_view> parts) -> std::string;

// Returns whether the code was made with an accepted key.
auto is_valid_mac(const peer_keys& keys, std::initializer_list<std::string_view> parts, std::string_view mac)
    -> bool;

// Unkeyed BLAKE2b of 32 bytes over the parts, each preceded by its length.
auto compute_digest(std::initializer_list<std::string_view> parts) -> std::string;

// Returns random bytes.
auto random_bytes(std::size_t size) -> std::string;

// Datagrams whose time differs from the receiver's wall clock by more than this are dropped, so the clocks of
// hosts must agree within it.
constexpr std::int64_t datagram_window_ms = 10000;

// Adds header (version, wall clock, sequence) and code to a payload. The receiver's address is part of what
// is authenticated, so that a datagram cannot be replayed to another host.
auto seal_datagram(const peer_keys& keys, std::string_view receiver, std::int64_t wall_ms,
                   std::string_view payload) -> std::string;

// Checks received datagrams. For one thread.
class datagram_checker {
public:
    datagram_checker(peer_keys keys, std::string receiver)
        : keys_(std::move(keys)), receiver_(std::move(receiver)) {}

    // Returns the payload, a part of `datagram`, or the counter of the reason for dropping it.
    auto open(std::string_view datagram, std::int64_t wall_ms) -> tl::expected<std::string_view, counter>;

private:
    auto is_replay(std::string_view mac, std::int64_t wall_ms) -> bool;

    peer_keys keys_;
    std::string receiver_;
    // Codes seen in the current and the previous generation; a generation lasts as long as a datagram can be
    // accepted.
    std::unordered_set<std::uint64_t> seen_;
    std::unordered_set<std::uint64_t> seen_before_;
    std::int64_t generation_start_ms_ = 0;
};

}  // namespace agatepost
