#include <algorithm>

#include "flow/hash_func.h"
#include "peer/host_view_func.h"

namespace agatepost {

auto host_of_rank(const host_view& view, std::uint64_t key_hash, std::size_t rank) -> const host_record* {
    if (rank >= view.hosts.size()) {
        return nullptr;
    }
    auto scored = std::vector<std::pair<std::uint64_t, const host_record*>>{};
    scored.reserve(view.hosts.size());
    for (const auto& host : view.hosts) {
        scored.emplace_back(mix(key_hash, host.name_hash), &host);
    }
    const auto nth = scored.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(scored.begin(), nth, scored.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    return nth->second;
}

auto is_known_data_address(const host_view& view, const endpoint& address) -> bool {
    return std::any_of(view.hosts.begin(), view.hosts.end(),
                       [&](const host_record& host) { return host.data == address; });
}

auto is_relay_address(const host_view& view, const endpoint& address) -> bool {
    return is_known_data_address(view, address) ||
           std::find(view.departed.begin(), view.departed.end(), address) != view.departed.end();
}

}  // namespace agatepost
