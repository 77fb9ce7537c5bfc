#include <absl/strings/str_split.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "cmd/command_func.h"
#include "host/admin_client_func.h"

namespace agatepost {

namespace {

constexpr int name_width = 18;

auto print_row(std::ostream& out, const std::string& name, std::string_view text) -> void {
    out << "  " << std::left << std::setw(name_width) << name << " " << text << "\n";
}

auto print_exit_codes(std::ostream& out) -> void {
    out << "\nexit codes:\n";
    print_row(out, "0", "success");
    print_row(out, "1", "the command was understood and failed");
    print_row(out, "2", "wrong command, flag, setting or document");
    print_row(out, "3", "another operator changed the object first");
}

auto print_settings(std::ostream& out, std::string_view names) -> void {
    const std::vector<std::string> wanted = absl::StrSplit(std::string(names), ',', absl::SkipWhitespace());
    out << "\nsettings (flag or environment variable; 'agatepost settings' has details):\n";
    for (const auto& row : setting_rows()) {
        if (names == "all" || std::find(wanted.begin(), wanted.end(), row.name) != wanted.end()) {
            const auto flag =
                row.type == setting_type::secret ? environment_name(row.name) : "--" + std::string(row.name);
            print_row(out, flag, row.help);
        }
    }
}

auto to_word(const nlohmann::json& value) -> std::string {
    return value.is_string() ? value.get<std::string>()
                             : value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Renders an object as NAME=VALUE pairs on one line; other values as text.
auto to_line(const nlohmann::json& value) -> std::string {
    if (!value.is_object()) {
        return to_word(value);
    }
    auto line = std::string();
    for (const auto& item : value.items()) {
        line += (line.empty() ? "" : " ") + item.key() + "=" + to_word(item.value());
    }
    return line;
}

}  // namespace

auto exit_code_of(error_kind kind) -> int {
    switch (kind) {
        case error_kind::invalid_setting:
        case error_kind::invalid_document:
            return exit_code::usage;
        case error_kind::conflict:
            return exit_code::conflict;
        default:
            return exit_code::failure;
    }
}

auto report_failure(const error& failure) -> int {
    std::cerr << "agatepost: " << failure.message << "\nremedy: " << failure.remedy << "\n";
    return exit_code_of(failure.kind);
}

auto print_usage(std::ostream& out) -> void {
    out << "usage: agatepost COMMAND [--flag=value ...]\n"
        << "       agatepost COMMAND --help\n\ncommands:\n";
    auto commands = plugin_registry<command_plugin>::instance().all();
    std::sort(commands.begin(), commands.end(),
              [](const auto* a, const auto* b) { return a->name < b->name; });
    for (const auto* command : commands) {
        print_row(out, std::string(command->name), command->summary);
    }
    print_exit_codes(out);
}

auto print_command_help(std::ostream& out, const command_plugin& command) -> void {
    out << "usage: agatepost " << command.name << " "
        << (command.usage.empty() ? "[--flag=value ...]" : command.usage) << "\n\n"
        << command.summary << "\n";
    if (command.flags != nullptr) {
        out << "\nflags:\n";
        for (const auto& flag : command.flags()) {
            const auto value = flag.value_name.empty() ? "" : "=" + std::string(flag.value_name);
            print_row(out, "--" + std::string(flag.name) + value, flag.help);
        }
    }
    if (!command.settings.empty()) {
        print_settings(out, command.settings);
    }
    if (!command.examples.empty()) {
        out << "\nexamples:\n";
        for (const auto line : absl::StrSplit(std::string(command.examples), '\n')) {
            out << "  " << line << "\n";
        }
    }
    print_exit_codes(out);
}

auto print_as_text(std::ostream& out, const nlohmann::json& value, int indent) -> void {
    const auto margin = std::string(static_cast<std::size_t>(indent), ' ');
    for (const auto& item : value.items()) {
        if (item.value().is_object()) {
            out << margin << item.key() << ":\n";
            print_as_text(out, item.value(), indent + 2);
        } else if (item.value().is_array()) {
            out << margin << item.key() << ": " << item.value().size() << "\n";
            for (const auto& element : item.value()) {
                out << margin << "  " << to_line(element) << "\n";
            }
        } else {
            out << margin << item.key() << ": " << to_word(item.value()) << "\n";
        }
    }
}

auto query_host(const settings& options, const std::string& target) -> result<nlohmann::json> {
    const auto keys = auth_keys_of(options);
    if (!keys) {
        return tl::unexpected<error>(keys.error());
    }
    const auto answer = fetch_admin_page(options.address("admin-address"), target, *keys);
    if (!answer) {
        return tl::unexpected<error>(answer.error());
    }
    auto document = nlohmann::json::parse(*answer, nullptr, false);
    if (!document.is_object()) {
        return make_error(error_kind::invalid_message, "the answer is not a JSON object",
                          "check that --admin-address is that of an agatepost host");
    }
    return document;
}

}  // namespace agatepost
