#include "edge/store_follower_base.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "core/log_func.h"
#include "edge/store_era_func.h"

namespace agatepost::edge {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_gone = 410;  // the store has compacted the start revision of the watch

}  // namespace

store_follower::store_follower(event_loop& loop, directory& known, follower_settings settings,
                               follower_events events, std::minstd_rand& random)
    : client_(loop, settings.era_header),
      known_(known),
      settings_(settings),
      events_(std::move(events)),
      random_(random) {}

auto store_follower::enable(bool is_enabled, time_ms at) -> void {
    if (is_enabled == is_enabled_) {
        return;
    }
    is_enabled_ = is_enabled;
    next_call_ = at;
    is_unconfirmed_ = true;
    needs_listing_ = needs_listing_ && position_of(known_).revision == 0;
    list_after_key_.clear();
    if (!is_enabled) {
        client_.cancel();
    }
}

auto store_follower::restart(time_ms at) -> void {
    client_.cancel();
    needs_listing_ = false;
    list_after_key_.clear();
    copy_.clear();
    is_unconfirmed_ = true;
    complete_at_.reset();  // by answers of the former era
    next_call_ = at;
}

auto store_follower::on_timer(time_ms at) -> void {
    client_.on_timer(at);
    if (!is_enabled_ || client_.is_busy() || at < next_call_) {
        return;
    }
    if (needs_listing_) {
        list_next(at);
    } else {
        watch(at);
    }
}

auto store_follower::view_age_ms(time_ms at) const -> std::int64_t {
    return complete_at_ ? at - *complete_at_ : std::numeric_limits<std::int32_t>::max();
}

auto store_follower::next_deadline() const -> time_ms {
    return client_.is_busy() ? client_.deadline()
           : is_enabled_     ? next_call_
                             : time_ms{std::numeric_limits<std::int64_t>::max()};
}

auto store_follower::list_next(time_ms at) -> void {
    if (list_after_key_.empty()) {
        list_started_ = at;
    }
    call_sent_ = at;
    call_deadline_ = at + store_answer_limit_ms;
    client_.call(settings_.store, known_.platform->list_request(list_after_key_), call_deadline_,
                 [this](result<http_answer> answer) { on_answer(std::move(answer), true); });
}

auto store_follower::watch(time_ms at) -> void {
    watch_start_revision_ = known_.revision;
    watch_wait_ms_ = is_unconfirmed_ ? confirming_wait_ms : settings_.watch_wait_ms;
    call_sent_ = at;
    call_deadline_ = at + watch_wait_ms_ + store_answer_limit_ms;
    client_.call(settings_.store, known_.platform->watch_request(known_.revision, watch_wait_ms_),
                 call_deadline_, [this](result<http_answer> answer) { on_answer(std::move(answer), false); });
}

auto store_follower::on_answer(result<http_answer> answer, bool is_listing) -> void {
    const auto at = boot_now();
    if (!answer && !is_listing && answer.error().kind == error_kind::message_too_large) {
        // The pages of a listing are limited; the same watch would fail again.
        list_again("the answer to the watch is too large", at);
        return;
    }
    if (!answer) {
        // A connection that ends shows that its other end was there until now. Silence shows nothing.
        on_failure(answer.error(), at < call_deadline_ ? at : call_sent_, at);
        return;
    }
    if (!is_usable(*answer, is_listing, at)) {
        return;
    }
    if (!is_listing && answer->status == status_gone) {
        list_again("the store has discarded the history", at);
        return;
    }
    if (answer->status != status_ok) {
        on_failure({error_kind::store_unavailable, absl::StrCat("the store answered ", answer->status),
                    "check the load and the limits of the store; the call is retried"},
                   at, at);
        return;
    }
    const auto page = known_.platform->read_page(answer->body);
    if (!page) {
        on_failure(page.error(), at, at);
        return;
    }
    record_success(at);
    if (is_listing) {
        on_list_page(*page, at);
    } else {
        on_watch_page(*page, at);
    }
}

// Compares the era of an answer with the known one. A higher one starts a new listing, or is that of a
// listing that begins with this answer. An answer without a readable era counts as of the known one.
auto store_follower::is_usable(const http_answer& answer, bool is_listing, time_ms at) -> bool {
    auto values = std::vector<std::string>{};
    for (const auto& header : answer.headers) {
        values.push_back(header.value);
    }
    const auto read = known_.platform->read_era(values);
    if (!read) {
        events_.on_era_invalid(read.error());
    }
    store_era_ = std::max(store_era_, known_.era);
    const auto era = read && *read ? **read : store_era_;
    const auto begins_listing = is_listing && list_after_key_.empty();
    older_answers_ = era < store_era_ ? older_answers_ + 1 : 0;
    if (older_answers_ > 0 && older_answers_ < max_older_answers) {
        const auto fault = error{error_kind::invalid_message,
                                 absl::StrCat("the store answered in era ", era, ", known is ", store_era_),
                                 "check the store, and who sends in the name of other hosts"};
        events_.on_era_invalid(fault);
        on_failure(fault, at, at);
        return false;
    }
    if (begins_listing) {
        store_era_ = era;
        list_era_ = era;
        return true;
    }
    if (era != (is_listing ? list_era_ : known_.era)) {
        store_era_ = era;
        list_again("the store is in another era", at);
        return false;
    }
    return true;
}

