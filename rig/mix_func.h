// Lookup of mixes, and their configuration for the hosts.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "mix_type.h"

namespace agatepost::rig {

// Returns the mix with this name, or nullptr.
auto find_mix(std::string_view name) -> const mix*;

// Returns the targets of a mix in all `zones`. Addresses are 127.10.ZONE.N; indexes are unique per pool.
auto targets_of(const mix& workload, const std::vector<std::string>& zones, std::uint16_t health_port)
    -> std::vector<mix_target>;

// Return the address that clients connect to, and the port its targets listen on.
auto service_address(std::size_t service) -> endpoint;
auto service_target_port(std::size_t service) -> std::uint16_t;
// Returns the service of a target port, or a number past the last service.
auto service_of_port(std::uint16_t target_port) -> std::size_t;

// Renders the configuration as documents: {"profiles": [...], "services": [...], "targets": [...]}.
auto configuration_document(const mix& workload, const std::vector<mix_target>& targets, zone_rule zones)
    -> nlohmann::json;

}  // namespace agatepost::rig
