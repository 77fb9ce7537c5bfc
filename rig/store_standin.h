// Stand-in for the platform's key-value store: the etcd v3 JSON gateway API with injectable faults.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "core/error_type.h"
#include "net/address_type.h"

namespace agatepost {

// Injected faults. Each affected call decrements its count.
struct store_faults {
    bool is_down = false;              // connections are closed without an answer, open watches end
    std::int64_t delay_ms = 0;         // delay of each answer
    int lost_answers = 0;              // number of next writes that apply but get no answer
    int lost_requests = 0;             // number of next writes that neither apply nor get an answer
    std::int64_t watch_delay_ms = 0;   // delay of events to watches
    bool are_watches_silent = false;   // watches open now stay open but report nothing more
    std::uint64_t stale_revision = 0;  // reads return this revision; 0: the newest

    friend auto operator==(const store_faults& a, const store_faults& b) -> bool {
        return a.is_down == b.is_down && a.delay_ms == b.delay_ms && a.lost_answers == b.lost_answers &&
               a.lost_requests == b.lost_requests && a.watch_delay_ms == b.watch_delay_ms &&
               a.are_watches_silent == b.are_watches_silent && a.stale_revision == b.stale_revision;
    }
};

// HTTP server with one thread per connection. All functions are thread-safe except start and stop, which must
// be called from a single thread. Besides the store API it serves POST /fault, which sets faults from a JSON
// object (down, delay_ms, lost_answers, lost_requests, watch_delay_ms, watches_silent, stale_revision), and
// GET /calls, which returns the number of calls by kind.
class store_standin {
public:
    store_standin();
    ~store_standin();
    store_standin(const store_standin&) = delete;
    auto operator=(const store_standin&) -> store_standin& = delete;

    // Starts serving and returns the address in use. Port 0 selects a free port.
    auto start(const endpoint& address) -> result<endpoint>;

    // Ends all connections and threads. The content is kept for a later start.
    auto stop() -> void;

    auto faults() const -> store_faults;
    auto set_faults(const store_faults& faults) -> void;

    // Returns the number of calls by kind: range, put, deleterange, txn, watch, lease_grant, lease_keepalive,
    // lease_revoke, compaction. A waiting watch counts as one.
    auto calls() const -> std::map<std::string, std::uint64_t>;

    // Returns the revision of the last change.
    auto revision() const -> std::uint64_t;

    // Compacts the history up to a revision.
    auto compact(std::uint64_t revision) -> void;

private:
    struct server;
    std::unique_ptr<server> server_;
};

// Runs the subcommand `rig store --listen ADDR` until SIGTERM or SIGINT. Returns the exit code.
auto run_store_command(const std::vector<std::string>& arguments) -> int;

}  // namespace agatepost
