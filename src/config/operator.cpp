#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <optional>

#include "config/config_func.h"
#include "config/operator_func.h"
#include "core/clock_type.h"

namespace agatepost {

namespace {

using nlohmann::json;

// Attempts of a change while concurrent changes modify what it depends on, such as the indexes of its pool.
// Each failed attempt means that another operator's change succeeded.
constexpr int attempt_limit = 100;
// Expired entries that one allocation removes. Bounds the size of its transaction.
constexpr std::size_t cleanup_limit = 8;

auto config_key(const std::string& kind, const std::string& name) -> std::string {
    return absl::StrCat(std::string(config_prefix), kind, "/", name);
}

auto wall_clock(const operator_options& options) -> std::int64_t {
    return options.clock ? options.clock() : wall_clock_ms();
}

auto refusal(const std::string& message, const std::string& remedy) -> tl::unexpected<error> {
    return make_error(error_kind::invalid_document, message, remedy);
}

// A stored document with its revision; null and 0 if it does not exist.
struct stored_document {
    json document;
    std::uint64_t revision = 0;
};

auto read_document(const store_client& store, const std::string& key) -> result<stored_document> {
    const auto stored = store.read(key);
    if (!stored) {
        return tl::unexpected<error>(stored.error());
    }
    if (!*stored) {
        return stored_document{};
    }
    auto document = json::parse((*stored)->value, nullptr, false);
    return stored_document{document.is_discarded() ? json::object() : std::move(document),
                           (*stored)->revision};
}

// A change of one object, with the comparisons and further writes of the same transaction.
struct change_plan {
    object_change change;
    std::uint64_t expected = 0;  // revision of the object on which the plan is based
    std::vector<store_compare> compares;
    std::vector<store_change> changes;
};

auto conflict_error(const object_change& change, const stored_document& now_stored) -> tl::unexpected<error> {
    return make_error(
        error_kind::conflict,
        absl::StrCat(change.key, " was changed by another operator (now at revision ", now_stored.revision,
                     "):\n", difference(change.before, now_stored.document)),
        "check the difference and repeat the command if it is still wanted");
}

// Resolves a lost response by reading the object. The written document at a higher revision means that the
// change was accepted.
auto resolve_lost_response(const store_client& store, const change_plan& plan) -> result<object_change> {
    const auto stored = read_document(store, plan.change.key);
    if (!stored) {
        return make_error(
            error_kind::outcome_unknown,
            absl::StrCat(plan.change.key, ": the response was lost and the store cannot be read (",
                         stored.error().message, ")"),
            "get the object once the store responds, before repeating the command");
    }
    auto accepted = plan.change;
    if (stored->revision == plan.expected) {
        return make_error(error_kind::store_unavailable,
                          plan.change.key + ": the change was not accepted; the store did not respond",
                          "repeat the command; it cannot take effect twice");
    }
    if (stored->document == plan.change.after) {
        accepted.revision = stored->revision;
        return accepted;
    }
    return conflict_error(plan.change, *stored);
}

// Commits the change. An empty optional means that only a dependency changed and a new plan is needed.
auto commit(const store_client& store, const change_plan& plan) -> result<std::optional<object_change>> {
    auto compares = plan.compares;
    auto changes = plan.changes;
    compares.push_back({plan.change.key, plan.expected});
    changes.push_back({plan.change.key,
                       plan.change.after.is_null() ? std::optional<std::string>() : plan.change.after.dump(),
                       0});
    const auto written = store.transact(compares, changes);
    if (written) {
        auto done = plan.change;
        done.revision = *written;
        return done;
    }
    if (written.error().kind == error_kind::outcome_unknown) {
        return resolve_lost_response(store, plan).map([](const auto& done) { return std::optional(done); });
    }
    if (written.error().kind != error_kind::conflict) {
        return tl::unexpected<error>(written.error());
    }
    const auto stored = read_document(store, plan.change.key);
    if (!stored) {
        return tl::unexpected<error>(stored.error());
    }
    if (stored->revision != plan.expected) {
        return conflict_error(plan.change, *stored);
    }
    return std::optional<object_change>();
}

// The current or last holder of an index of a pool.
struct index_holder {
    std::string target;
    std::string address;
    std::int64_t freed_at_ms = 0;  // 0: in use
    bool is_cleaned = false;       // the target's entry in state gone was removed
};

// The indexes of a pool. One key holds them all, so that two allocations cannot both succeed.
struct pool_indexes {
    std::uint64_t revision = 0;
    std::map<int, index_holder> holders;
};

auto allocation_key(const std::string& pool) -> std::string {
    return std::string(allocation_prefix) + pool;
}

auto to_text(const pool_indexes& indexes) -> std::string {
    auto document = json::array();
    for (const auto& [index, holder] : indexes.holders) {
        document.push_back({{"index", index},
                            {"target", holder.target},
                            {"address", holder.address},
                            {"freed_at_ms", holder.freed_at_ms},
                            {"cleaned", holder.is_cleaned}});
    }
    return document.dump();
}

// Reads the indexes of a pool. Without an allocation key they are collected from the
// targets, which covers targets that other tools wrote.
auto read_indexes(const store_client& store, const std::string& pool) -> result<pool_indexes> {
    const auto stored = read_document(store, allocation_key(pool));
    if (!stored) {
        return tl::unexpected<error>(stored.error());
    }
    auto indexes = pool_indexes{stored->revision, {}};
    if (stored->revision != 0) {
        for (const auto& item : stored->document) {
            indexes.holders[item.value("index", 0)] = {item.value("target", ""), item.value("address", ""),
                                                       item.value("freed_at_ms", std::int64_t{0}),
                                                       item.value("cleaned", false)};
        }
        return indexes;
    }
    const auto listing = store.list(config_key("target", ""));
    if (!listing) {
        return tl::unexpected<error>(listing.error());
    }
    for (const auto& [key, value] : listing->values) {
        const auto entry = parse_object("target", json::parse(value.value, nullptr, false));
        if (entry && std::get<target>(entry->object).pool == pool) {
            const auto& t = std::get<target>(entry->object);
            indexes.holders[t.index] = {t.name, to_text(t.address), t.freed_at_ms, false};
        }
    }
    return indexes;
}

// Chooses an index: `wanted` unless it is 0, otherwise one that was never used or was freed longest ago.
auto pick_index(const pool_indexes& indexes, int wanted, const std::string& pool, std::int64_t now_ms,
                std::int64_t quarantine_ms) -> result<int> {
    auto best = 0;
    auto best_freed = std::int64_t{0};
    for (auto index = 1; index <= 255; ++index) {
        const auto found = indexes.holders.find(index);
        const auto freed = found == indexes.holders.end() ? -1 : found->second.freed_at_ms;
        const auto is_free = freed != 0 && (freed < 0 || freed + quarantine_ms <= now_ms);
        if (is_free && (wanted == 0 || wanted == index) && (best == 0 || freed < best_freed)) {
            best = index;
            best_freed = freed;
        }
    }
    if (best == 0 && wanted != 0) {
        return refusal(absl::StrCat("index ", wanted, " of pool ", pool, " is in use or in quarantine"),
                       "leave 'index' out to get a free one");
    }
    if (best == 0) {
        return refusal("pool " + pool + " has no free index: all 255 are in use or in quarantine",
                       "remove targets and wait for the end of --index-quarantine, or use another pool");
    }
    return best;
}

// Adds the removal of entries in state gone whose quarantine has ended.
auto add_cleanup(const store_client& store, pool_indexes& indexes, change_plan& plan, std::int64_t now_ms,
                 std::int64_t quarantine_ms) -> result<void> {
    auto total = std::size_t{0};
    for (auto& [index, holder] : indexes.holders) {
        if (holder.freed_at_ms == 0 || holder.is_cleaned || holder.freed_at_ms + quarantine_ms > now_ms ||
            total == cleanup_limit) {
            continue;
        }
        const auto key = config_key("target", holder.target);
        holder.is_cleaned = true;
        if (key == plan.change.key) {
            continue;  // this change writes the entry itself
        }
        const auto stored = read_document(store, key);
        if (!stored) {
            return tl::unexpected<error>(stored.error());
        }
        if (stored->document.is_object() && stored->document.value("state", "") == "gone" &&
            stored->document.value("index", 0) == index) {
            plan.compares.push_back({key, stored->revision});
            plan.changes.push_back({key, {}, 0});
            ++total;
        }
    }
    return {};
}

auto add_index_update(const std::string& pool, const pool_indexes& indexes, change_plan& plan) -> void {
    plan.compares.push_back({allocation_key(pool), indexes.revision});
    plan.changes.push_back({allocation_key(pool), to_text(indexes), 0});
}

// Plans a target: assigns its index and checks that its address is unique in the pool.
auto plan_target(const store_client& store, change_plan& plan, const operator_options& options)
    -> result<void> {
    auto& after = plan.change.after;
    const auto& before = plan.change.before;
    const auto is_new = !before.is_object() || before.value("state", "") == "gone";
    const auto pool = after.value("pool", "");
    if (after.value("state", "") == "gone") {
        return refusal(plan.change.key + ": a target cannot be set to gone", "use 'agatepost target remove'");
    }
    if (!is_new &&
        (before.value("pool", "") != pool || before.value("index", 0) != after.value("index", 0))) {
        return refusal(plan.change.key + ": pool and index of a target cannot be changed",
                       "add a target of another name, then drain and remove this one");
    }
    if (!is_new && before.value("address", "") == after.value("address", "")) {
        return {};
    }
    auto indexes = read_indexes(store, pool);
    if (!indexes) {
        return tl::unexpected<error>(indexes.error());
    }
    for (const auto& [index, holder] : indexes->holders) {
        if (holder.freed_at_ms == 0 && holder.address == after.value("address", "") &&
            holder.target != after.value("name", "")) {
            return refusal(absl::StrCat(plan.change.key, ": address ", holder.address, " belongs to target ",
                                        holder.target, " of the pool"),
                           "give each target of a pool its own address");
        }
    }
    auto index = after.value("index", 0);
    if (is_new) {
        const auto now_ms = wall_clock(options);
        const auto picked = pick_index(*indexes, index, pool, now_ms, options.quarantine_ms);
        if (!picked) {
            return tl::unexpected<error>(picked.error());
        }
        const auto cleaned = add_cleanup(store, *indexes, plan, now_ms, options.quarantine_ms);
        if (!cleaned) {
            return tl::unexpected<error>(cleaned.error());
        }
        index = *picked;
        after["index"] = index;
        after["freed_at_ms"] = 0;
    }
    indexes->holders[index] = {after.value("name", ""), after.value("address", ""), 0, false};
    add_index_update(pool, *indexes, plan);
    return {};
}

// Returns the keys that reserve a service's address and its target port in the pool.
auto claims_of(const json& document) -> std::vector<std::string> {
    if (!document.is_object()) {
        return {};
    }
    const auto protocol = document.value("protocol", "");
    return {absl::StrCat(std::string(claim_prefix), "address/", document.value("address", ""), "/",
                         document.value("port", 0), "/", protocol),
            absl::StrCat(std::string(claim_prefix), "pool/", document.value("pool", ""), "/",
                         document.value("target_port", 0), "/", protocol)};
}

auto profile_use_key(const std::string& profile_name) -> std::string {
    return absl::StrCat(std::string(claim_prefix), "profile/", profile_name);
}

// Plans a service: checks that its profile exists and that its address and target port are free.
auto plan_service(const store_client& store, change_plan& plan) -> result<void> {
    const auto& after = plan.change.after;
    const auto old_claims = claims_of(plan.change.before);
    const auto new_claims = claims_of(after);
    for (const auto& claim : new_claims) {
        const auto holder = store.read(claim);
        if (!holder) {
            return tl::unexpected<error>(holder.error());
        }
        if (*holder && (*holder)->value != plan.change.key) {
            return refusal(plan.change.key + ": " + claim.substr(claim_prefix.size()) + " belongs to " +
                               (*holder)->value,
                           "give each service its own address, and its own target port in its pool");
        }
        plan.compares.push_back({claim, *holder ? (*holder)->revision : 0});
        plan.changes.push_back({claim, plan.change.key, 0});
    }
    for (const auto& claim : old_claims) {
        if (std::find(new_claims.begin(), new_claims.end(), claim) == new_claims.end()) {
            plan.changes.push_back({claim, {}, 0});
        }
    }
    if (after.is_null()) {
        return {};
    }
    const auto profile_name = after.value("profile", "");
    const auto rules = store.read(config_key("profile", profile_name));
    if (!rules) {
        return tl::unexpected<error>(rules.error());
    }
    if (!*rules) {
        return refusal(plan.change.key + ": profile '" + profile_name + "' does not exist",
                       "create the profile first or correct the name");
    }
    plan.compares.push_back({config_key("profile", profile_name), (*rules)->revision});
    // Makes a concurrent removal of the profile fail, because it is now in use.
    plan.changes.push_back({profile_use_key(profile_name), plan.change.key, 0});
    return {};
}

// Plans the removal of a profile: checks that no service uses it.
auto plan_profile_removal(const store_client& store, change_plan& plan, const std::string& name)
    -> result<void> {
    const auto use = store.read(profile_use_key(name));
    if (!use) {
        return tl::unexpected<error>(use.error());
    }
    plan.compares.push_back({profile_use_key(name), *use ? (*use)->revision : 0});
    const auto services = store.list(config_key("service", ""));
    if (!services) {
        return tl::unexpected<error>(services.error());
    }
    for (const auto& [key, stored] : services->values) {
        const auto document = json::parse(stored.value, nullptr, false);
        if (document.is_object() && document.value("profile", "") == name) {
            return refusal(plan.change.key + ": used by " + key, "change or remove the service first");
        }
    }
    return {};
}

// Merges the fields of a change into the stored object and validates the result.
auto combine(const std::string& kind, const std::string& name, const json& before, const json& fields,
             merge_rule rule) -> result<json> {
    const auto is_gone = before.is_object() && before.value("state", "") == "gone";
    auto document = rule == merge_rule::update && before.is_object() && !is_gone ? before : json::object();
    if (kind == "target" && before.is_object() && !is_gone) {
        document["index"] = before.value("index", 0);
    }
    document.update(fields);
    document["name"] = name;
    const auto parsed = parse_object(kind, document);
    if (!parsed) {
        return tl::unexpected<error>(parsed.error());
    }
    return to_json(*parsed);
}

// Plans and commits a change, up to attempt_limit times. `make_plan` completes a plan whose `before` and
// `expected` are set.
template <typename MakePlan>
auto execute_change(const store_client& store, const std::string& key, const operator_options& options,
                    MakePlan make_plan) -> result<object_change> {
    auto first_revision = std::optional<std::uint64_t>();
    for (auto i = 0; i < attempt_limit; ++i) {
        const auto stored = read_document(store, key);
        if (!stored) {
            return tl::unexpected<error>(stored.error());
        }
        auto plan = change_plan{{key, stored->document, {}, stored->revision}, stored->revision, {}, {}};
        const auto expected = options.expected_revision != 0 ? options.expected_revision
                                                             : first_revision.value_or(stored->revision);
        if (stored->revision != expected) {
            return conflict_error(plan.change, *stored);
        }
        first_revision = stored->revision;
        const auto planned = make_plan(plan);
        if (!planned) {
            return tl::unexpected<error>(planned.error());
        }
        if (options.is_dry_run || plan.change.before == plan.change.after) {
            return plan.change;
        }
        auto done = commit(store, plan);
        if (!done) {
            return tl::unexpected<error>(done.error());
        }
        if (*done) {
            return **done;
        }
    }
    return make_error(error_kind::conflict,
                      key + ": other operators changed what it depends on at each attempt",
                      "repeat the command");
}

}  // namespace

auto difference(const json& before, const json& after) -> std::string {
    auto text = std::string();
    const auto old_fields = before.is_object() ? before : json::object();
    const auto new_fields = after.is_object() ? after : json::object();
    if (!after.is_object()) {
        return "  removed\n";
    }
    for (const auto& item : old_fields.items()) {
        if (!new_fields.contains(item.key())) {
            absl::StrAppend(&text, "  ", item.key(), ": ", item.value().dump(), " -> none\n");
        }
    }
    for (const auto& item : new_fields.items()) {
        const auto found = old_fields.find(item.key());
        if (found == old_fields.end() || *found != item.value()) {
            absl::StrAppend(&text, "  ", item.key(), ": ", found == old_fields.end() ? "none" : found->dump(),
                            " -> ", item.value().dump(), "\n");
        }
    }
    return text;
}

auto set_object(const store_client& store, const std::string& kind, const std::string& name,
                const json& fields, merge_rule rule, const operator_options& options)
    -> result<object_change> {
    return execute_change(store, config_key(kind, name), options, [&](change_plan& plan) -> result<void> {
        auto combined = combine(kind, name, plan.change.before, fields, rule);
        if (!combined) {
            return tl::unexpected<error>(combined.error());
        }
        plan.change.after = std::move(*combined);
        if (options.is_dry_run) {
            return {};  // an earlier step of the same document may create the objects it refers to
        }
        if (kind == "target") {
            return plan_target(store, plan, options);
        }
        return kind == "service" ? plan_service(store, plan) : result<void>();
    });
}

auto remove_object(const store_client& store, const std::string& kind, const std::string& name,
                   const operator_options& options) -> result<object_change> {
    return execute_change(store, config_key(kind, name), options, [&](change_plan& plan) -> result<void> {
        const auto& before = plan.change.before;
        const auto state = before.is_object() ? before.value("state", "") : std::string();
        if (!before.is_object() || state == "gone") {
            return make_error(error_kind::not_found, plan.change.key + " does not exist",
                              "list the objects to find its name");
        }
        if (kind == "profile") {
            return plan_profile_removal(store, plan, name);
        }
        if (kind == "service") {
            return plan_service(store, plan);
        }
        if (state != "draining" && !options.is_forced) {
            return refusal(plan.change.key + " is not draining",
                           "run 'agatepost target drain " + name +
                               "' and wait for its flows to end, or use --force to break them");
        }
        const auto pool = before.value("pool", "");
        auto indexes = read_indexes(store, pool);
        if (!indexes) {
            return tl::unexpected<error>(indexes.error());
        }
        const auto now_ms = wall_clock(options);
        plan.change.after = before;
        plan.change.after["state"] = "gone";
        plan.change.after["freed_at_ms"] = now_ms;
        indexes->holders[before.value("index", 0)] = {name, before.value("address", ""), now_ms, false};
        add_index_update(pool, *indexes, plan);
        return {};
    });
}

auto apply_document(const store_client& store, const std::string& text, const operator_options& options,
                    const std::function<void(const object_change&)>& on_change) -> result<void> {
    const auto document = json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return refusal("the document is not a JSON object", "run 'agatepost check' on it");
    }
    // All objects are parsed before the first change, so that an invalid document changes nothing.
    for (const auto* kind : {"profile", "service", "target"}) {
        for (const auto& part : document.value(std::string(kind) + "s", json::array())) {
            const auto parsed = parse_object(kind, part);
            if (!parsed) {
                return tl::unexpected<error>(parsed.error());
            }
        }
    }
    for (const auto* kind : {"profile", "service", "target"}) {
        for (const auto& part : document.value(std::string(kind) + "s", json::array())) {
            const auto name = part.at("name").get<std::string>();
            const auto changed = set_object(store, kind, name, part, merge_rule::replace, options);
            if (!changed) {
                return tl::unexpected<error>(changed.error());
            }
            if (changed->before != changed->after) {
                on_change(*changed);
            }
        }
    }
    return {};
}

}  // namespace agatepost
