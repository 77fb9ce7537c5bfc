// Registry of plug-ins. A plug-in is a plain struct with a `name` and function pointers. A static
// plugin_registration object in its source file registers it before main runs.
#pragma once

#include <string_view>
#include <vector>

namespace agatepost {

// All plug-ins of one kind. Filled during static initialization, read-only afterwards.
template <typename Plugin>
class plugin_registry {
public:
    static auto instance() -> plugin_registry& {
        static plugin_registry registry;
        return registry;
    }

    auto add(const Plugin& plugin) -> void { plugins_.push_back(&plugin); }

    // Returns the plug-in with this name, or nullptr.
    auto find(std::string_view name) const -> const Plugin* {
        for (const auto* plugin : plugins_) {
            if (plugin->name == name) {
                return plugin;
            }
        }
        return nullptr;
    }

    auto all() const -> const std::vector<const Plugin*>& { return plugins_; }

private:
    std::vector<const Plugin*> plugins_;
};

// Adds a plug-in to its registry. The plug-in must have static storage duration.
template <typename Plugin>
struct plugin_registration {
    explicit plugin_registration(const Plugin& plugin) { plugin_registry<Plugin>::instance().add(plugin); }
};

}  // namespace agatepost
