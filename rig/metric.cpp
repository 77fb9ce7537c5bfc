#include "metric_func.h"

#include <cstdlib>
#include <sstream>
#include <string_view>

namespace agatepost::rig {

auto metric_value(const std::string& page, const std::string& name) -> std::optional<double> {
    auto lines = std::istringstream(page);
    auto line = std::string();
    auto sum = std::optional<double>();
    while (std::getline(lines, line)) {
        const auto space = line.rfind(' ');
        if (line.empty() || line[0] == '#' || space == std::string::npos) {
            continue;
        }
        if (line.substr(0, space).find(name) != std::string::npos) {
            sum = sum.value_or(0) + std::strtod(line.c_str() + space, nullptr);
        }
    }
    return sum;
}

auto add_reasons(const std::string& page, std::map<std::string, std::uint64_t>& reasons) -> void {
    constexpr std::string_view product_prefix = "agatepost_";
    constexpr std::string_view kinds[] = {"refuse_", "retry_", "drop_", "silent_"};
    auto lines = std::istringstream(page);
    auto line = std::string();
    while (std::getline(lines, line)) {
        const auto space = line.rfind(' ');
        if (line.rfind(product_prefix, 0) != 0 || space == std::string::npos ||
            line.find('{') != std::string::npos) {
            continue;
        }
        const auto name = line.substr(product_prefix.size(), space - product_prefix.size());
        const auto value = static_cast<std::uint64_t>(std::strtod(line.c_str() + space, nullptr));
        for (const auto kind : kinds) {
            if (value > 0 && name.rfind(kind, 0) == 0) {
                reasons[name] += value;
            }
        }
    }
}

}  // namespace agatepost::rig
