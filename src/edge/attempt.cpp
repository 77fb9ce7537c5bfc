#include <algorithm>
#include <array>

#include "edge/attempt_func.h"

namespace agatepost::edge {

auto attempt_age_ms(std::uint32_t copy) -> std::int64_t {
    constexpr auto ages_ms = std::array<std::int64_t, 4>{0, 200, 600, attempt_duration_ms};
    return ages_ms[std::min<std::size_t>(copy, ages_ms.size() - 1)];
}

auto is_abandoned(time_ms start, std::uint32_t last_copy, time_ms at) -> bool {
    return at - start >= attempt_age_ms(last_copy + 1) + copy_delay_ms;
}

auto is_of_same_client(const flow_key& a, const flow_key& b) -> bool {
    return a.client_address == b.client_address && a.service_address == b.service_address &&
           a.service_port == b.service_port;
}

}  // namespace agatepost::edge
