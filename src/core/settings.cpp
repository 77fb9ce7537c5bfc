#include "core/settings_func.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>

#include <cstdlib>
#include <cxxopts.hpp>

namespace agatepost {

namespace {

auto check_number(const setting_row& row, const std::string& value) -> result<void> {
    auto number = std::int64_t{0};
    if (absl::SimpleAtoi(value, &number) && number >= row.minimum && number <= row.maximum) {
        return {};
    }
    const auto range = std::to_string(row.minimum) + " to " + std::to_string(row.maximum) +
                       (row.unit.empty() ? "" : " " + std::string(row.unit));
    return make_error(error_kind::invalid_setting,
                      "--" + std::string(row.name) + ": '" + value + "' is not a number from " + range,
                      "set --" + std::string(row.name) + " or " + environment_name(row.name) +
                          " to a number from " + range);
}

auto check_value(const setting_row& row, const std::string& value) -> result<void> {
    if (row.type == setting_type::number) {
        return check_number(row, value);
    }
    if (row.type == setting_type::endpoint) {
        const auto parsed = parse_endpoint(value);
        if (!parsed) {
            return make_error(error_kind::invalid_setting,
                              "--" + std::string(row.name) + ": " + parsed.error().message,
                              parsed.error().remedy);
        }
    }
    return {};
}

auto default_or_environment(const setting_row& row) -> std::string {
    const auto* value = std::getenv(environment_name(row.name).c_str());
    return value != nullptr ? std::string(value) : std::string(row.default_value);
}

auto parse_flags(const std::vector<std::string>& arguments) -> result<std::map<std::string, std::string>> {
    auto options = cxxopts::Options("agatepost");
    for (const auto& row : setting_rows()) {
        options.add_options()(std::string(row.name), std::string(row.help), cxxopts::value<std::string>());
    }
    auto pointers = std::vector<const char*>{"agatepost"};
    for (const auto& argument : arguments) {
        pointers.push_back(argument.c_str());
    }
    auto values = std::map<std::string, std::string>{};
    try {
        const auto parsed = options.parse(static_cast<int>(pointers.size()), pointers.data());
        if (!parsed.unmatched().empty()) {
            return make_error(error_kind::invalid_setting,
                              "'" + parsed.unmatched().front() + "' is not a flag",
                              "give settings as --name=value; 'agatepost settings' lists them");
        }
        for (const auto& row : setting_rows()) {
            const auto name = std::string(row.name);
            if (parsed.count(name) != 0) {
                values[name] = parsed[name].as<std::string>();
            }
        }
    } catch (const cxxopts::exceptions::exception& e) {
        return make_error(error_kind::invalid_setting, e.what(),
                          "'agatepost settings' lists all settings and their values");
    }
    return values;
}

auto find_row(std::string_view name) -> const setting_row& {
    for (const auto& row : setting_rows()) {
        if (row.name == name) {
            return row;
        }
    }
    std::abort();
}

}  // namespace

auto setting_rows() -> const std::vector<setting_row>& {
    static const std::vector<setting_row> rows = {
#define SETTING(name, type, unit, default_value, minimum, maximum, help) \
    {name, setting_type::type, unit, default_value, minimum, maximum, help},
#include "table/settings.h"
#undef SETTING
    };
    return rows;
}

auto environment_name(std::string_view setting) -> std::string {
    const auto upper = absl::AsciiStrToUpper(absl::string_view(setting.data(), setting.size()));
    return "AGATEPOST_" + absl::StrReplaceAll(upper, {{"-", "_"}});
}

auto settings::text(std::string_view name) const -> const std::string& {
    return values_.at(std::string(find_row(name).name));
}

auto settings::number(std::string_view name) const -> std::int64_t {
    auto number = std::int64_t{0};
    if (!absl::SimpleAtoi(text(name), &number)) {
        std::abort();
    }
    return number;
}

auto settings::address(std::string_view name) const -> endpoint {
    const auto parsed = parse_endpoint(text(name));
    if (!parsed) {
        std::abort();
    }
    return *parsed;
}

auto settings::list(std::string_view name) const -> std::vector<std::string> {
    return absl::StrSplit(text(name), ',', absl::SkipWhitespace());
}

auto read_settings(const std::vector<std::string>& arguments) -> result<settings> {
    auto flags = parse_flags(arguments);
    if (!flags) {
        return tl::unexpected<error>(flags.error());
    }
    for (const auto& row : setting_rows()) {
        const auto name = std::string(row.name);
        const auto& value = flags->emplace(name, default_or_environment(row)).first->second;
        const auto checked = check_value(row, value);
        if (!checked) {
            return tl::unexpected<error>(checked.error());
        }
    }
    return settings(std::move(*flags));
}

}  // namespace agatepost
