// agatepost profile|service|target: reads and changes single objects in the store.

#include <absl/strings/numbers.h>

#include <iostream>

#include "cmd/command_base.h"
#include "cmd/operator_command_func.h"
#include "config/config_func.h"

namespace agatepost {

namespace {

using nlohmann::json;

auto usage_of(const std::string& kind) -> tl::unexpected<error> {
    return make_error(error_kind::invalid_setting, "incomplete or unknown arguments",
                      "use: agatepost " + kind +
                          " set NAME FIELD=VALUE... [--file=DOCUMENT] | get NAME | list" +
                          (kind == "target" ? " | drain NAME | remove NAME [--force]" : " | remove NAME") +
                          " [--json] [--dry-run] [--revision=N]");
}

auto defaults_of(const std::string& kind) -> json {
    if (kind == "profile") {
        return to_json({0, profile{}});
    }
    return kind == "service" ? to_json({0, service{}}) : to_json({0, target{}});
}

// Parses FIELD=VALUE arguments. The value of a numeric field is converted to a number.
auto read_fields(const std::string& kind, const std::vector<std::string>& words, std::size_t first,
                 json fields) -> result<json> {
    const auto defaults = defaults_of(kind);
    for (auto i = first; i < words.size(); ++i) {
        const auto equals = words[i].find('=');
        if (equals == std::string::npos) {
            return make_error(error_kind::invalid_setting, "'" + words[i] + "' is not FIELD=VALUE",
                              "give each field as FIELD=VALUE");
        }
        const auto name = words[i].substr(0, equals);
        const auto value = words[i].substr(equals + 1);
        const auto known = defaults.find(name);
        auto number = std::int64_t{0};
        const auto is_number =
            known != defaults.end() && known->is_number() && absl::SimpleAtoi(value, &number);
        fields[name] = is_number ? json(number) : json(value);
    }
    return fields;
}

auto run_set(const std::string& kind, const operator_arguments& arguments, const store_client& store,
             const operator_options& options) -> result<void> {
    auto fields = json::object();
    if (arguments.has("file")) {
        const auto text = read_text_file(arguments.flags.at("file"));
        if (!text) {
            return tl::unexpected<error>(text.error());
        }
        fields = json::parse(*text, nullptr, false);
        if (!fields.is_object()) {
            return make_error(error_kind::invalid_document, "the file is not a JSON object",
                              "write one object with the fields to set");
        }
    }
    const auto read = read_fields(kind, arguments.words, 2, std::move(fields));
    if (!read) {
        return tl::unexpected<error>(read.error());
    }
    return set_object(store, kind, arguments.words[1], *read, merge_rule::update, options)
        .map([&](const object_change& change) { print_change(arguments, change); });
}

auto print_object(const operator_arguments& arguments, const std::string& key, const store_value& stored)
    -> void {
    const auto document = json::parse(stored.value, nullptr, false);
    if (arguments.has("json")) {
        std::cout << json{{"key", key}, {"revision", stored.revision}, {"object", document}}.dump() << "\n";
        return;
    }
    std::cout << key << " (revision " << stored.revision << ")\n";
    for (const auto& field : document.items()) {
        std::cout << "  " << field.key() << ": " << field.value().dump() << "\n";
    }
}

auto run_get(const std::string& kind, const operator_arguments& arguments, const store_client& store)
    -> result<void> {
    const auto key = std::string(config_prefix) + kind + "/" + arguments.words[1];
    const auto stored = store.read(key);
    if (!stored) {
        return tl::unexpected<error>(stored.error());
    }
    if (!*stored) {
        return make_error(error_kind::not_found, key + " does not exist",
                          "list the objects to find its name");
    }
    print_object(arguments, key, **stored);
    return {};
}

auto run_list(const std::string& kind, const operator_arguments& arguments, const store_client& store)
    -> result<void> {
    const auto listing = store.list(std::string(config_prefix) + kind + "/");
    if (!listing) {
        return tl::unexpected<error>(listing.error());
    }
    for (const auto& [key, stored] : listing->values) {
        print_object(arguments, key, stored);
    }
    return {};
}

auto run_action(const std::string& kind, const operator_arguments& arguments) -> result<void> {
    const auto& words = arguments.words;
    const auto action = words.empty() ? std::string() : words[0];
    const auto is_list = action == "list" && words.size() == 1;
    const auto is_set = action == "set" && words.size() >= 2;
    const auto is_named = words.size() == 2 &&
                          (action == "get" || action == "remove" || (action == "drain" && kind == "target"));
    if (!is_list && !is_set && !is_named) {
        return usage_of(kind);
    }
    const auto store = open_store(arguments);
    if (!store) {
        return tl::unexpected<error>(store.error());
    }
    const auto options = read_operator_options(arguments);
    if (!options) {
        return tl::unexpected<error>(options.error());
    }
    if (is_list) {
        return run_list(kind, arguments, *store);
    }
    if (is_set) {
        return run_set(kind, arguments, *store, *options);
    }
    if (action == "get") {
        return run_get(kind, arguments, *store);
    }
    const auto print = [&](const object_change& change) { print_change(arguments, change); };
    if (action == "remove") {
        return remove_object(*store, kind, words[1], *options).map(print);
    }
    const auto exists = store->read(std::string(config_prefix) + kind + "/" + words[1]);
    if (exists && !*exists) {
        return make_error(error_kind::not_found, "target/" + words[1] + " does not exist",
                          "list the targets to find its name");
    }
    return set_object(*store, kind, words[1], {{"state", "draining"}}, merge_rule::update, *options)
        .map(print);
}

auto run_kind(const std::string& kind, const std::vector<std::string>& arguments) -> int {
    const auto classified = classify_arguments(arguments);
    const auto done = run_action(kind, classified);
    return done ? exit_code::success
                : print_failure(classified, done.error(), render_command_line(kind, arguments));
}

constexpr command_plugin profile_command = {
    "profile", "set, get, list or remove profiles",
    [](const std::vector<std::string>& arguments) { return run_kind("profile", arguments); }};
constexpr command_plugin service_command = {
    "service", "set, get, list or remove services",
    [](const std::vector<std::string>& arguments) { return run_kind("service", arguments); }};
constexpr command_plugin target_command = {
    "target", "set, get, list, drain or remove targets",
    [](const std::vector<std::string>& arguments) { return run_kind("target", arguments); }};
const plugin_registration<command_plugin> profile_registration(profile_command);
const plugin_registration<command_plugin> service_registration(service_command);
const plugin_registration<command_plugin> target_registration(target_command);

}  // namespace

}  // namespace agatepost
