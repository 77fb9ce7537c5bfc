// Store plug-ins: clients of the key-value service that holds the operators' configuration.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error_type.h"
#include "core/plugin_base.h"
#include "core/settings_func.h"

namespace agatepost {

// A value and the store revision of its last change.
struct store_value {
    std::string value;
    std::uint64_t revision = 0;

    friend auto operator==(const store_value& a, const store_value& b) -> bool {
        return a.value == b.value && a.revision == b.revision;
    }
};

// All values under a prefix, read at one revision of the store.
struct store_listing {
    std::uint64_t revision = 0;
    std::map<std::string, store_value> values;
};

// One change reported by a watch. An empty value means that the key was removed.
struct store_event {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t revision = 0;
};

// A condition of a transaction: the key's last change is at `revision` (0: the key does not exist).
struct store_compare {
    std::string key;
    std::uint64_t revision = 0;
};

// A write to one key in a transaction. An empty value removes the key. A key with a lease is removed when the
// lease ends.
struct store_change {
    std::string key;
    std::optional<std::string> value;
    std::int64_t lease = 0;
};

// An open connection to the store. All calls except watch block for at most the store's time limit.
// Thread-safe.
struct store_client {
    // Reads one key; an empty optional means that it does not exist.
    std::function<result<std::optional<store_value>>(const std::string& key)> read;
    // Reads all keys that begin with a prefix.
    std::function<result<store_listing>(const std::string& prefix)> list;
    // Writes a key if its revision is still `expected` (0: it must not exist); an empty value removes it.
    // Returns the new revision; error_kind::conflict if it changed, error_kind::outcome_unknown if the
    // response was lost.
    std::function<result<std::uint64_t>(const std::string& key, std::uint64_t expected,
                                        const std::optional<std::string>& value)>
        write;
    // Makes all changes atomically if all comparisons hold, none otherwise. Returns the new revision of all
    // changed keys; errors as for write.
    std::function<result<std::uint64_t>(const std::vector<store_compare>& compares,
                                        const std::vector<store_change>& changes)>
        transact;
    // Watches changes after `revision` until `on_events` returns false or the connection fails. `on_events`
    // is called with an empty list at least once a second, so that the watch can be stopped. All changes of
    // one revision are in one list. error_kind::revision_compacted requires a new listing; after any other
    // error the watch can resume after the last revision seen.
    std::function<result<void>(const std::string& prefix, std::uint64_t revision,
                               const std::function<bool(const std::vector<store_event>&)>& on_events)>
        watch;
    // Grants a lease that ends after `ttl_s` seconds unless it is renewed; returns its number.
    std::function<result<std::int64_t>(std::int64_t ttl_s)> grant_lease;
    // Renews a lease; returns the remaining seconds. error_kind::not_found if it has ended.
    std::function<result<std::int64_t>(std::int64_t lease)> keep_lease_alive;
    // Revokes a lease and removes its keys.
    std::function<result<void>(std::int64_t lease)> revoke_lease;
};

// A store plug-in.
struct store_plugin {
    std::string_view name;
    auto(*open)(const settings& options) -> result<store_client>;
};

// Prefix of all configuration keys; the rest of a key is KIND/NAME.
constexpr std::string_view config_prefix = "/agatepost/";

}  // namespace agatepost
