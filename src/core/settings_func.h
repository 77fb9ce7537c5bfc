// Settings from flags and environment variables. All come from table/settings.h; a flag goes before the
// environment, which goes before the default.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/error_type.h"
#include "net/address_type.h"

namespace agatepost {

// Types of settings, which decide how a value is checked.
enum class setting_type {
    text,      // any text
    number,    // a whole number within the row's bounds
    endpoint,  // ADDRESS:PORT
    list,      // comma-separated text
    secret,    // text that is never printed
};

// One row of the table.
struct setting_row {
    std::string_view name;
    setting_type type;
    std::string_view unit;
    std::string_view default_value;
    std::int64_t minimum;
    std::int64_t maximum;
    std::string_view help;
};

// Returns all rows in table order.
auto setting_rows() -> const std::vector<setting_row>&;

// Returns the name of the environment variable of a setting.
auto environment_name(std::string_view setting) -> std::string;

// Checked values of all settings. Accessors abort on a name that is not in the table or has another type,
// which is a programming error.
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

// Reads all settings from the command line (without the program and sub-command names) and the environment.
// Returns the first setting that is unknown or has a wrong value, with the allowed range.
auto read_settings(const std::vector<std::string>& arguments) -> result<settings>;

}  // namespace agatepost
