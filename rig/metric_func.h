// Reads the hosts' metrics pages.
#pragma once

#include <optional>
#include <string>

namespace agatepost::rig {

// Returns the sum of the samples of a counter in a page (Prometheus text format), or nothing if it has none.
// Prefixes and suffixes of the name are accepted.
auto metric_value(const std::string& page, const std::string& name) -> std::optional<double>;

}  // namespace agatepost::rig
