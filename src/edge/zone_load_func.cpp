#include "edge/zone_load_func.h"

#include <xxhash.h>

namespace agatepost::edge {

auto hash_of_service(std::string_view name) -> service_hash {
    return XXH32(name.data(), name.size(), 0);
}

}  // namespace agatepost::edge
