#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

#include "config/config_func.h"
#include "config/config_keeper_base.h"
#include "core/cbor_func.h"
#include "core/history_func.h"
#include "core/log_func.h"

namespace agatepost {

namespace {

using nlohmann::json;

// Names of the kinds by index in config_object, which is also the order of keys.
constexpr auto kind_names = std::array<std::string_view, 4>{"", "profile", "service", "target"};

auto key_text(std::size_t kind, std::string_view name) -> std::string {
    return absl::StrCat(std::string(kind_names[kind]), "/", std::string(name));
}

auto kind_of(const std::string& key) -> std::string {
    return key.substr(0, key.find('/'));
}

// Parses one stored document. A document that does not parse, or whose name differs from its key, is logged
// and marked unreadable.
auto read_entry(const std::string& key, const json& document, std::uint64_t revision) -> delta_entry {
    auto read = delta_entry{key, {revision, {}}, true};
    if (document.is_null()) {
        return read;
    }
    auto parsed = parse_object(kind_of(key), document);
    if (parsed && key != kind_of(key) + "/" + document["name"].get<std::string>()) {
        parsed = make_error(error_kind::invalid_document, "the name differs from the key",
                            "store the object under its own name");
    }
    if (!parsed) {
        write_log(log_event::configuration_rejected, {{"key", key}, {"error", to_text(parsed.error())}});
        record_history(history_kind::configuration,
                       {{"event", "rejected"}, {"key", key}, {"error", to_text(parsed.error())}});
        read.is_readable = false;
        return read;
    }
    read.entry.object = std::move(parsed->object);
    return read;
}

auto read_entry(const std::string& key, const std::string& text, std::uint64_t revision) -> delta_entry {
    auto document = json::parse(text, nullptr, false);
    if (document.is_null()) {
        document = json::object();  // a stored null is an invalid document, not a removal
    }
    return read_entry(key, document, revision);
}

auto is_under_prefix(const std::string& key) -> bool {
    return key.compare(0, config_prefix.size(), config_prefix) == 0;
}

auto invalid_delta(const std::string& message) -> tl::unexpected<error> {
    return make_error(error_kind::invalid_message, "configuration delta: " + message,
                      "check that all hosts run compatible versions");
}

auto is_inside(std::uint64_t revision, const std::vector<revision_gap>& gaps) -> bool {
    return std::any_of(gaps.begin(), gaps.end(),
                       [&](const auto& gap) { return revision > gap.first && revision < gap.second; });
}

constexpr auto retry_pause = std::chrono::milliseconds(500);
constexpr auto pause_step = std::chrono::milliseconds(50);

auto pause_before_retry(const std::function<bool()>& is_done) -> void {
    for (auto waited = std::chrono::milliseconds(0); waited < retry_pause && !is_done();
         waited += pause_step) {
        std::this_thread::sleep_for(pause_step);
    }
}

}  // namespace

auto to_json(const config_delta& delta) -> json {
    auto entries = json::array();
    for (const auto& item : delta.entries) {
        entries.push_back(json::array({item.key, item.entry.revision, to_json(item.entry)}));
    }
    return {{"from", delta.from},
            {"revision", delta.revision},
            {"full", delta.is_full},
            {"gaps", delta.gaps},
            {"entries", std::move(entries)}};
}

auto parse_delta(const json& document) -> result<config_delta> {
    auto delta = config_delta{};
    try {
        delta.from = document.at("from").get<std::uint64_t>();
        delta.revision = document.at("revision").get<std::uint64_t>();
        delta.is_full = document.at("full").get<bool>();
        delta.gaps = document.at("gaps").get<std::vector<revision_gap>>();
        for (const auto& item : document.at("entries")) {
            const auto revision = item.at(1).get<std::uint64_t>();
            if (revision == 0 || revision > delta.revision) {
                return invalid_delta("revision " + std::to_string(revision) + " is out of range");
            }
            delta.entries.push_back(read_entry(item.at(0).get<std::string>(), item.at(2), revision));
        }
    } catch (const json::exception& e) {
        return invalid_delta(e.what());
    }
    return delta;
}

auto to_cbor(const config_delta& delta) -> std::vector<std::uint8_t> {
    return json::to_cbor(to_json(delta));
}

auto parse_delta_cbor(const std::vector<std::uint8_t>& bytes) -> result<config_delta> {
    const auto document = read_cbor({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
    if (document.is_discarded()) {
        return invalid_delta("not CBOR");
    }
    return parse_delta(document);
}

auto config_keeper::on_change(change_callback callback) -> void {
    const auto applying = std::lock_guard(apply_mutex_);
    callback_ = std::move(callback);
}

auto config_keeper::key_of(const config_object& object) -> entry_key {
    const auto name = std::visit(
        [](const auto& held) -> std::string_view {
            if constexpr (std::is_same_v<std::decay_t<decltype(held)>, std::monostate>) {
                return {};
            } else {
                return held.name;
            }
        },
        object);
    return {object.index(), name};
}

auto config_keeper::key_of(std::string_view key) -> entry_key {
    const auto slash = key.find('/');
    for (auto kind = std::size_t{1}; kind < kind_names.size(); ++kind) {
        if (slash != std::string_view::npos && key.substr(0, slash) == kind_names[kind]) {
            return {kind, key.substr(slash + 1)};
        }
    }
    return {0, key};
}

auto config_keeper::entry_at(std::string_view key) const -> shared_entry {
    const auto found = entries_.find(key_of(key));
    return found == entries_.end() ? nullptr : *found;
}

// Returns all entries ordered by kind, then name, which is the order of their keys.
auto config_keeper::sorted_entries() const -> std::vector<shared_entry> {
    auto found = std::vector<shared_entry>(entries_.begin(), entries_.end());
    std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
        const auto left = key_of(a->object);
        const auto right = key_of(b->object);
        return std::tie(left.kind, left.name) < std::tie(right.kind, right.name);
    });
    return found;
}

auto config_keeper::set(const std::string& key, const config_entry& entry) -> void {
    const auto before = entry_at(key);
    const auto is_removal = std::holds_alternative<std::monostate>(entry.object);
    const auto after = is_removal ? nullptr : std::make_shared<const config_entry>(entry);
    builder_.change(before, after);
    if (before != nullptr) {
        entries_.erase(before);
    }
    if (after != nullptr) {
        entries_.insert(after);
    }
}

auto config_keeper::replace_all(std::uint64_t revision, const std::vector<delta_entry>& present) -> void {
    auto kept = absl::flat_hash_set<std::string_view>{};
    auto changed = std::vector<const delta_entry*>{};
    for (const auto& item : present) {
        kept.insert(item.key);
        const auto found = entry_at(item.key);
        if (item.is_readable && (found == nullptr || found->revision < item.entry.revision)) {
            changed.push_back(&item);
        }
    }
    auto removed = std::vector<std::string>{};
    for (const auto& entry : entries_) {
        const auto key = key_of(entry->object);
        auto text = key_text(key.kind, key.name);
        if (kept.count(text) == 0) {
            removed.push_back(std::move(text));
        }
    }
    std::stable_sort(changed.begin(), changed.end(),
                     [](const auto* a, const auto* b) { return a->entry.revision < b->entry.revision; });
    // Removals are applied first, because a new object may use the address of a removed one.
    for (const auto& key : removed) {
        set(key, config_entry{revision, {}});
    }
    for (const auto* item : changed) {
        set(item->key, item->entry);
    }
    if (changed.size() + removed.size() > history_limit_) {
        history_.clear();
        history_start_ = revision;
        return;
    }
    for (const auto* item : changed) {
        history_.push_back({item->entry.revision, item->key});
    }
    for (const auto& key : removed) {
        history_.push_back({revision, key});
    }
    // An object created and removed between the two revisions was never seen here, so a delta for a peer in
    // between could not contain its removal.
    gaps_.emplace_back(revision_, revision);
}

auto config_keeper::trim_history() -> void {
    while (history_.size() > history_limit_) {
        history_start_ = std::max(history_start_, history_.front().revision);
        history_.pop_front();
    }
    // A revision that was trimmed in part lies at or before history_start_, so no delta needs its remaining
    // changes.
    gaps_.erase(std::remove_if(gaps_.begin(), gaps_.end(),
                               [&](const auto& gap) { return gap.second <= history_start_; }),
                gaps_.end());
}

auto config_keeper::publish(std::uint64_t revision) -> void {
    if (builder_.has_conflict()) {
        builder_ = snapshot_builder{};
        for (const auto& entry : sorted_entries()) {
            builder_.change(nullptr, entry);
        }
    }
    current_.store(builder_.publish(revision));
    revision_ = revision;
}

auto config_keeper::apply_listing(const store_listing& listing) -> bool {
    const auto applying = std::lock_guard(apply_mutex_);
    if (listing.revision <= revision_) {
        return false;
    }
    auto present = std::vector<delta_entry>{};
    for (const auto& [full_key, stored] : listing.values) {
        if (!is_under_prefix(full_key)) {
            continue;
        }
        auto key = full_key.substr(config_prefix.size());
        const auto known = entry_at(key);
        if (known != nullptr && known->revision == stored.revision) {
            present.push_back({std::move(key), {stored.revision, {}}, false});  // unchanged, no need to parse
        } else {
            present.push_back(read_entry(key, stored.value, stored.revision));
        }
    }
    {
        const auto locked = std::lock_guard(state_mutex_);
        replace_all(listing.revision, present);
        trim_history();
        publish(listing.revision);
    }
    if (callback_) {
        callback_(current_.load());
    }
    return true;
}

auto config_keeper::apply_events(std::uint64_t from, const std::vector<store_event>& events) -> bool {
    const auto applying = std::lock_guard(apply_mutex_);
    if (from > revision_) {
        return false;
    }
    auto delta = config_delta{from, revision_, false, {}, {}};
    for (const auto& event : events) {
        if (event.revision <= revision_ || !is_under_prefix(event.key)) {
            continue;
        }
        const auto key = event.key.substr(config_prefix.size());
        delta.entries.push_back(event.value ? read_entry(key, *event.value, event.revision)
                                            : delta_entry{key, {event.revision, {}}, true});
        delta.revision = std::max(delta.revision, event.revision);
    }
    if (delta.revision == revision_) {
        return false;
    }
    {
        const auto locked = std::lock_guard(state_mutex_);
        for (const auto& item : delta.entries) {
            if (item.is_readable) {
                set(item.key, item.entry);
                history_.push_back({item.entry.revision, item.key});
            }
        }
        trim_history();
        publish(delta.revision);
    }
    if (callback_) {
        callback_(current_.load());
    }
    return true;
}

auto config_keeper::apply_delta(const config_delta& delta) -> bool {
    const auto applying = std::lock_guard(apply_mutex_);
    const auto is_applicable =
        delta.is_full || (delta.from <= revision_ && !is_inside(revision_, delta.gaps));
    if (delta.revision <= revision_ || !is_applicable) {
        return false;
    }
    {
        const auto locked = std::lock_guard(state_mutex_);
        if (delta.is_full) {
            replace_all(delta.revision, delta.entries);
        } else {
            auto newer = std::vector<const delta_entry*>{};
            for (const auto& item : delta.entries) {
                if (item.is_readable && item.entry.revision > revision_) {
                    newer.push_back(&item);
                }
            }
            std::stable_sort(newer.begin(), newer.end(), [](const auto* a, const auto* b) {
                return a->entry.revision < b->entry.revision;
            });
            for (const auto* item : newer) {
                set(item->key, item->entry);
                history_.push_back({item->entry.revision, item->key});
            }
            std::copy_if(delta.gaps.begin(), delta.gaps.end(), std::back_inserter(gaps_),
                         [&](const auto& gap) { return gap.second > revision_; });
        }
        trim_history();
        publish(delta.revision);
    }
    if (callback_) {
        callback_(current_.load());
    }
    return true;
}

auto config_keeper::has_changes_since(std::uint64_t revision) const -> bool {
    return revision >= history_start_ && revision > 0 && !is_inside(revision, gaps_);
}

auto config_keeper::delta_since(std::uint64_t revision) const -> config_delta {
    const auto locked = std::lock_guard(state_mutex_);
    auto delta = config_delta{revision, revision_, false, {}, {}};
    if (revision >= revision_) {
        return delta;
    }
    if (!has_changes_since(revision)) {
        delta.is_full = true;
        for (const auto& entry : sorted_entries()) {
            const auto key = key_of(entry->object);
            delta.entries.push_back({key_text(key.kind, key.name), *entry, true});
        }
        return delta;
    }
    auto added_keys = absl::flat_hash_set<std::string_view>{};
    for (auto at = history_.rbegin(); at != history_.rend(); ++at) {
        if (at->revision <= revision || !added_keys.insert(at->key).second) {
            continue;
        }
        const auto found = entry_at(at->key);
        delta.entries.push_back({at->key, found == nullptr ? config_entry{at->revision, {}} : *found, true});
    }
    std::reverse(delta.entries.begin(), delta.entries.end());
    std::copy_if(gaps_.begin(), gaps_.end(), std::back_inserter(delta.gaps),
                 [&](const auto& gap) { return gap.second > revision; });
    return delta;
}

auto config_keeper::find(const std::string& key) const -> std::optional<config_entry> {
    const auto locked = std::lock_guard(state_mutex_);
    const auto found = entry_at(key);
    return found == nullptr ? std::optional<config_entry>() : *found;
}

auto config_keeper::all() const -> configuration {
    const auto locked = std::lock_guard(state_mutex_);
    auto config = configuration{revision_, {}};
    for (const auto& entry : entries_) {
        const auto key = key_of(entry->object);
        config.entries.emplace(key_text(key.kind, key.name), *entry);
    }
    return config;
}

auto follow_store(const store_client& store, config_keeper& keeper, const std::function<bool()>& is_done)
    -> void {
    const auto prefix = std::string(config_prefix);
    auto needs_listing = true;
    while (!is_done()) {
        if (needs_listing) {
            const auto listing = store.list(prefix);
            if (!listing) {
                write_log(log_event::watch_failed, {{"error", to_text(listing.error())}});
                pause_before_retry(is_done);
                continue;
            }
            keeper.apply_listing(*listing);
        }
        auto from = keeper.revision();
        const auto watched = store.watch(prefix, from, [&](const std::vector<store_event>& events) {
            keeper.apply_events(from, events);
            return !is_done();
        });
        needs_listing = !watched && watched.error().kind == error_kind::revision_compacted;
        if (!watched && !needs_listing) {
            write_log(log_event::watch_failed, {{"error", to_text(watched.error())}});
            pause_before_retry(is_done);
        }
    }
}

}  // namespace agatepost
