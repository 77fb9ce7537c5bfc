// Keeps the directory up to date from the store: one listing, then watches.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <optional>
#include <random>
#include <string>

#include "edge/directory_base.h"
#include "edge/http_base.h"
#include "edge/store_era_type.h"

namespace agatepost::edge {

// Wait of the first watch after a takeover or a failed call. Its answer confirms the view at once.
constexpr std::int64_t confirming_wait_ms = 1;

// Time limit of a call, after the wait of a watch. A slow store takes 60 times its usual 4 ms.
constexpr std::int64_t store_answer_limit_ms = 900;

// Pause between a watch that returned changes and the next one, so that a burst of changes costs one call.
constexpr std::int64_t watch_pause_ms = 100;

// Pause after a failed call: doubled up to the limit, and each random between half and all of it.
constexpr std::int64_t retry_pause_ms = 200;
constexpr std::int64_t retry_pause_limit_ms = 800;

// Pause before a listing that follows on another without a successful watch between them: doubled up to the
// limit, and each random between half and all of it. A listing and its watch are then at most 2 calls a
// second.
constexpr std::int64_t relist_pause_ms = 200;
constexpr std::int64_t relist_pause_limit_ms = 2000;

// An answer of a lower era may be late. After this number in a row the store is in that era: the known one
// was false.
constexpr int max_older_answers = 8;

// The store, and the wait of a watch: one without changes is answered after it, and a dead connection is
// detected shortly after it.
struct follower_settings {
    endpoint store;
    std::int64_t watch_wait_ms = 0;
    std::string_view era_header{};  // name of the header that tells the store's era
    // A shorter outage of the store lets no registration of a live target lapse.
    std::int64_t lapse_outage_ms = 0;

    friend auto operator==(const follower_settings& a, const follower_settings& b) -> bool {
        return a.store == b.store && a.watch_wait_ms == b.watch_wait_ms && a.era_header == b.era_header &&
               a.lapse_outage_ms == b.lapse_outage_ms;
    }
};

// Callbacks for events of the follower.
struct follower_events {
    std::function<void(const store_item& item, const item_outcome& outcome)> on_item;
    std::function<void(const std::string& name)> on_target_gone;  // a listing no longer has it
    std::function<void(const error& fault)> on_store_lost;
    std::function<void(std::string_view reason)> on_listing_needed;  // a watch cannot go on
    std::function<void(std::int64_t away_ms)> on_store_regained;
    // The directory's revision or completeness changed, or its view is confirmed after a takeover or an
    // outage.
    std::function<void()> on_news;
    std::function<void(const era_change& change)> on_era;
    std::function<void(const error& fault)> on_era_invalid;  // an answer has no readable era, or a lower one
};

// Reads the store over one connection. Makes no call while disabled.
class store_follower {
public:
    store_follower(event_loop& loop, directory& known, follower_settings settings, follower_events events,
                   std::minstd_rand& random);

    // Starts or stops watching.
    auto enable(bool is_enabled, time_ms at) -> void;

    // Starts again from the directory, which has another era by the changes of another host.
    auto restart(time_ms at) -> void;

    // Sends the next call if it is due, and fails a call whose time limit has passed.
    auto on_timer(time_ms at) -> void;

    auto is_enabled() const -> bool { return is_enabled_; }

    // Whether the store is unavailable: the last call failed.
    auto is_lost() const -> bool { return is_lost_; }

    // Returns the milliseconds since the directory had all changes of the store, by the answers to this
    // follower; a large number without any.
    auto view_age_ms(time_ms at) const -> std::int64_t;

    // Returns when on_timer is due next.
    auto next_deadline() const -> time_ms;

private:
    auto is_usable(const http_answer& answer, bool is_listing, time_ms at) -> bool;
    auto finish_listing(time_ms at) -> void;
    auto list_next(time_ms at) -> void;
    auto watch(time_ms at) -> void;
    auto on_list_page(const store_page& page, time_ms at) -> void;
    auto on_watch_page(const store_page& page, time_ms at) -> void;
    auto on_answer(result<http_answer> answer, bool is_listing) -> void;
    auto random_part(std::int64_t pause_ms) -> std::int64_t;
    auto list_again(std::string_view reason, time_ms at) -> void;
    // `since`: when the store may have become unavailable.
    auto on_failure(const error& fault, time_ms since, time_ms at) -> void;
    auto record_success(time_ms at) -> void;
    auto record_complete(time_ms since) -> void;
    auto apply(const store_page& page, time_ms at) -> void;

    http_client client_;
    directory& known_;
    follower_settings settings_;
    follower_events events_;
    std::minstd_rand& random_;
    bool is_enabled_ = false;
    bool needs_listing_ = true;
    bool is_lost_ = false;
    bool is_unconfirmed_ = true;          // no answer since the start, the takeover or the last failed call
    std::optional<time_ms> complete_at_;  // the directory had all changes of the store then
    time_ms call_sent_;                   // start of the call in progress
    time_ms call_deadline_;
    time_ms lost_since_;
    time_ms next_call_;
    std::int64_t pause_ms_ = retry_pause_ms;
    std::int64_t relist_pause_ms_ = 0;  // before the next listing
    // State of the listing in progress.
    std::string list_after_key_;
    std::uint64_t list_revision_ = 0;
    time_ms list_started_;
    std::uint64_t list_era_ = 0;
    std::vector<decoded_item> copy_;  // the items so far, if the era differs from the directory's
    std::uint64_t store_era_ = 0;     // highest era of the store's answers and of the directory
    int older_answers_ = 0;           // consecutive answers of a lower era
    // The watch in progress.
    std::uint64_t watch_start_revision_ = 0;
    std::int64_t watch_wait_ms_ = 0;
    absl::flat_hash_map<std::string, bool> listed_;
};

}  // namespace agatepost::edge
