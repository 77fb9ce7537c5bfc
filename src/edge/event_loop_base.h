// Event loop of one thread: waits for sockets and deadlines.
#pragma once

#include <sys/epoll.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "core/clock_type.h"
#include "core/error_type.h"
#include "net/socket_func.h"

namespace agatepost::edge {

// Runs one step of a host. Logs and counts an exception of the step, so that later steps still run.
auto run_guarded(const std::function<void()>& action) -> void;

// Calls a function for each socket that is ready. Not thread-safe.
class event_loop {
public:
    using handler = std::function<void(std::uint32_t events)>;

    // Opens the loop's own descriptor.
    static auto open() -> result<event_loop>;

    // Calls `on_ready` with the EPOLL bits of a socket until remove() is called.
    auto add(int fd, std::uint32_t events, handler on_ready) -> result<void>;
    auto change(int fd, std::uint32_t events) -> void;
    auto remove(int fd) -> void;

    // Waits until a socket is ready, `until` is reached or 1 s has passed, and calls the handlers of ready
    // sockets.
    auto wait(time_ms until) -> void;

private:
    explicit event_loop(file_descriptor epoll) : epoll_(std::move(epoll)) {}

    file_descriptor epoll_;
    // Shared, since a handler may remove itself while it runs.
    std::map<int, std::shared_ptr<handler>> handlers_;
};

}  // namespace agatepost::edge
