// Extracts values from the hosts' metrics pages.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace agatepost::rig {

// Returns the sum of a counter's samples in a page (Prometheus text format), or nullopt if there are none.
// The sample's name may have a prefix or suffix.
auto metric_value(const std::string& page, const std::string& name) -> std::optional<double>;

// Adds the page's nonzero counters of refusals, retries, drops and resets to `reasons`. Skips samples of
// single services, because the totals contain them.
auto add_reasons(const std::string& page, std::map<std::string, std::uint64_t>& reasons) -> void;

}  // namespace agatepost::rig
