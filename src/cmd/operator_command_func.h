// Shared by the operators' commands: arguments, the store, and output as text or JSON.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/operator_func.h"
#include "core/error_type.h"
#include "core/settings_func.h"
#include "store/store_base.h"

namespace agatepost {

// The arguments of a command by kind. Flags of the command itself are separate from the settings.
struct operator_arguments {
    std::vector<std::string> words;            // arguments that are not flags
    std::map<std::string, std::string> flags;  // json, dry-run, force, file, revision; without the dashes
    std::vector<std::string> settings;

    auto has(const std::string& flag) const -> bool { return flags.count(flag) != 0; }

    friend auto operator==(const operator_arguments& a, const operator_arguments& b) -> bool {
        return a.words == b.words && a.flags == b.flags && a.settings == b.settings;
    }
};

auto classify_arguments(const std::vector<std::string>& arguments) -> operator_arguments;

// Opens the store that the settings name.
auto open_store(const operator_arguments& arguments) -> result<store_client>;

// Reads the index quarantine, --revision, --force and --dry-run.
auto read_operator_options(const operator_arguments& arguments) -> result<operator_options>;

auto read_text_file(const std::string& path) -> result<std::string>;

// Prints a change: with --json one JSON object per line, otherwise the fields that differ.
auto print_change(const operator_arguments& arguments, const object_change& change) -> void;

// Prints a failure and returns its exit code. `repeat` is the command line to repeat.
auto print_failure(const operator_arguments& arguments, const error& failure, const std::string& repeat)
    -> int;

// Renders a command line for repetition: quoted for a shell, without --revision.
auto render_command_line(const std::string& command, const std::vector<std::string>& arguments)
    -> std::string;

}  // namespace agatepost
