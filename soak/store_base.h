// Stand-in for the platform's store, and the proxies through which hosts reach it. All on one event loop.
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

// How the store itself behaves.
enum class store_mode {
    normal,  // answers at once
    busy,    // answers 503
    slow,    // answers store_slow_ms later
};

constexpr std::int64_t store_slow_ms = 240;

// Answers listings and watches of all keys. A watch without changes waits.
class platform_store {
public:
    explicit platform_store(edge::event_loop& loop) : loop_(loop) {}

    auto listen(const endpoint& address) -> result<void>;

    // Changes an item, or removes it. Watches that wait are answered.
    auto write(const std::string& key, const std::string& value) -> void;
    auto remove(const std::string& key) -> void;

    // Forgets the history, so that watches of older revisions get 410.
    auto forget() -> void { history_.clear(); }

    auto set_mode(store_mode mode) -> void { mode_ = mode; }
    auto calls() const -> std::uint64_t { return calls_; }

    // Answers watches whose time is over and answers that were delayed.
    auto on_timer(time_ms at) -> void;

private:
    struct change {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool is_removed = false;
    };
    // A connection with the request that waits for its answer, if any.
    struct caller {
        file_descriptor socket;
        std::string received;
        std::string delayed;  // an answer to send at `due`
        bool is_watching = false;
        std::uint64_t after = 0;
        time_ms due;
    };

    auto on_ready(int fd) -> void;
    auto answer(caller& from, const std::string& target) -> void;
    auto answer_watch(caller& from) -> bool;
    auto reply(caller& to, unsigned status, const std::string& body) -> void;
    auto item_json(const change& item) const -> std::string;

    edge::event_loop& loop_;
    file_descriptor listener_;
    std::map<int, caller> callers_;
    std::map<std::string, change> items_;
    std::deque<change> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t calls_ = 0;
    store_mode mode_ = store_mode::normal;
};

// How a proxy treats the connections through it.
enum class proxy_mode {
    pass,     // forwards both ways
    delayed,  // forwards proxy_delay_ms later
    reset,    // resets all connections and new ones
    silent,   // forwards nothing; connections stay open
    one_way,  // forwards requests, and no answer
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
    struct held_bytes {
        time_ms due;
        std::string bytes;
    };
    // One connection: the host's end and the server's end, with bytes on their way.
    struct pair {
        file_descriptor host;
        file_descriptor server;
        std::deque<held_bytes> to_server;
        std::deque<held_bytes> to_host;
        bool is_muted = false;  // stays silent whatever the mode is later
    };

    auto accept_one() -> void;
    auto on_bytes(pair& link, bool from_host) -> void;
    auto drop(pair& link) -> void;
    auto deliver(pair& link, time_ms at) -> bool;

    edge::event_loop& loop_;
    endpoint server_;
    file_descriptor listener_;
    std::list<pair> links_;
    proxy_mode mode_ = proxy_mode::pass;
};

}  // namespace agatepost::soak
