// Hashes that every host computes alike.
#pragma once

#include <cstdint>
#include <string_view>

#include "flow/flow_type.h"

namespace agatepost {

// Identity of a flow, the same on every host.
auto id_of(const flow_key& key) -> flow_id;

// Stable hash of a text.
auto stable_hash(std::string_view text) -> std::uint64_t;

// Mixes two hashes into one; used for rendezvous scores.
auto mix(std::uint64_t a, std::uint64_t b) -> std::uint64_t;

// Score of a candidate in weighted rendezvous hashing; the highest score wins. Each candidate wins a share of
// keys in proportion to its weight, and keeps its keys when others come and go.
auto rendezvous_score(std::uint64_t key_hash, std::uint64_t candidate_hash, double weight) -> double;

}  // namespace agatepost
