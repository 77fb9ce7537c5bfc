#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

#include "store_base.h"

namespace agatepost::soak {

namespace {

constexpr std::size_t page_items = 20;  // small, so that listings have several pages

// Returns the value of a query parameter, or an empty text if it is absent.
auto parameter(const std::string& target, const std::string& name) -> std::string {
    const std::vector<std::string> parts = absl::StrSplit(target, absl::ByAnyChar("?&"));
    for (const auto& part : parts) {
        if (absl::StartsWith(part, name + "=")) {
            return part.substr(name.size() + 1);
        }
    }
    return {};
}

auto number_parameter(const std::string& target, const std::string& name) -> std::uint64_t {
    auto number = std::uint64_t{0};
    static_cast<void>(absl::SimpleAtoi(parameter(target, name), &number));  // absent: 0
    return number;
}

auto accept_on(int listener) -> file_descriptor {
    return file_descriptor(accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
}

}  // namespace

auto platform_store::listen(const endpoint& address) -> result<void> {
    auto opened = edge::open_listener(address);
    if (!opened) {
        return tl::unexpected<error>(opened.error());
    }
    listener_ = std::move(*opened);
    return loop_.add(listener_.value(), EPOLLIN, [this](std::uint32_t) {
        auto accepted = accept_on(listener_.value());
        const auto fd = accepted.value();
        if (fd >= 0 && loop_.add(fd, EPOLLIN, [this, fd](std::uint32_t) { on_ready(fd); })) {
            connections_[fd].socket = std::move(accepted);
        }
    });
}

auto platform_store::write(const std::string& key, const std::string& value) -> void {
    items_[key] = {key, value, ++revision_, false};
    history_.push_back(items_[key]);
}

auto platform_store::remove(const std::string& key) -> void {
    if (items_.erase(key) != 0) {
        history_.push_back({key, {}, ++revision_, true});
    }
}

auto platform_store::take_copy() -> void {
    copied_items_ = items_;
    copied_revision_ = revision_;
}

auto platform_store::return_to_copy() -> void {
    items_ = copied_items_;
    revision_ = copied_revision_;
    history_.clear();
    ++era_;
}

auto platform_store::cut_watches() -> void {
    for (auto i = connections_.begin(); i != connections_.end();) {
        if (!i->second.is_watching) {
            ++i;
            continue;
        }
        loop_.remove(i->first);
        i = connections_.erase(i);
    }
}

auto platform_store::on_ready(int fd) -> void {
    auto& from = connections_.at(fd);
    auto bytes = std::array<char, 4096>{};
    const auto got = recv(fd, bytes.data(), bytes.size(), 0);
    if (got <= 0) {
        if (got == 0 || errno != EAGAIN) {
            loop_.remove(fd);
            connections_.erase(fd);
        }
        return;
    }
    from.received.append(bytes.data(), static_cast<std::size_t>(got));
    const auto end = from.received.find("\r\n\r\n");
    if (end == std::string::npos) {
        return;
    }
    const std::vector<std::string> words = absl::StrSplit(from.received.substr(0, end), ' ');
    from.received.erase(0, end + 4);
    ++calls_;
    answer(from, words.size() > 1 ? words[1] : "");
}

auto platform_store::answer(http_connection& from, const std::string& target) -> void {
    if (mode_ == store_mode::busy) {
        reply(from, 503, {});
        return;
    }
    if (absl::StartsWith(target, "/-/kv-watch")) {
        from.after = number_parameter(target, "after");
        from.due = boot_now() + static_cast<std::int64_t>(number_parameter(target, "wait-ms"));
        from.is_watching = !answer_watch(from);
        return;
    }
    auto list = std::string();
    auto count = std::size_t{0};
    auto next = items_.upper_bound(parameter(target, "after"));
    for (; next != items_.end() && count < page_items; ++next, ++count) {
        absl::StrAppend(&list, list.empty() ? "" : ",", item_json(next->second));
    }
    reply(from, 200,
          absl::StrCat(R"({"items":[)", list, R"(],"has-more":)", next == items_.end() ? "false" : "true",
                       R"(,"store-revision":)", revision_, "}"));
}

auto platform_store::answer_watch(http_connection& from) -> bool {
    const auto is_known = from.after == revision_ || (from.after < revision_ && !history_.empty() &&
                                                      history_.front().revision <= from.after + 1);
    if (!is_known) {
        reply(from, 410, {});
        return true;
    }
    auto list = std::string();
    for (const auto& one : history_) {
        if (one.revision > from.after) {
            absl::StrAppend(&list, list.empty() ? "" : ",", item_json(one));
        }
    }
    if (list.empty() && boot_now() < from.due) {
        return false;
    }
    reply(from, 200, absl::StrCat(R"({"events":[)", list, R"(],"store-revision":)", revision_, "}"));
    return true;
}

auto platform_store::reply(http_connection& to, unsigned status, const std::string& body) -> void {
    const auto text =
        absl::StrCat("HTTP/1.1 ", status, " X\r\nContent-Length: ", body.size(), "\r\n",
                     tells_era_ ? absl::StrCat("Store-Era: ", era_, "\r\n") : std::string(), "\r\n", body);
    if (mode_ == store_mode::slow) {
        to.delayed = text;
        to.due = boot_now() + slow_answer_delay_ms;
        return;
    }
    // Answers are far smaller than a socket buffer. The next read detects a closed connection.
    static_cast<void>(send(to.socket.value(), text.data(), text.size(), MSG_NOSIGNAL));
}

auto platform_store::item_json(const change& item) const -> std::string {
    if (item.is_removed) {
        return absl::StrCat(R"({"key":")", item.key, R"(","revision":)", item.revision,
                            R"(,"removed":true})");
    }
    return absl::StrCat(R"({"key":")", item.key, R"(","value":")", absl::Base64Escape(item.value),
                        R"(","revision":)", item.revision, R"(,"created-at":1,"lease":0})");
}

