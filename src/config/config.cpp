#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include "config/config_func.h"

namespace agatepost {

namespace {

using nlohmann::json;

// Reads the fields of one JSON object and records the first fault.
class field_reader {
public:
    field_reader(std::string where, const json& document) : where_(std::move(where)), document_(document) {}

    auto text(const char* field, std::string& out, bool required) -> void {
        read(field, required, "a text",
             [&](const json& value) { return value.is_string() && (out = value.get<std::string>(), true); });
    }

    template <typename Integer>
    auto number(const char* field, Integer& out, std::int64_t minimum, std::int64_t maximum) -> void {
        read(field, false, absl::StrCat("a whole number from ", minimum, " to ", maximum),
             [&](const json& value) {
                 if (!value.is_number_integer()) {
                     return false;
                 }
                 const auto number = value.get<std::int64_t>();
                 if (number < minimum || number > maximum) {
                     return false;
                 }
                 out = static_cast<Integer>(number);
                 return true;
             });
    }

    template <typename Enum>
    auto choice(const char* field, Enum& out, std::initializer_list<std::pair<const char*, Enum>> choices)
        -> void {
        auto allowed = std::string("one of");
        for (const auto& [name, value] : choices) {
            absl::StrAppend(&allowed, " ", name);
        }
        read(field, false, allowed, [&](const json& value) {
            for (const auto& [name, member] : choices) {
                if (value == name) {
                    out = member;
                    return true;
                }
            }
            return false;
        });
    }

    auto address(const char* field, ip_address& out) -> void {
        read(field, true, "a numeric IP address", [&](const json& value) {
            const auto parsed = parse_ip_address(value.is_string() ? value.get<std::string>() : "");
            out = parsed ? *parsed : out;
            return parsed.has_value();
        });
    }

    // Records a fault for any field that was not read.
    auto finish() -> result<void> {
        for (const auto& item : document_.items()) {
            if (!failure_ && known_.count(item.key()) == 0) {
                failure_ = error{error_kind::invalid_document,
                                 absl::StrCat(where_, ": unknown field '", item.key(), "'"),
                                 "remove the field or correct its name"};
            }
        }
        return failure_ ? result<void>(tl::unexpected<error>(*failure_)) : result<void>();
    }

private:
    template <typename Reader>
    auto read(const char* field, bool required, const std::string& expected, Reader reader) -> void {
        known_.insert(field);
        const auto found = document_.find(field);
        const auto is_wrong = found == document_.end() ? required : !reader(*found);
        if (is_wrong && !failure_) {
            const auto value = found == document_.end() ? std::string("missing") : found->dump();
            failure_ =
                error{error_kind::invalid_document, absl::StrCat(where_, ": field '", field, "' is ", value),
                      absl::StrCat("set '", field, "' to ", expected)};
        }
    }

