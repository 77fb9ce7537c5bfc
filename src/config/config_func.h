// Converts configuration documents between JSON and objects, and validates the rules between objects.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "config/config_type.h"
#include "core/error_type.h"

namespace agatepost {

// Parses one object of the given kind (profile, service, target). The error names the invalid field and its
// remedy.
auto parse_object(std::string_view kind, const nlohmann::json& document) -> result<config_entry>;

// Renders an object as the JSON document that parse_object accepts.
auto to_json(const config_entry& entry) -> nlohmann::json;

// Parses a whole document: {"profiles": [...], "services": [...], "targets": [...]}. All entries get
// the given revision.
auto parse_configuration(std::string_view text, std::uint64_t revision) -> result<configuration>;

// Validates the rules between objects: references exist, indexes and (address, port, protocol) are unique.
auto validate(const configuration& config) -> result<void>;

}  // namespace agatepost
