// Stand-in for the platform's key-value store: the published etcd v3 JSON gateway with faults on request.
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

// What goes wrong. Counts run down by one with each call that they hit.
struct store_faults {
    bool is_down = false;              // connections are closed without an answer, open watches end
    std::int64_t delay_ms = 0;         // each answer comes this much later
    int lost_answers = 0;              // number of next writes that take effect and get no answer
    int lost_requests = 0;             // number of next writes that neither take effect nor get an answer
    std::int64_t watch_delay_ms = 0;   // events reach watches this much later
    bool are_watches_silent = false;   // watches open at this moment never report again and stay open
    std::uint64_t stale_revision = 0;  // reads answer as of this revision; 0: the newest

    friend auto operator==(const store_faults& a, const store_faults& b) -> bool {
        return a.is_down == b.is_down && a.delay_ms == b.delay_ms && a.lost_answers == b.lost_answers &&
               a.lost_requests == b.lost_requests && a.watch_delay_ms == b.watch_delay_ms &&
               a.are_watches_silent == b.are_watches_silent && a.stale_revision == b.stale_revision;
    }
};

// A small HTTP server with one thread for each connection. All functions are thread-safe but for start and
// stop, which one thread calls. Besides the store's calls it answers POST /fault, which sets the fields of a
// JSON object (down, delay_ms, lost_answers, lost_requests, watch_delay_ms, watches_silent, stale_revision),
// and GET /calls, which tells the number of calls by kind.
class store_standin {
public:
    store_standin();
    ~store_standin();
    store_standin(const store_standin&) = delete;
    auto operator=(const store_standin&) -> store_standin& = delete;

    // Starts serving. Port 0 picks a free one; the result is the address in use.
    auto start(const endpoint& address) -> result<endpoint>;

    // Ends all connections and threads. What is stored stays, so that a later start is a restart.
    auto stop() -> void;

    auto faults() const -> store_faults;
    auto set_faults(const store_faults& faults) -> void;

    // Returns the number of calls by kind: range, put, deleterange, txn, watch, lease_grant, lease_keepalive,
    // lease_revoke, compaction. A waiting watch counts as one.
    auto calls() const -> std::map<std::string, std::uint64_t>;

    // Returns the revision of the last change.
    auto revision() const -> std::uint64_t;

    // Forgets all changes up to a revision, as the store's operators do to save space.
    auto compact(std::uint64_t revision) -> void;

private:
    struct server;
    std::unique_ptr<server> server_;
};

// The sub-command `rig store --listen ADDR`: serves until SIGTERM or SIGINT. Returns the exit code.
auto run_store_command(const std::vector<std::string>& arguments) -> int;

}  // namespace agatepost
