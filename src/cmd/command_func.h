// Functions shared by the sub-commands.
#pragma once

#include <iosfwd>
#include <nlohmann/json_fwd.hpp>

#include "cmd/command_base.h"
#include "core/error_type.h"

namespace agatepost {

// Returns the exit code for a failure of this kind.
auto exit_code_of(error_kind kind) -> int;

// Writes the error and its remedy to standard error and returns the exit code.
auto report_failure(const error& failure) -> int;

// Writes the list of commands and the exit codes.
auto print_usage(std::ostream& out) -> void;

// Writes usage, flags, settings, examples and exit codes of one command.
auto print_command_help(std::ostream& out, const command_plugin& command) -> void;

// Writes a JSON value as readable text: one line per member, nested objects indented, each list element on
// one line.
auto print_as_text(std::ostream& out, const nlohmann::json& value, int indent = 0) -> void;

// Queries the admin port at the setting admin-address and returns the parsed JSON response.
auto query_host(const settings& options, const std::string& target) -> result<nlohmann::json>;

}  // namespace agatepost