    std::string where_;
    const json& document_;
    std::set<std::string> known_;
    std::optional<error> failure_;
};

constexpr std::int64_t day_ms = 86400000;

auto read_profile(field_reader& reader, profile& p) -> void {
    reader.text("name", p.name, true);
    reader.number("priority", p.priority, 0, 7);
    reader.choice("kind", p.kind, {{"request", flow_kind::request}, {"feed", flow_kind::feed}});
    reader.number("slot_limit_percent", p.slot_limit_percent, 1, 100);
    reader.number("connection_limit_percent", p.connection_limit_percent, 1, 100);
    reader.number("reserve_percent", p.reserve_percent, 0, 90);
    reader.number("queue_percent", p.queue_percent, 0, 1000);
    reader.number("idle_timeout_ms", p.idle_timeout_ms, 1000, 7 * day_ms);
    reader.number("silence_timeout_ms", p.silence_timeout_ms, 500, day_ms);
    reader.number("drain_timeout_ms", p.drain_timeout_ms, 0, 7 * day_ms);
    reader.number("retry_budget_percent", p.retry_budget_percent, 0, 100);
    reader.number("syn_timeout_ms", p.syn_timeout_ms, 50, 60000);
    reader.choice("zones", p.zones, {{"local", zone_rule::local}, {"prefer_local", zone_rule::prefer_local}});
    reader.number("slow_start_ms", p.slow_start_ms, 0, day_ms);
}

auto read_service(field_reader& reader, service& s) -> void {
    reader.text("name", s.name, true);
    reader.address("address", s.address.address);
    reader.number("port", s.address.port, 1, 65535);
    reader.choice("protocol", s.protocol, {{"tcp", ip_protocol::tcp}, {"udp", ip_protocol::udp}});
    reader.text("pool", s.pool, true);
    reader.number("target_port", s.target_port, 1, 65535);
    reader.text("profile", s.profile_name, true);
}

auto read_target(field_reader& reader, target& t) -> void {
    reader.text("name", t.name, true);
    reader.text("pool", t.pool, true);
    reader.number("index", t.index, 1, 255);
    reader.address("address", t.address);
    reader.text("zone", t.zone, true);
    reader.number("health_port", t.health_port, 0, 65535);
    reader.number("slots", t.slots, 1, 1000000);
    reader.number("connections", t.connections, 1, 10000000);
    reader.choice(
        "state", t.state,
        {{"ready", target_state::ready}, {"draining", target_state::draining}, {"gone", target_state::gone}});
    reader.number("freed_at_ms", t.freed_at_ms, 0, INT64_MAX);
}

template <typename Object>
auto parse_with(std::string_view kind, const json& document, void (*read)(field_reader&, Object&))
    -> result<config_entry> {
    if (!document.is_object()) {
        return make_error(error_kind::invalid_document, absl::StrCat(std::string(kind), " is not an object"),
                          "write it as {\"name\": ...}");
    }
    const auto name = document.value("name", json("?"));
    auto reader = field_reader(absl::StrCat(std::string(kind), " ", name.dump()), document);
    auto object = Object{};
    read(reader, object);
    const auto finished = reader.finish();
    if (!finished) {
        return tl::unexpected<error>(finished.error());
    }
    return config_entry{0, std::move(object)};
}

auto object_to_json(const profile& p) -> json {
    return {{"name", p.name},
            {"priority", p.priority},
            {"kind", p.kind == flow_kind::request ? "request" : "feed"},
            {"slot_limit_percent", p.slot_limit_percent},
            {"connection_limit_percent", p.connection_limit_percent},
            {"reserve_percent", p.reserve_percent},
            {"queue_percent", p.queue_percent},
            {"idle_timeout_ms", p.idle_timeout_ms},
            {"silence_timeout_ms", p.silence_timeout_ms},
            {"drain_timeout_ms", p.drain_timeout_ms},
            {"retry_budget_percent", p.retry_budget_percent},
            {"syn_timeout_ms", p.syn_timeout_ms},
            {"zones", p.zones == zone_rule::local ? "local" : "prefer_local"},
            {"slow_start_ms", p.slow_start_ms}};
}

auto object_to_json(const service& s) -> json {
    return {{"name", s.name},           {"address", to_text(s.address.address)},
            {"port", s.address.port},   {"protocol", std::string(to_text(s.protocol))},
            {"pool", s.pool},           {"target_port", s.target_port},
            {"profile", s.profile_name}};
}

auto state_name(target_state state) -> const char* {
    switch (state) {
        case target_state::ready:
            return "ready";
        case target_state::draining:
            return "draining";
        case target_state::gone:
            return "gone";
    }
    return "gone";
}

auto object_to_json(const target& t) -> json {
    return {{"name", t.name},
            {"pool", t.pool},
            {"index", t.index},
            {"address", to_text(t.address)},
            {"zone", t.zone},
            {"health_port", t.health_port},
            {"slots", t.slots},
            {"connections", t.connections},
            {"state", state_name(t.state)},
            {"freed_at_ms", t.freed_at_ms}};
}

auto object_to_json(const std::monostate& /*removed*/) -> json {
    return nullptr;
}

auto fault(const std::string& message, const std::string& remedy) -> tl::unexpected<error> {
    return make_error(error_kind::invalid_document, message, remedy);
}

}  // namespace

auto parse_object(std::string_view kind, const json& document) -> result<config_entry> {
    if (kind == "profile") {
        return parse_with<profile>(kind, document, read_profile);
    }
    if (kind == "service") {
        return parse_with<service>(kind, document, read_service);
    }
    if (kind == "target") {
        return parse_with<target>(kind, document, read_target);
    }
    return fault("unknown kind of object '" + std::string(kind) + "'", "use profile, service or target");
}

auto to_json(const config_entry& entry) -> json {
    return std::visit([](const auto& object) { return object_to_json(object); }, entry.object);
}

auto parse_configuration(std::string_view text, std::uint64_t revision) -> result<configuration> {
    const auto document = json::parse(text.begin(), text.end(), nullptr, false);
    if (!document.is_object()) {
        return fault("the document is not a JSON object", "see README.md for an example");
    }
    auto config = configuration{revision, {}};
    for (const auto& item : document.items()) {
        const auto kind = item.key().substr(0, item.key().size() - 1);  // list names are plural
        for (const auto& part : item.value()) {
            auto parsed = parse_object(kind, part);
            if (!parsed) {
                return tl::unexpected<error>(parsed.error());
            }
            parsed->revision = revision;
            const auto key = kind + "/" + part["name"].get<std::string>();
            if (!config.entries.emplace(key, std::move(*parsed)).second) {
                return fault(key + " appears twice", "remove one of them");
            }
        }
    }
    const auto valid = validate(config);
    if (!valid) {
        return tl::unexpected<error>(valid.error());
    }
    return config;
}

auto validate(const configuration& config) -> result<void> {
    auto service_addresses = std::set<std::pair<endpoint, ip_protocol>>{};
    auto pool_ports = std::set<std::tuple<std::string, std::uint16_t, ip_protocol>>{};
    auto pool_indexes = std::set<std::pair<std::string, std::uint8_t>>{};
    auto pool_addresses = std::set<std::pair<std::string, ip_address>>{};
    for (const auto& [key, entry] : config.entries) {
        if (const auto* s = std::get_if<service>(&entry.object)) {
            const auto found = config.entries.find("profile/" + s->profile_name);
            if (found == config.entries.end() || !std::holds_alternative<profile>(found->second.object)) {
                return fault(key + ": profile '" + s->profile_name + "' does not exist",
                             "create the profile first or correct the name");
            }
            if (!service_addresses.emplace(s->address, s->protocol).second) {
                return fault(key + ": address " + to_text(s->address) + " belongs to another service",
                             "give each service its own address, port and protocol");
            }
            if (!pool_ports.emplace(s->pool, s->target_port, s->protocol).second) {
                return fault(key + ": target port " + std::to_string(s->target_port) +
                                 " is used by another service of pool " + s->pool,
                             "give each service of a pool its own target port");
            }
        }
        if (const auto* t = std::get_if<target>(&entry.object)) {
            if (t->index == 0) {
                return fault(key + ": no index", "set 'index' to a number from 1 to 255");
            }
            if (!pool_indexes.emplace(t->pool, t->index).second) {
                return fault(
                    key + ": index " + std::to_string(t->index) + " is used twice in pool " + t->pool,
                    "choose an index that no other target of the pool has");
            }
            if (t->state != target_state::gone && !pool_addresses.emplace(t->pool, t->address).second) {
                return fault(key + ": address " + to_text(t->address) + " is used twice in pool " + t->pool,
                             "give each target of a pool its own address");
            }
        }
    }
    return {};
}

}  // namespace agatepost
