// agatepost settings: lists all settings.

#include <iostream>
#include <nlohmann/json.hpp>

#include "cmd/command_func.h"
#include "flow/placement_base.h"
#include "net/link_base.h"
#include "store/store_base.h"

namespace agatepost {

namespace {

// Returns the names of all registered plug-ins of a kind.
template <typename Plugin>
auto plugin_names() -> std::vector<std::string> {
    auto names = std::vector<std::string>{};
    for (const auto* plugin : plugin_registry<Plugin>::instance().all()) {
        names.emplace_back(plugin->name);
    }
    return names;
}

const setting_choices_registration link_choices("link", plugin_names<link_plugin>);
const setting_choices_registration placement_choices("placement", plugin_names<placement_plugin>);
const setting_choices_registration store_choices("store", plugin_names<store_plugin>);

auto flags() -> std::vector<flag_row> {
    return {{"markdown", "", "write the reference page docs/settings.md"},
            {"json", "", "write a JSON array for programs"}};
}

auto print_json() -> void {
    auto list = nlohmann::json::array();
    for (const auto& row : setting_rows()) {
        auto item = nlohmann::json{{"name", std::string(row.name)},
                                   {"environment", environment_name(row.name)},
                                   {"default", std::string(row.default_value)},
                                   {"allowed", allowed_values(row)},
                                   {"secret", row.type == setting_type::secret},
                                   {"meaning", std::string(row.help)}};
        if (row.type == setting_type::number) {
            item["minimum"] = row.minimum;
            item["maximum"] = row.maximum;
            item["unit"] = std::string(row.unit);
        }
        if (row.type == setting_type::choice) {
            item["choices"] = setting_choices(row);
        }
        list.push_back(std::move(item));
    }
    std::cout << list.dump(2) << "\n";
}

auto print_text() -> void {
    for (const auto& row : setting_rows()) {
        std::cout << (row.type == setting_type::secret ? "" : "--") << row.name << "  ("
                  << environment_name(row.name) << ")\n    " << row.help
                  << "\n    allowed: " << allowed_values(row)
                  << "\n    default: " << (row.default_value.empty() ? "none" : row.default_value) << "\n";
    }
}

auto run_settings(const std::vector<std::string>& arguments) -> int {
    const auto read = read_arguments(arguments, flags());
    if (!read) {
        return report_failure(read.error());
    }
    if (read->has("markdown")) {
        std::cout << settings_markdown();
    } else if (read->has("json")) {
        print_json();
    } else {
        print_text();
    }
    return exit_code::success;
}

constexpr command_plugin command = {"settings",
                                    "list all settings with their allowed values and defaults",
                                    run_settings,
                                    "[--markdown | --json]",
                                    "agatepost settings\nagatepost settings --json",
                                    flags};
const plugin_registration<command_plugin> registration(command);

}  // namespace

}  // namespace agatepost