auto platform_store::on_timer(time_ms at) -> void {
    for (auto& [fd, one] : connections_) {
        if (!one.delayed.empty() && at >= one.due) {
            static_cast<void>(send(fd, one.delayed.data(), one.delayed.size(), MSG_NOSIGNAL));
            one.delayed.clear();
        }
        if (one.is_watching) {
            one.is_watching = !answer_watch(one);
        }
    }
}

auto proxy::listen(const endpoint& address) -> result<void> {
    auto opened = edge::open_listener(address);
    if (!opened) {
        return tl::unexpected<error>(opened.error());
    }
    listener_ = std::move(*opened);
    return loop_.add(listener_.value(), EPOLLIN, [this](std::uint32_t) { accept_connection(); });
}

auto proxy::accept_connection() -> void {
    auto host = accept_on(listener_.value());
    if (host.value() < 0) {
        return;
    }
    links_.emplace_back();
    auto& link = links_.back();
    link.host = std::move(host);
    link.is_silenced = mode_ == proxy_mode::silent;
    auto address = sockaddr_storage{};
    const auto length = to_socket_address(server_, address);
    link.server = file_descriptor(socket(address.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (connect(link.server.value(), reinterpret_cast<const sockaddr*>(&address), length) != 0 ||
        !loop_.add(link.host.value(), EPOLLIN, [this, &link](std::uint32_t) { on_bytes(link, true); }) ||
        !loop_.add(link.server.value(), EPOLLIN, [this, &link](std::uint32_t) { on_bytes(link, false); })) {
        close_with_reset(link);
    }
}

auto proxy::on_bytes(proxied_connection& link, bool from_host) -> void {
    auto bytes = std::array<char, 16384>{};
    const auto& source = from_host ? link.host : link.server;
    const auto got = recv(source.value(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (got <= 0) {
        if (got == 0 || errno != EAGAIN) {
            close_with_reset(link);
        }
        return;
    }
    const auto is_lost = link.is_silenced || (mode_ == proxy_mode::one_way && !from_host);
    if (!is_lost) {
        const auto delay = mode_ == proxy_mode::delayed ? proxy_delay_ms : 0;
        auto& queue = from_host ? link.to_server : link.to_host;
        queue.push_back({boot_now() + delay, std::string(bytes.data(), static_cast<std::size_t>(got))});
    }
    static_cast<void>(deliver(link, boot_now()));
}

auto proxy::deliver(proxied_connection& link, time_ms at) -> bool {
    const auto send_due = [at](std::deque<delayed_bytes>& queue, const file_descriptor& to) {
        while (!queue.empty() && queue.front().due <= at) {
            static_cast<void>(
                send(to.value(), queue.front().bytes.data(), queue.front().bytes.size(), MSG_NOSIGNAL));
            queue.pop_front();
        }
    };
    send_due(link.to_server, link.server);
    send_due(link.to_host, link.host);
    return link.host.value() >= 0;
}

// Closes both sockets with a reset. on_timer() removes the link.
auto proxy::close_with_reset(proxied_connection& link) -> void {
    for (auto* end : {&link.host, &link.server}) {
        if (end->value() >= 0) {
            const auto at_once = linger{1, 0};
            setsockopt(end->value(), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
            loop_.remove(end->value());
            file_descriptor(end->release());
        }
    }
}

auto proxy::set_mode(proxy_mode mode) -> void {
    mode_ = mode;
    for (auto& link : links_) {
        link.is_silenced = link.is_silenced || mode == proxy_mode::silent;
        if (mode == proxy_mode::reset) {
            close_with_reset(link);
        }
    }
}

auto proxy::on_timer(time_ms at) -> void {
    for (auto& link : links_) {
        if (mode_ == proxy_mode::reset && link.host.value() >= 0) {
            close_with_reset(link);
        }
    }
    links_.remove_if([&](proxied_connection& link) { return !deliver(link, at); });
}

}  // namespace agatepost::soak
