// Carriers: 32-bit values in the packets of clients from which any host finds the target of an open flow.
// Free functions over the directory; no I/O, no clock. See docs/design/carriers.md.
//
// Names of targets are longer than a carrier, so two targets may share one. The tests are edge_carrier_test.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "edge/directory_base.h"

namespace agatepost::edge {

// Carriers of one target. The second and third are for flows that open while another target shares the first.
constexpr std::size_t carriers_per_target = 3;
using target_carriers = std::array<std::uint32_t, carriers_per_target>;

// Returns the carriers of a target, alike on all hosts. 0 is none: packets without a target have it.
auto carriers_of(const target_entry& entry) -> target_carriers;

// Records that the target may have flows with any of its carriers.
auto claim_carriers(directory& known, target_index index) -> void;

// Ends the claims of a target that is erased.
auto release_carriers(directory& known, target_index index) -> void;

// Returns the targets that share a carrier; nullptr if there are not several. Any of them may have flows with
// it that opened while their host did not know the others.
auto find_sharers(const directory& known, std::uint32_t carrier) -> const std::vector<target_index>*;

// Returns the target that a carrier names on its own; nothing if there is none or several share it.
auto find_carrier(const directory& known, std::uint32_t carrier) -> std::optional<target_index>;

// Returns the carrier that identifies a target in messages between hosts.
auto message_carrier(const target_record& target) -> std::uint32_t;

}  // namespace agatepost::edge
