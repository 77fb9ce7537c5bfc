#include "edge/evacuation_func.h"

#include <absl/algorithm/container.h>

#include <algorithm>

namespace agatepost::edge {

namespace {

// Returns whether the service has a target that only the evacuation of its zone keeps from taking new flows.
auto has_evacuated_target(const directory& known, const std::string& service) -> bool {
    const auto members = known.by_service.find(service);
    return members != known.by_service.end() && absl::c_any_of(members->second, [&](target_index index) {
               const auto& target = known.targets[index];
               return is_registered(target) && target.entry.state == target_state::ready &&
                      is_evacuated(known, target);
           });
}

}  // namespace

auto start_evacuation(directory& known, known_item& item, const zone_evacuation& request)
    -> directory_change {
    item.evacuated_zone = request.zone;
    return known.evacuated_zones.insert(request.zone).second ? directory_change::evacuation_started
                                                             : directory_change::none;
}

auto end_evacuation(directory& known, const std::string& key, const known_item& previous)
    -> directory_change {
    if (previous.is_removed || previous.evacuated_zone.empty()) {
        return directory_change::none;
    }
    known.evacuated_zones.erase(previous.evacuated_zone);
    known.items[key].evacuated_zone = previous.evacuated_zone;
    return directory_change::evacuation_ended;
}

auto is_evacuated(const directory& known, const target_record& target) -> bool {
    return !known.evacuated_zones.empty() && known.evacuated_zones.count(target.entry.zone) != 0;
}

auto counts_for_new_flows(const directory& known, target_index index) -> bool {
    return known.evacuated_zones.empty() || takes_new_flows(known, index);
}

auto has_targets_for_new_flows(const directory& known, const std::string& service) -> bool {
    const auto members = known.by_service.find(service);
    return members != known.by_service.end() && absl::c_any_of(members->second, [&](target_index index) {
               return counts_for_new_flows(known, index);
           });
}

auto is_refused_for_evacuation(const directory& known, const route_entry& route) -> bool {
    if (known.evacuated_zones.empty()) {
        return false;
    }
    const auto is_in_use = [](const route_backend& backend) { return backend.weight != 0; };
    return absl::c_none_of(route.backends,
                           [&](const route_backend& backend) {
                               return is_in_use(backend) && has_targets_for_new_flows(known, backend.service);
                           }) &&
           absl::c_any_of(route.backends, [&](const route_backend& backend) {
               return is_in_use(backend) && has_evacuated_target(known, backend.service);
           });
}

}  // namespace agatepost::edge
