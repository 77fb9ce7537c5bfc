// Simulated platform store, and the proxies through which hosts reach it. All run on one event loop.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "edge/event_loop_base.h"
#include "edge/http_base.h"

namespace agatepost::soak {

// Behaviour of the store itself.
enum class store_mode {
    normal,  // answers immediately
    busy,    // answers 503
    slow,    // answers slow_answer_delay_ms later
};

constexpr std::int64_t slow_answer_delay_ms = 240;

// Answers listings and watches of all keys. A watch stays open until a change or its timeout.
class platform_store {
public:
    explicit platform_store(edge::event_loop& loop) : loop_(loop) {}

    auto listen(const endpoint& address) -> result<void>;

    // Sets or removes an item. on_timer() then answers the open watches.
    auto write(const std::string& key, const std::string& value) -> void;
    auto remove(const std::string& key) -> void;

    // Closes the connections of all waiting watches.
    auto cut_watches() -> void;
    auto has(const std::string& key) const -> bool { return items_.count(key) != 0; }

    // Tells the era in all answers from now on.
    auto tell_era() -> void { tells_era_ = true; }

    // Keeps the present content, and goes back to it: later writes are lost, their revisions are given out
    // again, and the era rises.
    auto take_copy() -> void;
    auto return_to_copy() -> void;

    // Discards the history of changes, so that watches of older revisions get status 410.
    auto discard_history() -> void { history_.clear(); }

    auto set_mode(store_mode mode) -> void { mode_ = mode; }
    auto calls() const -> std::uint64_t { return calls_; }

    // Answers watches that have changes or have timed out, and sends delayed answers that are due.
    auto on_timer(time_ms at) -> void;

private:
    struct change {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool is_removed = false;
    };
    // A connection, with its unanswered request if there is one.
    struct http_connection {
        file_descriptor socket;
        std::string received;
        std::string delayed;  // answer to send at `due`
        bool is_watching = false;
        std::uint64_t after = 0;
        time_ms due;
    };

    auto on_ready(int fd) -> void;
    auto answer(http_connection& from, const std::string& target) -> void;
    auto answer_watch(http_connection& from) -> bool;
    auto reply(http_connection& to, unsigned status, const std::string& body) -> void;
    auto item_json(const change& item) const -> std::string;

    edge::event_loop& loop_;
    file_descriptor listener_;
    std::map<int, http_connection> connections_;
    std::map<std::string, change> items_;
    std::deque<change> history_;
    std::uint64_t revision_ = 1;
    std::map<std::string, change> copied_items_;
    std::uint64_t copied_revision_ = 1;
    std::uint64_t era_ = 1;
    bool tells_era_ = false;
    std::uint64_t calls_ = 0;
    store_mode mode_ = store_mode::normal;
};

// How a proxy handles its connections.
enum class proxy_mode {
    pass,     // forwards in both directions
    delayed,  // forwards proxy_delay_ms later
    reset,    // resets all connections and new ones
    silent,   // forwards nothing; connections stay open
    one_way,  // forwards requests but no answers
};

constexpr std::int64_t proxy_delay_ms = 150;

// A loopback proxy in front of one server.
class proxy {
public:
    proxy(edge::event_loop& loop, const endpoint& server) : loop_(loop), server_(server) {}

    auto listen(const endpoint& address) -> result<void>;
    auto set_mode(proxy_mode mode) -> void;
    auto on_timer(time_ms at) -> void;

private:
    struct delayed_bytes {
        time_ms due;
        std::string bytes;
    };
    // One proxied connection: the sockets to the host and to the server, with the bytes still to be
    // forwarded.
    struct proxied_connection {
        file_descriptor host;
        file_descriptor server;
        std::deque<delayed_bytes> to_server;
        std::deque<delayed_bytes> to_host;
        bool is_silenced = false;  // stays silent in every later mode
    };

    auto accept_connection() -> void;
    auto on_bytes(proxied_connection& link, bool from_host) -> void;
    auto close_with_reset(proxied_connection& link) -> void;
    auto deliver(proxied_connection& link, time_ms at) -> bool;

    edge::event_loop& loop_;
    endpoint server_;
    file_descriptor listener_;
    std::list<proxied_connection> links_;
    proxy_mode mode_ = proxy_mode::pass;
};

}  // namespace agatepost::soak