auto store_follower::apply(const store_page& page, time_ms at) -> void {
    for (const auto& item : page.items) {
        const auto outcome = apply_item(known_, item, at);
        if (outcome.change != directory_change::none) {
            events_.on_item(item, outcome);
        }
    }
}

auto store_follower::on_list_page(const store_page& page, time_ms at) -> void {
    if (list_after_key_.empty()) {
        list_revision_ = page.revision;
        listed_.clear();
        copy_.clear();
        if (!known_.is_complete && known_.era != list_era_) {
            discard_invalid_revisions(known_, 0);  // items of a listing of another era that broke off
            known_.era = list_era_;
        }
    }
    if (list_era_ == known_.era) {
        for (const auto& item : page.items) {
            listed_[item.key] = true;
        }
        apply(page, at);
    } else {
        for (const auto& item : page.items) {
            copy_.push_back(decode_item(*known_.platform, item));
        }
    }
    next_call_ = at;
    if (page.has_more && !page.items.empty()) {
        list_after_key_ = page.items.back().key;
        return;
    }
    finish_listing(at);
}

// Pages are no snapshot: the watch returns again the changes made while they were read.
auto store_follower::finish_listing(time_ms at) -> void {
    if (list_era_ == known_.era) {
        for (const auto& key : edge::finish_listing(known_, listed_, list_revision_, at)) {
            events_.on_target_gone(key);
        }
    } else {
        events_.on_era(adopt_era(known_, {list_era_, list_revision_}, std::exchange(copy_, {}), at));
    }
    needs_listing_ = false;
    list_after_key_.clear();
    record_complete(list_started_);
    events_.on_news();
}

auto store_follower::on_watch_page(const store_page& page, time_ms at) -> void {
    if (page.revision < watch_start_revision_) {
        // The store's answers are linearizable, so the revision that a peer reported is invalid.
        write_log(log_event::revision_false, {{"known", std::to_string(watch_start_revision_)},
                                              {"store", std::to_string(page.revision)}});
        discard_invalid_revisions(known_, page.revision);
        list_again("the known revision is invalid", at);
        return;
    }
    apply(page, at);
    relist_pause_ms_ = 0;
    const auto is_newer = page.revision > known_.revision;
    known_.revision = std::max(known_.revision, page.revision);
    next_call_ = page.items.empty() ? at : at + watch_pause_ms;
    const auto was_unconfirmed = is_unconfirmed_;
    // The store answers at the end of the wait at the latest. An answer that arrives later was held up.
    record_complete(std::min(at, call_sent_ + watch_wait_ms_));
    if (is_newer || was_unconfirmed) {
        events_.on_news();
    }
}

auto store_follower::record_complete(time_ms since) -> void {
    complete_at_ = since;
    is_unconfirmed_ = false;
}

auto store_follower::record_success(time_ms at) -> void {
    pause_ms_ = retry_pause_ms;
    if (!is_lost_) {
        return;
    }
    is_lost_ = false;
    // A watch that is cut is no outage. If it counted as one, cuts in a row would extend the grace for ever.
    if (at - lost_since_ >= settings_.lapse_outage_ms) {
        known_.lapse_grace_until = at + lapse_grace_ms;
    }
    events_.on_store_regained(at - lost_since_);
}

// Starts a new listing, since a watch from the known revision cannot go on.
auto store_follower::list_again(std::string_view reason, time_ms at) -> void {
    needs_listing_ = true;
    list_after_key_.clear();
    next_call_ = at + random_part(relist_pause_ms_);
    relist_pause_ms_ = std::clamp(2 * relist_pause_ms_, relist_pause_ms, relist_pause_limit_ms);
    events_.on_listing_needed(reason);
}

// Returns a random time between half and all of a pause.
auto store_follower::random_part(std::int64_t pause_ms) -> std::int64_t {
    const auto half = static_cast<std::uint32_t>(pause_ms / 2);
    return half == 0 ? 0 : half + static_cast<std::int64_t>(random_() % half);
}

auto store_follower::on_failure(const error& fault, time_ms since, time_ms at) -> void {
    is_unconfirmed_ = true;
    if (!is_lost_) {
        is_lost_ = true;
        lost_since_ = since;
        events_.on_store_lost(fault);
    }
    next_call_ = at + random_part(pause_ms_);
    pause_ms_ = std::min(pause_ms_ * 2, retry_pause_limit_ms);
}

}  // namespace agatepost::edge
