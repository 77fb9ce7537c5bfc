#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

#include "cmd/command_base.h"
#include "cmd/operator_command_func.h"

namespace agatepost {

namespace {

using nlohmann::json;

auto kind_name(error_kind kind) -> const char* {
    switch (kind) {
        case error_kind::invalid_setting:
            return "invalid_setting";
        case error_kind::invalid_document:
            return "invalid_document";
        case error_kind::not_found:
            return "not_found";
        case error_kind::conflict:
            return "conflict";
        case error_kind::store_unavailable:
            return "store_unavailable";
        case error_kind::outcome_unknown:
            return "outcome_unknown";
        default:
            return "failure";
    }
}

}  // namespace

auto classify_arguments(const std::vector<std::string>& arguments) -> operator_arguments {
    static const auto command_flags = std::set<std::string>{"json", "dry-run", "force", "file", "revision"};
    auto classified = operator_arguments{};
    for (const auto& argument : arguments) {
        if (argument.rfind("--", 0) != 0) {
            classified.words.push_back(argument);
            continue;
        }
        const auto equals = argument.find('=');
        const auto name = argument.substr(2, equals == std::string::npos ? equals : equals - 2);
        if (command_flags.count(name) == 0) {
            classified.settings.push_back(argument);
        } else {
            classified.flags[name] = equals == std::string::npos ? "" : argument.substr(equals + 1);
        }
    }
    return classified;
}

auto open_store(const operator_arguments& arguments) -> result<store_client> {
    const auto options = read_settings(arguments.settings);
    if (!options) {
        return tl::unexpected<error>(options.error());
    }
    const auto* plugin = plugin_registry<store_plugin>::instance().find(options->text("store"));
    if (plugin == nullptr) {
        return make_error(error_kind::invalid_setting,
                          "--store: '" + options->text("store") + "' does not exist", "use etcd or file");
    }
    return plugin->open(*options);
}

auto read_operator_options(const operator_arguments& arguments) -> result<operator_options> {
    const auto values = read_settings(arguments.settings);
    if (!values) {
        return tl::unexpected<error>(values.error());
    }
    auto options = operator_options{};
    options.quarantine_ms = values->number("index-quarantine");
    options.is_forced = arguments.has("force");
    options.is_dry_run = arguments.has("dry-run");
    if (arguments.has("revision") &&
        !absl::SimpleAtoi(arguments.flags.at("revision"), &options.expected_revision)) {
        return make_error(error_kind::invalid_setting, "--revision is not a number",
                          "give the revision that 'get' shows");
    }
    return options;
}

auto read_text_file(const std::string& path) -> result<std::string> {
    auto file = std::ifstream(path);
    auto text = std::stringstream{};
    text << file.rdbuf();
    if (!file) {
        return make_error(error_kind::invalid_setting, "cannot read '" + path + "'", "name a readable file");
    }
    return text.str();
}

auto print_change(const operator_arguments& arguments, const object_change& change) -> void {
    const auto is_dry_run = arguments.has("dry-run");
    if (arguments.has("json")) {
        std::cout << json{{"key", change.key},
                          {"revision", change.revision},
                          {"changed", change.before != change.after},
                          {"dry_run", is_dry_run},
                          {"before", change.before},
                          {"after", change.after}}
                         .dump()
                  << "\n";
        return;
    }
    if (change.before == change.after) {
        std::cout << change.key << " is already so (revision " << change.revision << ")\n";
        return;
    }
    std::cout << change.key << (is_dry_run ? " would change" : " changed");
    if (!is_dry_run) {
        std::cout << " (revision " << change.revision << ")";
    }
    std::cout << ":\n" << difference(change.before, change.after);
}

auto print_failure(const operator_arguments& arguments, const error& failure, const std::string& repeat)
    -> int {
    const auto is_conflict = failure.kind == error_kind::conflict;
    if (arguments.has("json")) {
        auto document = json{
            {"error",
             {{"kind", kind_name(failure.kind)}, {"message", failure.message}, {"remedy", failure.remedy}}}};
        if (is_conflict) {
            document["error"]["repeat"] = repeat;
        }
        std::cout << document.dump(-1, ' ', false, json::error_handler_t::replace) << "\n";
    } else {
        std::cerr << to_text(failure) << "\n";
        if (is_conflict) {
            std::cerr << "to repeat: " << repeat << "\n";
        }
    }
    if (is_conflict) {
        return exit_code::conflict;
    }
    return failure.kind == error_kind::invalid_setting || failure.kind == error_kind::invalid_document
               ? exit_code::usage
               : exit_code::failure;
}

auto render_command_line(const std::string& command, const std::vector<std::string>& arguments)
    -> std::string {
    auto text = "agatepost " + command;
    for (const auto& argument : arguments) {
        // Repeating the command with the old revision would conflict again.
        if (argument.rfind("--revision", 0) == 0) {
            continue;
        }
        const auto is_plain = argument.find_first_of(" '\"\\$`&|;<>()*?") == std::string::npos;
        absl::StrAppend(&text, " ", is_plain ? argument : "\"" + argument + "\"");
    }
    return text;
}

}  // namespace agatepost
