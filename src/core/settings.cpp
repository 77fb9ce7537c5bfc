#include "core/settings_func.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>

#include "core/text_func.h"

namespace agatepost {

namespace {

constexpr std::string_view environment_prefix = "AGATEPOST_";
constexpr std::size_t identifier_limit = 64;

using choices_function = auto(*)() -> std::vector<std::string>;

// Functions that return the choices known only at run time, by setting name.
auto registered_choices() -> std::map<std::string, choices_function>& {
    static std::map<std::string, choices_function> choices;
    return choices;
}

// Source of a setting's value.
enum class value_source {
    default_value,
    environment,
    flag,
};

// The value of a setting and its source.
struct sourced_value {
    std::string value;
    value_source source = value_source::default_value;
};

// The command line and the environment before the values are checked.
struct raw_arguments {
    std::map<std::string, sourced_value> settings;
    std::map<std::string, std::string> flags;
    std::vector<std::string> words;
    std::vector<error> problems;
};

auto invalid(std::string message, std::string remedy) -> error {
    return {error_kind::invalid_setting, std::move(message), std::move(remedy)};
}

auto source_text(const setting_row& row, value_source source) -> std::string {
    switch (source) {
        case value_source::flag:
            return absl::StrCat("from the flag --", std::string(row.name));
        case value_source::environment:
            return "from the environment variable " + environment_name(row.name);
        case value_source::default_value:
            return "the default";
    }
    return "";
}

auto is_identifier(const std::string& value) -> bool {
    return !value.empty() && value.size() <= identifier_limit &&
           std::all_of(value.begin(), value.end(), [](char c) {
               return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '.' || c == '_' || c == '-';
           });
}

auto is_hex_of_size(const std::string& value, std::int64_t digits) -> bool {
    return static_cast<std::int64_t>(value.size()) == digits &&
           std::all_of(value.begin(), value.end(),
                       [](char c) { return absl::ascii_isxdigit(static_cast<unsigned char>(c)); });
}

auto is_allowed(const setting_row& row, const std::string& value) -> bool {
    switch (row.type) {
        case setting_type::identifier:
            return is_identifier(value);
        case setting_type::number: {
            auto number = std::int64_t{0};
            return absl::SimpleAtoi(value, &number) && number >= row.minimum && number <= row.maximum;
        }
        case setting_type::endpoint:
            return parse_endpoint(value).has_value();
        case setting_type::endpoints: {
            const std::vector<std::string> parts = absl::StrSplit(value, ',', absl::SkipWhitespace());
            return std::all_of(parts.begin(), parts.end(),
                               [](const std::string& part) { return parse_endpoint(part).has_value(); });
        }
        case setting_type::choice: {
            const auto choices = setting_choices(row);
            return std::find(choices.begin(), choices.end(), value) != choices.end();
        }
        case setting_type::secret:
            return value.empty() || row.maximum == 0 || is_hex_of_size(value, row.maximum);
        case setting_type::text:
        case setting_type::list:
            return true;
    }
    return false;
}

// Returns the error of an invalid value, or nothing.
auto check_value(const setting_row& row, const sourced_value& given) -> std::optional<error> {
    const auto name = std::string(row.name);
    const auto source = source_text(row, given.source);
    if (row.type == setting_type::secret && given.source == value_source::flag) {
        return invalid(absl::StrCat("setting '", name, "' is not accepted on the command line, ",
                                    "where all users of the machine can read it"),
                       "set the environment variable " + environment_name(row.name));
    }
    if (is_allowed(row, given.value)) {
        return std::nullopt;
    }
    const auto allowed = allowed_values(row);
    const auto remedy =
        row.type == setting_type::secret
            ? absl::StrCat("set ", environment_name(row.name), " to ", allowed)
            : absl::StrCat("set --", name, " or ", environment_name(row.name), " to ", allowed);
    const auto shown = row.type == setting_type::secret ? std::string() : "'" + given.value + "', ";
    const auto hint = row.type == setting_type::choice ? suggestion(given.value, setting_choices(row)) : "";
    return invalid(absl::StrCat("setting '", name, "' is ", shown, source, ", not ", allowed, hint), remedy);
}

auto setting_names() -> std::vector<std::string> {
    auto names = std::vector<std::string>{};
    for (const auto& row : setting_rows()) {
        names.emplace_back(row.name);
    }
    return names;
}

// Reports environment variables that have the prefix but are not a setting. Their values may be secrets, so
// the errors do not show them.
auto check_environment(std::vector<error>& problems) -> void {
    auto known = std::vector<std::string>{};
    for (const auto& name : setting_names()) {
        known.push_back(environment_name(name));
    }
    for (auto** at = environ; *at != nullptr; ++at) {
        const auto entry = std::string_view(*at);
        const auto name = std::string(entry.substr(0, entry.find('=')));
        if (name.compare(0, environment_prefix.size(), environment_prefix) == 0 &&
            std::find(known.begin(), known.end(), name) == known.end()) {
            problems.push_back(invalid(
                absl::StrCat("environment variable ", name, " is not a setting", suggestion(name, known)),
                "correct or unset it; 'agatepost settings' lists all settings"));
        }
    }
}

// Classifies the arguments that are not known flags as words or unknown flags. The value of an unknown flag
// may be a secret, so the errors do not show it.
auto classify_unmatched(const std::vector<std::string>& unmatched, const std::vector<flag_row>& flags,
                        std::size_t word_limit, raw_arguments& out) -> void {
    auto known = setting_names();
    for (const auto& flag : flags) {
        known.emplace_back(flag.name);
    }
    for (const auto& argument : unmatched) {
        if (argument.compare(0, 1, "-") != 0 && out.words.size() < word_limit) {
            out.words.push_back(argument);
            continue;
        }
        const auto shown = argument.substr(0, argument.find('='));
        const auto bare = shown.substr(std::min(shown.find_first_not_of('-'), shown.size()));
        const auto nearest = nearest_text(bare, known);
        out.problems.push_back(invalid(
            absl::StrCat("'", shown, "' is not a flag",
                         nearest ? absl::StrCat("; did you mean '--", *nearest, "'?") : std::string()),
            "give settings as --name=value; 'agatepost settings' lists them"));
    }
}

auto parse_flags(const std::vector<std::string>& arguments, const std::vector<flag_row>& flags,
                 std::size_t word_limit, raw_arguments& out) -> void {
    auto options = cxxopts::Options("agatepost");
    options.allow_unrecognised_options();
    for (const auto& row : setting_rows()) {
        options.add_options()(std::string(row.name), "", cxxopts::value<std::string>());
    }
    for (const auto& flag : flags) {
        options.add_options()(std::string(flag.name), "",
                              flag.value_name.empty()
                                  ? std::shared_ptr<cxxopts::Value>(cxxopts::value<bool>())
                                  : std::shared_ptr<cxxopts::Value>(cxxopts::value<std::string>()));
    }
    auto pointers = std::vector<const char*>{"agatepost"};
    for (const auto& argument : arguments) {
        pointers.push_back(argument.c_str());
    }
    try {
        const auto parsed = options.parse(static_cast<int>(pointers.size()), pointers.data());
        for (const auto& row : setting_rows()) {
            const auto name = std::string(row.name);
            if (parsed.count(name) != 0) {
                out.settings[name] = {parsed[name].as<std::string>(), value_source::flag};
            }
        }
        for (const auto& flag : flags) {
            const auto name = std::string(flag.name);
            if (parsed.count(name) != 0) {
                out.flags[name] = flag.value_name.empty() ? (parsed[name].as<bool>() ? "true" : "false")
                                                          : parsed[name].as<std::string>();
            }
        }
        classify_unmatched(parsed.unmatched(), flags, word_limit, out);
    } catch (const cxxopts::exceptions::exception& e) {
        out.problems.push_back(
            invalid(e.what(), "give settings as --name=value; 'agatepost settings' lists them"));
    }
}

auto read_raw(const std::vector<std::string>& arguments, const std::vector<flag_row>& flags,
              std::size_t word_limit) -> raw_arguments {
    auto raw = raw_arguments{};
    parse_flags(arguments, flags, word_limit, raw);
    check_environment(raw.problems);
    for (const auto& row : setting_rows()) {
        auto given = sourced_value{std::string(row.default_value), value_source::default_value};
        if (const auto* value = std::getenv(environment_name(row.name).c_str())) {
            given = {value, value_source::environment};
        }
        const auto& used = raw.settings.emplace(row.name, std::move(given)).first->second;
        if (const auto problem = check_value(row, used)) {
            raw.problems.push_back(*problem);
        }
    }
    if (raw.settings["key"].value.empty() && !raw.settings["key-previous"].value.empty()) {
        raw.problems.push_back(invalid("setting 'key-previous' is set and 'key' is not",
                                       "set AGATEPOST_KEY to the new key, or unset AGATEPOST_KEY_PREVIOUS"));
    }
    return raw;
}

// Combines problems into one error whose message numbers them.
auto combine(const std::vector<error>& problems) -> error {
    if (problems.size() == 1) {
        return problems.front();
    }
    auto message = absl::StrCat(problems.size(), " things are wrong:");
    for (auto i = std::size_t{0}; i < problems.size(); ++i) {
        absl::StrAppend(&message, " (", i + 1, ") ", to_text(problems[i]));
    }
    return invalid(message, "correct all of them and start again");
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
    return std::string(environment_prefix) + absl::StrReplaceAll(upper, {{"-", "_"}});
}

setting_choices_registration::setting_choices_registration(std::string_view setting,
                                                           choices_function choices) {
    registered_choices()[std::string(setting)] = choices;
}

auto setting_choices(const setting_row& row) -> std::vector<std::string> {
    const auto found = registered_choices().find(std::string(row.name));
    auto choices =
        found != registered_choices().end()
            ? found->second()
            : std::vector<std::string>(absl::StrSplit(std::string(row.unit), '|', absl::SkipEmpty()));
    std::sort(choices.begin(), choices.end());
    return choices;
}

auto allowed_values(const setting_row& row) -> std::string {
    switch (row.type) {
        case setting_type::identifier:
            return absl::StrCat("1 to ", identifier_limit, " letters, digits, '.', '_' and '-'");
        case setting_type::number:
            return absl::StrCat("a number from ", row.minimum, " to ", row.maximum,
                                row.unit.empty() ? "" : " ", std::string(row.unit));
        case setting_type::endpoint:
            return "an address and port such as 127.0.0.1:6081 or [::1]:6081";
        case setting_type::endpoints:
            return "a comma-separated list of addresses and ports such as 127.0.0.1:6081";
        case setting_type::choice:
            return "one of: " + join_list(setting_choices(row));
        case setting_type::secret:
            return row.maximum == 0 ? "a text" : absl::StrCat(row.maximum, " hexadecimal digits");
        case setting_type::text:
            return "a text";
        case setting_type::list:
            return "a comma-separated list";
    }
    return "";
}

auto settings_markdown() -> std::string {
    auto page = std::string(
        "# Settings\n\n"
        "Written by `agatepost settings --markdown` from `src/table/settings.h`; `tests/run` fails if they "
        "differ.\n\n"
        "A setting is given as a flag (`--workers=2`) or as an environment variable (`AGATEPOST_WORKERS=2`). "
        "A "
        "flag goes before the\nenvironment, which goes before the default. Secrets are taken from the "
        "environment only.\n\n"
        "| setting | environment variable | allowed | default | meaning |\n"
        "| --- | --- | --- | --- | --- |\n");
    for (const auto& row : setting_rows()) {
        const auto is_secret = row.type == setting_type::secret;
        const auto flag = absl::StrCat("`", is_secret ? "" : "--", std::string(row.name), "`");
        const auto shown =
            row.default_value.empty() ? std::string("none") : "`" + std::string(row.default_value) + "`";
        absl::StrAppend(&page, "| ", flag, " | `", environment_name(row.name), "` | ", allowed_values(row),
                        " | ", shown, " | ", std::string(row.help), " |\n");
    }
    return page;
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
    auto read = read_arguments(arguments, {});
    if (!read) {
        return tl::unexpected<error>(read.error());
    }
    return std::move(read->options);
}

auto read_arguments(const std::vector<std::string>& arguments, const std::vector<flag_row>& flags,
                    std::size_t word_limit) -> result<command_arguments> {
    auto raw = read_raw(arguments, flags, word_limit);
    if (!raw.problems.empty()) {
        return tl::unexpected<error>(combine(raw.problems));
    }
    auto values = std::map<std::string, std::string>{};
    for (auto& [name, given] : raw.settings) {
        values.emplace(name, std::move(given.value));
    }
    return command_arguments{settings(std::move(values)), std::move(raw.flags), std::move(raw.words)};
}

auto argument_problems(const std::vector<std::string>& arguments, const std::vector<flag_row>& flags,
                       std::size_t word_limit) -> std::vector<error> {
    return read_raw(arguments, flags, word_limit).problems;
}

}  // namespace agatepost
