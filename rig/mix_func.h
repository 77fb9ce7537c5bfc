// Mixes by name, and the configuration that puts them before the hosts.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "mix_type.h"

namespace agatepost::rig {

// Returns the mix of this name, or nullptr.
auto find_mix(std::string_view name) -> const mix*;

// Returns the targets of a mix in each of `zones`. Addresses are 127.10.ZONE.N, indexes are unique in a pool.
auto targets_of(const mix& workload, const std::vector<std::string>& zones, std::uint16_t health_port)
    -> std::vector<mix_target>;

// Returns the address that clients connect to, and the port where its targets listen.
auto service_address(std::size_t service) -> endpoint;
auto service_target_port(std::size_t service) -> std::uint16_t;
// Returns the service that listens at a target port, or a number past the last service.
auto service_of_port(std::uint16_t target_port) -> std::size_t;

// Renders everything as documents: {"profiles": [...], "services": [...], "targets": [...]}.
auto configuration_document(const mix& workload, const std::vector<mix_target>& targets, zone_rule zones)
    -> nlohmann::json;

}  // namespace agatepost::rig
