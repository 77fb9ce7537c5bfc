// Evacuated zones: operators request that no new flows go to the targets of a zone. Free functions; no I/O,
// no clock. The design is in docs/design/evacuation.md.
#pragma once

#include <string>

#include "edge/directory_base.h"
#include "edge/placement_func.h"

namespace agatepost::edge {

// Starts the evacuation that an item of the store requests. Returns evacuation_started, or none if the zone
// is evacuated already.
auto start_evacuation(directory& known, known_item& item, const zone_evacuation& request) -> directory_change;

// Ends the evacuation that a removed item requested; `previous` is the item before its removal. Returns
// evacuation_ended, or none if it requested none. The removed item keeps the name of the zone for the log.
// Operators remove these items, and they do not lapse: the grace period after an outage does not apply.
auto end_evacuation(directory& known, const std::string& key, const known_item& previous) -> directory_change;

// Returns whether the target is in an evacuated zone.
auto is_evacuated(const directory& known, const target_record& target) -> bool;

// Returns whether the target counts as a destination of its service's new flows, for the choice between
// services and for the slots that waiting SYNs compete for. Without an evacuation all targets count.
auto counts_for_new_flows(const directory& known, target_index index) -> bool;

// Returns whether the service has targets that count as destinations of new flows.
auto has_targets_for_new_flows(const directory& known, const std::string& service) -> bool;

// Returns whether evacuations are the reason that no target of the route's services takes new flows: there
// are such targets in evacuated zones only.
auto is_refused_for_evacuation(const directory& known, const route_entry& route) -> bool;

}  // namespace agatepost::edge
