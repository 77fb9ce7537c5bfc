// Monotonic and wall-clock time in milliseconds.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace agatepost {

// A point on the monotonic clock, in milliseconds since an arbitrary start. Differences are plain millisecond
// counts, held in variables whose names end in _ms.
struct time_ms {
    std::int64_t value = 0;

    friend constexpr auto operator==(time_ms a, time_ms b) -> bool { return a.value == b.value; }
    friend constexpr auto operator!=(time_ms a, time_ms b) -> bool { return a.value != b.value; }
    friend constexpr auto operator<(time_ms a, time_ms b) -> bool { return a.value < b.value; }
    friend constexpr auto operator<=(time_ms a, time_ms b) -> bool { return a.value <= b.value; }
    friend constexpr auto operator>(time_ms a, time_ms b) -> bool { return a.value > b.value; }
    friend constexpr auto operator>=(time_ms a, time_ms b) -> bool { return a.value >= b.value; }
    friend constexpr auto operator-(time_ms a, time_ms b) -> std::int64_t { return a.value - b.value; }
    friend constexpr auto operator+(time_ms a, std::int64_t ms) -> time_ms { return {a.value + ms}; }
};

// Returns the current time of the monotonic clock.
inline auto now() -> time_ms {
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    return {duration_cast<milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count()};
}

// Returns the current time of the monotonic clock that also advances while the machine is suspended
// (CLOCK_BOOTTIME). Not comparable with now().
inline auto boot_now() -> time_ms {
    constexpr std::int64_t ms_per_s = 1000;
    constexpr std::int64_t ns_per_ms = 1000000;
    auto at = timespec{};
    clock_gettime(CLOCK_BOOTTIME, &at);
    return {at.tv_sec * ms_per_s + at.tv_nsec / ns_per_ms};
}

// Returns wall-clock milliseconds since 1970, for values that outlive a process (incarnations, quarantine).
inline auto wall_clock_ms() -> std::int64_t {
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    return duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace agatepost
