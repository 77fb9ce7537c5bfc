// Settings of table/settings.h, read from flags and environment variables. A flag overrides the environment,
// which overrides the default.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/error_type.h"
#include "net/address_type.h"

namespace agatepost {

// Types of settings. The type determines how a value is checked.
enum class setting_type {
    text,        // any text
    identifier,  // 1 to 64 letters, digits, '.', '_' and '-'
    number,      // a whole number within the row's bounds
    endpoint,    // ADDRESS:PORT
    endpoints,   // comma-separated ADDRESS:PORT
    list,        // comma-separated text
    choice,      // one of the values in the row's unit, or of the registered choices
    secret,      // text that is never printed and only accepted from the environment
};

// One row of table/settings.h.
struct setting_row {
    std::string_view name;
    setting_type type;
    std::string_view unit;
    std::string_view default_value;
    std::int64_t minimum;
    std::int64_t maximum;
    std::string_view help;
};

// A flag of one command that is not a setting.
struct flag_row {
    std::string_view name;
    std::string_view value_name;  // empty: a switch without a value
    std::string_view help;
};

// Returns all rows in table order.
auto setting_rows() -> const std::vector<setting_row>&;

// Returns the name of the environment variable of a setting.
auto environment_name(std::string_view setting) -> std::string;

// Registers the values of a choice setting that are known only at run time, such as the names of plug-ins.
// Used as a static object, so that they are registered before main runs.
struct setting_choices_registration {
    setting_choices_registration(std::string_view setting, auto(*choices)()->std::vector<std::string>);
};

// Returns the allowed values of a choice setting, sorted.
auto setting_choices(const setting_row& row) -> std::vector<std::string>;

// Describes the values that a setting allows, such as "a number from 1 to 64 threads".
auto allowed_values(const setting_row& row) -> std::string;

// Renders the reference page of all settings in Markdown. Each run of a binary returns the same text.
auto settings_markdown() -> std::string;

// Checked values of all settings. Accessors abort if no setting has the name or its value does not parse as
// the requested type, which is a programming error.
class settings {
public:
    explicit settings(std::map<std::string, std::string> values) : values_(std::move(values)) {}

    auto text(std::string_view name) const -> const std::string&;
    auto number(std::string_view name) const -> std::int64_t;
    auto address(std::string_view name) const -> endpoint;
    auto list(std::string_view name) const -> std::vector<std::string>;

    friend auto operator==(const settings& a, const settings& b) -> bool { return a.values_ == b.values_; }

private:
    std::map<std::string, std::string> values_;
};

// The arguments of a command: settings, its own flags, and positional words.
struct command_arguments {
    settings options;
    std::map<std::string, std::string> flags;  // the given flags; a switch has the value "true"
    std::vector<std::string> words;

    auto has(const std::string& flag) const -> bool { return flags.count(flag) != 0; }

    // Returns the value of a flag, or an empty text if it was not given.
    auto value(const std::string& flag) const -> std::string {
        const auto found = flags.find(flag);
        return found == flags.end() ? std::string() : found->second;
    }
};

// Reads all settings from the command line (without the program and sub-command names) and the environment.
// The error lists all problems: invalid settings with the value (unless it is a secret), its source, the
// allowed values and the remedy; unknown flags and AGATEPOST_ variables with the most similar known name.
auto read_settings(const std::vector<std::string>& arguments) -> result<settings>;

// Like read_settings, for a command with its own flags and up to `word_limit` positional words.
auto read_arguments(const std::vector<std::string>& arguments, const std::vector<flag_row>& flags,
                    std::size_t word_limit = 0) -> result<command_arguments>;

// Returns each problem as a separate error; empty if the arguments and the environment are valid.
auto argument_problems(const std::vector<std::string>& arguments, const std::vector<flag_row>& flags = {},
                       std::size_t word_limit = 0) -> std::vector<error>;

}  // namespace agatepost
