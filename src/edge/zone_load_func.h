// Functions over the loads of availability zones.
#pragma once

#include <string_view>

#include "edge/zone_load_type.h"

namespace agatepost::edge {

// Returns the hash by which hosts name a service in their messages: XXH32 with seed 0.
auto hash_of_service(std::string_view name) -> service_hash;

}  // namespace agatepost::edge
