#include "edge/event_loop_base.h"

#include <absl/strings/str_cat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <exception>

#include "core/counter_func.h"
#include "core/log_func.h"

namespace agatepost::edge {

namespace {

constexpr std::size_t events_per_wait = 64;
constexpr std::int64_t max_wait_ms = 1000;

}  // namespace

auto event_loop::open() -> result<event_loop> {
    auto epoll = file_descriptor(epoll_create1(EPOLL_CLOEXEC));
    if (epoll.value() < 0) {
        return make_error(error_kind::network, absl::StrCat("epoll_create1: ", std::strerror(errno)),
                          "raise the limit of open descriptors");
    }
    return event_loop(std::move(epoll));
}

auto event_loop::add(int fd, std::uint32_t events, handler on_ready) -> result<void> {
    auto event = epoll_event{};
    event.events = events;
    event.data.fd = fd;
    if (epoll_ctl(epoll_.value(), EPOLL_CTL_ADD, fd, &event) != 0) {
        return make_error(error_kind::network, absl::StrCat("epoll_ctl: ", std::strerror(errno)),
                          "raise the limit of open descriptors");
    }
    handlers_[fd] = std::make_shared<handler>(std::move(on_ready));
    return {};
}

auto event_loop::change(int fd, std::uint32_t events) -> void {
    auto event = epoll_event{};
    event.events = events;
    event.data.fd = fd;
    epoll_ctl(epoll_.value(), EPOLL_CTL_MOD, fd, &event);
}

auto event_loop::remove(int fd) -> void {
    epoll_ctl(epoll_.value(), EPOLL_CTL_DEL, fd, nullptr);
    handlers_.erase(fd);
}

auto run_guarded(const std::function<void()>& action) -> void {
    try {
        action();
    } catch (const std::exception& fault) {
        count(counter::edge_handler_failures);
        write_log(log_event::handler_failed, {{"fault", fault.what()}});
    }
}

auto event_loop::wait(time_ms until) -> void {
    auto events = std::array<epoll_event, events_per_wait>{};
    const auto left = std::clamp<std::int64_t>(until - boot_now(), 0, max_wait_ms);
    const auto ready = epoll_wait(epoll_.value(), events.data(), events_per_wait, static_cast<int>(left));
    for (auto i = 0; i < ready; ++i) {
        const auto found = handlers_.find(events[static_cast<std::size_t>(i)].data.fd);
        if (found != handlers_.end()) {
            const auto kept = found->second;
            run_guarded([&] { (*kept)(events[static_cast<std::size_t>(i)].events); });
        }
    }
}

}  // namespace agatepost::edge
