// Holds the newest configuration of a host and computes the changes for its peers.
#pragma once

#include <absl/container/flat_hash_set.h>
#include <absl/hash/hash.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/config_type.h"
#include "config/snapshot_base.h"
#include "core/published_base.h"
#include "store/store_base.h"

namespace agatepost {

// One changed object of a delta.
struct delta_entry {
    std::string key;  // KIND/NAME
    config_entry entry;
    bool is_readable = true;  // false: the document did not parse; the receiver keeps its current object

    friend auto operator==(const delta_entry& a, const delta_entry& b) -> bool {
        return a.key == b.key && a.entry == b.entry && a.is_readable == b.is_readable;
    }
};

// A range of revisions, both ends exclusive, that a listing or full delta skipped. An object created and
// removed inside it is unknown.
using revision_gap = std::pair<std::uint64_t, std::uint64_t>;

// The changes that lead from one revision to another. A full delta lists every object that exists at
// `revision` and applies to any earlier state. Any other delta applies to a state at or after `from` that
// does not lie inside a gap: such a state may hold an object whose removal is missing from the delta.
struct config_delta {
    std::uint64_t from = 0;
    std::uint64_t revision = 0;
    bool is_full = false;
    std::vector<delta_entry> entries;
    std::vector<revision_gap> gaps;

    friend auto operator==(const config_delta& a, const config_delta& b) -> bool {
        return a.from == b.from && a.revision == b.revision && a.is_full == b.is_full &&
               a.entries == b.entries && a.gaps == b.gaps;
    }
};

auto to_json(const config_delta& delta) -> nlohmann::json;

// Reads a delta; error_kind::invalid_message if it is malformed. Objects that do not parse are logged and
// marked unreadable, so that a host of an older version still applies the rest.
auto parse_delta(const nlohmann::json& document) -> result<config_delta>;

auto to_cbor(const config_delta& delta) -> std::vector<std::uint8_t>;
auto parse_delta_cbor(const std::vector<std::uint8_t>& bytes) -> result<config_delta>;

// The newest configuration. A keeper at revision R has every change up to R. It applies only changes that
// lead to a higher revision, so no source can revert it. All functions are thread-safe.
class config_keeper {
public:
    // Called with each new snapshot, in order of revision, on the thread that applied the change. May read
    // from the keeper but must not apply changes to it.
    using change_callback = std::function<void(const snapshot_ptr&)>;

    // Number of changes kept for deltas: one day at the design rate. A peer that is further behind gets a
    // full delta.
    static constexpr std::size_t default_history_limit = 10000;

    explicit config_keeper(std::size_t history_limit = default_history_limit)
        : history_limit_(history_limit) {}

    auto revision() const -> std::uint64_t { return revision_; }

    // Returns the newest snapshot; its revision is 0 until the first change.
    auto current() const -> snapshot_ptr { return current_.load(); }

    auto on_change(change_callback callback) -> void;

    // Applies a listing of the store under config_prefix. Returns false if it is not newer.
    auto apply_listing(const store_listing& listing) -> bool;

    // Applies events of a watch that reports every change after `from`. Returns false and changes nothing if
    // no event is newer or the keeper is older than `from`, because changes in between would be lost.
    auto apply_events(std::uint64_t from, const std::vector<store_event>& events) -> bool;

    // Applies a delta. Returns false and changes nothing if it is not newer, or is not full and does not
    // apply to the keeper's revision. A delta requested since that revision does apply.
    auto apply_delta(const config_delta& delta) -> bool;

    // Returns the changes after a revision; a full delta if some of them are unknown.
    auto delta_since(std::uint64_t revision) const -> config_delta;

    // Returns one object, if it exists.
    auto find(const std::string& key) const -> std::optional<config_entry>;

    // Returns a copy of the whole configuration.
    auto all() const -> configuration;

private:
    // A changed key. Its object is in entries_, unless it was removed.
    struct history_change {
        std::uint64_t revision;
        std::string key;
    };

    // Key for lookups and for the order of a snapshot rebuild: kind, then name.
    struct entry_key {
        std::size_t kind;  // index in config_object
        std::string_view name;
    };
    static auto key_of(const config_object& object) -> entry_key;
    static auto key_of(std::string_view key) -> entry_key;

    // Entries are looked up by the kind and name they contain, which avoids a copy of each key.
    struct entry_hash {
        using is_transparent = void;
        auto operator()(const entry_key& key) const -> std::size_t {
            return absl::HashOf(key.kind, key.name);
        }
        auto operator()(const shared_entry& entry) const -> std::size_t {
            return (*this)(key_of(entry->object));
        }
    };
    struct entry_equal {
        using is_transparent = void;
        static auto key(const entry_key& k) -> entry_key { return k; }
        static auto key(const shared_entry& e) -> entry_key { return key_of(e->object); }
        template <typename A, typename B>
        auto operator()(const A& a, const B& b) const -> bool {
            return key(a).kind == key(b).kind && key(a).name == key(b).name;
        }
    };

    auto entry_at(std::string_view key) const -> shared_entry;
    auto sorted_entries() const -> std::vector<shared_entry>;
    auto set(const std::string& key, const config_entry& entry) -> void;
    auto replace_all(std::uint64_t revision, const std::vector<delta_entry>& present) -> void;
    auto has_changes_since(std::uint64_t revision) const -> bool;
    auto trim_history() -> void;
    auto publish(std::uint64_t revision) -> void;

    std::size_t history_limit_;
    std::mutex apply_mutex_;          // held while a change is applied and callback_ runs
    mutable std::mutex state_mutex_;  // guards entries_, history_, gaps_ and history_start_
    absl::flat_hash_set<shared_entry, entry_hash, entry_equal> entries_;
    std::deque<history_change> history_;  // in the order in which the changes were applied
    std::uint64_t history_start_ = 0;  // history_ has every change after this revision, except inside gaps_
    std::vector<revision_gap> gaps_;   // left by listings and full deltas
    snapshot_builder builder_;
    std::atomic<std::uint64_t> revision_{0};
    published<snapshot> current_;
    change_callback callback_;
};

// Updates `keeper` from the store until `is_done` returns true: by a listing at the start and after a
// compaction, otherwise by a watch. Failures are logged and retried.
auto follow_store(const store_client& store, config_keeper& keeper, const std::function<bool()>& is_done)
    -> void;

}  // namespace agatepost
