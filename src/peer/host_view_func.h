// Rendezvous hashing over the zone's live hosts.
#pragma once

#include "peer/host_view_type.h"

namespace agatepost {

// Returns the host at `rank` (0 is the highest) for a key, or nullptr if there are not that many hosts.
auto host_of_rank(const host_view& view, std::uint64_t key_hash, std::size_t rank) -> const host_record*;

// Returns whether a live host has this data address.
auto is_known_data_address(const host_view& view, const endpoint& address) -> bool;

// Returns whether packets relayed from this data address are accepted: it is that of a live host or of one
// that departed recently.
auto is_relay_address(const host_view& view, const endpoint& address) -> bool;

}  // namespace agatepost
