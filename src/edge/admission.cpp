#include <algorithm>

#include "edge/admission_func.h"
#include "edge/attempt_func.h"

namespace agatepost::edge {

namespace {

// Divisor of a route's time-out: a SYN waits for at most this part of it.
constexpr std::int64_t timeout_divisor = 2;

}  // namespace

auto record_overload(service_queue& queue, time_ms surge_until, time_ms at) -> void {
    queue.surge_until = surge_until;
    if (queue.last_overloaded == time_ms{} || at - queue.last_overloaded > overload_gap_ms) {
        queue.overloaded_since = at;
    }
    queue.last_overloaded = at;
}

auto is_sustained_overload(const service_queue& queue, time_ms at) -> bool {
    return queue.last_overloaded != time_ms{} && at - queue.last_overloaded <= overload_gap_ms &&
           at - queue.overloaded_since >= surge_ms && at >= queue.surge_until;
}

auto count_waiting_ahead(const service_queue& queue, std::uint32_t priority, bool is_refused_last, time_ms at)
    -> std::size_t {
    if (!is_refused_last && is_sustained_overload(queue, at)) {
        return 0;
    }
    auto before = std::size_t{0};
    for (const auto& [other, syns] : queue.waiting) {
        before += other <= priority ? syns.size() : 0;
    }
    return before;
}

auto max_wait_ms(const admission_request& request) -> std::int64_t {
    const auto limit = request.timeout_ms > 0
                           ? std::min(max_syn_wait_ms, request.timeout_ms / timeout_divisor)
                           : max_syn_wait_ms;
    return std::max<std::int64_t>(0, limit - attempt_age_ms(request.retransmissions));
}

auto admit(const service_queue& queue, const admission_request& request, time_ms at) -> admission {
    const auto is_retransmitted = request.retransmissions != 0;
    const auto otherwise = is_retransmitted ? admission::place : admission::refuse;
    if (request.waiting_total >= max_waiting_syns ||
        (is_sustained_overload(queue, at) && !request.is_refused_last)) {
        return otherwise;
    }
    const auto ahead =
        static_cast<double>(count_waiting_ahead(queue, request.priority, request.is_refused_last, at));
    const auto expected_ms = ahead * request.request_ms / std::max<std::uint32_t>(1, request.slots);
    return expected_ms <= static_cast<double>(max_wait_ms(request)) ? admission::wait : otherwise;
}

auto count_waiting_syns(const admission_queues& queues) -> std::size_t {
    auto waiting = std::size_t{0};
    for (const auto& [service, queue] : queues) {
        for (const auto& [priority, syns] : queue.waiting) {
            waiting += syns.size();
        }
    }
    return waiting;
}

}  // namespace agatepost::edge
