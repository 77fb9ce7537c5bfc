// Operators' changes to the configuration in the store. Each change is one transaction that compares the
// revisions it is based on.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/config_type.h"
#include "store/store_base.h"

namespace agatepost {

// Options of a change.
struct operator_options {
    std::int64_t quarantine_ms = 86400000;  // before the index of a removed target is reused
    std::uint64_t expected_revision = 0;    // fail unless the object is at this revision; 0: at any
    bool is_forced = false;                 // remove a target that is not draining
    bool is_dry_run = false;                // only compute the difference
    std::function<std::int64_t()> clock;    // wall clock in ms; empty: the system clock
};

// One object before and after a change; null where it does not exist. Equal documents: nothing was written.
struct object_change {
    std::string key;
    nlohmann::json before;
    nlohmann::json after;
    std::uint64_t revision = 0;

    friend auto operator==(const object_change& a, const object_change& b) -> bool {
        return a.key == b.key && a.before == b.before && a.after == b.after && a.revision == b.revision;
    }
};

// How the fields of a change are combined with the object that exists.
enum class merge_rule {
    update,   // other fields keep their values
    replace,  // other fields get their defaults
};

// Prefixes of keys that keep changes of different objects consistent. They are outside config_prefix, so
// hosts do not read them.
constexpr std::string_view allocation_prefix = "/agatepost-allocation/";  // POOL: holder of each index
constexpr std::string_view claim_prefix = "/agatepost-claim/";            // address or port: its service

// Creates or changes an object. A new target gets a free index of its pool. error_kind::conflict if another
// operator changed the object first, with the difference in the message; error_kind::outcome_unknown only if
// the response was lost and the store cannot be read.
auto set_object(const store_client& store, const std::string& kind, const std::string& name,
                const nlohmann::json& fields, merge_rule rule, const operator_options& options)
    -> result<object_change>;

// Removes an object. A profile must not be in use; a target must be draining unless forced, and
// leaves a `gone` entry.
auto remove_object(const store_client& store, const std::string& kind, const std::string& name,
                   const operator_options& options) -> result<object_change>;

// Writes the objects of a document to the store: profiles, then services, then targets. Objects that the
// document does not contain stay. Calls `on_change` for each object that differs; stops at the first failure.
auto apply_document(const store_client& store, const std::string& text, const operator_options& options,
                    const std::function<void(const object_change&)>& on_change) -> result<void>;

// Renders the fields that differ, one per line.
auto difference(const nlohmann::json& before, const nlohmann::json& after) -> std::string;

}  // namespace agatepost
