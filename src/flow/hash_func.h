// Hashes that are the same on every host.
#pragma once

#include <cstdint>
#include <string_view>

#include "flow/flow_type.h"

namespace agatepost {

// Hash of a flow key.
auto id_of(const flow_key& key) -> flow_id;

// Hash of a text.
auto stable_hash(std::string_view text) -> std::uint64_t;

// Combines two hashes, for rendezvous scores.
auto mix(std::uint64_t a, std::uint64_t b) -> std::uint64_t;

// Score of a candidate in weighted rendezvous hashing; the highest score wins. Each candidate wins a share of
// keys in proportion to its weight. Adding or removing a candidate moves only the keys that it wins or won.
auto rendezvous_score(std::uint64_t key_hash, std::uint64_t candidate_hash, double weight) -> double;

}  // namespace agatepost
