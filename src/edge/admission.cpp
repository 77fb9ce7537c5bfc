#include <algorithm>

#include "edge/admission_func.h"

namespace agatepost::edge {

namespace {

// Time since the first packet of an attempt when its copies are sent, by the number of copies before.
constexpr std::array<std::int64_t, 3> copy_ages_ms = {0, 200, 600};

// Share of a route's time-out that may pass before its request reaches a target.
constexpr std::int64_t timeout_part = 2;

}  // namespace

auto note_pressure(service_queue& queue, time_ms herd_until, time_ms at) -> void {
    queue.herd_until = herd_until;
    if (queue.last_pressed == time_ms{} || at - queue.last_pressed > calm_ms) {
        queue.pressed_since = at;
    }
    queue.last_pressed = at;
}

auto is_lasting(const service_queue& queue, time_ms at) -> bool {
    return queue.last_pressed != time_ms{} && at - queue.last_pressed <= calm_ms &&
           at - queue.pressed_since >= herd_ms && at >= queue.herd_until;
}

auto waiting_before(const service_queue& queue, std::uint32_t priority, bool is_urgent, time_ms at)
    -> std::size_t {
    if (!is_urgent && is_lasting(queue, at)) {
        return 0;
    }
    auto before = std::size_t{0};
    for (const auto& [other, openings] : queue.waiting) {
        before += other <= priority ? openings.size() : 0;
    }
    return before;
}

auto copy_age_ms(std::uint32_t copy) -> std::int64_t {
    return copy_ages_ms[std::min<std::size_t>(copy, copy_ages_ms.size() - 1)];
}

auto patience_ms(const admission_request& request) -> std::int64_t {
    const auto limit = request.timeout_ms > 0 ? std::min(longest_wait_ms, request.timeout_ms / timeout_part)
                                              : longest_wait_ms;
    return std::max<std::int64_t>(0, limit - copy_age_ms(request.copy));
}

auto admit(const service_queue& queue, const admission_request& request, time_ms at) -> admission {
    const auto is_copy = request.copy != 0;
    const auto otherwise = is_copy ? admission::place : admission::refuse;
    if (request.waiting_total >= most_waiting || (is_lasting(queue, at) && !request.is_urgent)) {
        return otherwise;
    }
    const auto ahead = static_cast<double>(waiting_before(queue, request.priority, request.is_urgent, at));
    const auto expected_ms = ahead * request.request_ms / std::max<std::uint32_t>(1, request.slots);
    return expected_ms <= static_cast<double>(patience_ms(request)) ? admission::wait : otherwise;
}

auto count_waiting(const admission_queues& queues) -> std::size_t {
    auto waiting = std::size_t{0};
    for (const auto& [service, queue] : queues) {
        for (const auto& [priority, openings] : queue.waiting) {
            waiting += openings.size();
        }
    }
    return waiting;
}

}  // namespace agatepost::edge
