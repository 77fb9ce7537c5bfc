#include "metric_func.h"

#include <cstdlib>
#include <sstream>

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

}  // namespace agatepost::rig
