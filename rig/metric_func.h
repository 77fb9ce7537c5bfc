// Reads the hosts' metrics pages.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace agatepost::rig {

// Returns the sum of the samples of a counter in a page (Prometheus text format), or nothing if it has none.
// Prefixes and suffixes of the name are accepted.
auto metric_value(const std::string& page, const std::string& name) -> std::optional<double>;

// Adds the counters of a page that give reasons (refusals, retries, drops, resets) and are not zero. Samples
// of single services are left out, because the totals contain them.
auto add_reasons(const std::string& page, std::map<std::string, std::uint64_t>& reasons) -> void;

}  // namespace agatepost::rig
