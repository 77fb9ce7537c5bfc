// A plain HTTP GET, for the hosts' admin ports.
#pragma once

#include <optional>
#include <string>

#include "net/address_type.h"

namespace agatepost::rig {

// Returns the body of a 200 answer, or nothing if there is none within `limit_ms`.
auto http_get(const endpoint& server, const std::string& path, int limit_ms) -> std::optional<std::string>;

// Returns the sum of the samples of a counter in a metrics page (Prometheus text format), or nothing if it
// has none. Prefixes and suffixes of the name are accepted.
auto metric_value(const std::string& page, const std::string& name) -> std::optional<double>;

}  // namespace agatepost::rig
