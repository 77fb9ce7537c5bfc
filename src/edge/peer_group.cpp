#include "edge/peer_group_base.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "core/cbor_func.h"
#include "core/counter_func.h"
#include "edge/carrier_func.h"
#include "edge/suspicion_func.h"

namespace agatepost::edge {

namespace {

using nlohmann::json;

constexpr std::string_view changes_path = "/changes?after=";
constexpr std::string_view changes_era = "&era=";  // absent for era 0, as in requests of earlier builds

constexpr std::uint64_t max_age_ms = 1ULL << 48U;

auto malformed() -> tl::unexpected<error> {
    return make_error(error_kind::invalid_message, "malformed message from another host",
                      "check that all hosts run compatible versions");
}

auto is_u32(const json& value) -> bool {
    return value.is_number_unsigned() &&
           value.get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
}

// Whether the value is a number of milliseconds that can be added without overflow.
auto is_age(const json& value) -> bool {
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= max_age_ms;
}

// Encodes a position as its revision, or as era and revision. Earlier builds reject the latter, so that they
// never mix revisions of two eras.
auto encode_position(store_position position) -> json {
    return position.era == 0 ? json(position.revision) : json::array({position.era, position.revision});
}

auto decode_position(const json& value) -> std::optional<store_position> {
    const auto has_era = value.is_array() && value.size() == 2 && value[0].is_number_unsigned();
    const auto& revision = has_era ? value[1] : value;
    if (!revision.is_number_unsigned() || revision.get<std::uint64_t>() > max_revision) {
        return std::nullopt;
    }
    return store_position{has_era ? value[0].get<std::uint64_t>() : 0, revision.get<std::uint64_t>()};
}

auto subtract_loads(peer_record& peer, directory& known) -> void {
    for (const auto& applied : peer.applied) {
        auto& target = known.targets[applied.target];
        if (target.is_in_use && target.entry.name == applied.name) {
            target.load.peer_busy_flows -= std::min(target.load.peer_busy_flows, applied.busy);
            target.load.peer_open_flows -= std::min(target.load.peer_open_flows, applied.open);
        }
    }
    peer.applied.clear();
}

// Returns when the host last sent a heartbeat or was named in one.
auto last_seen(const peer_record& peer) -> time_ms {
    return std::max(peer.heard, peer.named);
}

// Moves up to `most` randomly chosen addresses to the end of `to`.
auto move_random(std::vector<std::uint32_t>& from, std::size_t most, std::vector<std::uint32_t>& to,
                 std::minstd_rand& random) -> void {
    for (auto i = std::size_t{0}; i < most && !from.empty(); ++i) {
        const auto pick = random() % from.size();
        to.push_back(from[pick]);
        from[pick] = from.back();
        from.pop_back();
    }
}

// Whether so many hosts of the zone have just started that missing answers are no evidence of failed targets.
// A single start moves few flows, and dead targets must still be found then.
auto are_many_starting(const peer_group& group, time_ms at) -> bool {
    constexpr int many_share = 4;  // at least a quarter of the hosts
    auto hosts = 1;                // this one
    auto starting = 0;
    for (const auto& [address, peer] : group.peers) {
        if (is_member(group, peer, at) && peer.last.zone == group.zone) {
            ++hosts;
            starting += peer.last.uptime_ms + (at - peer.heard) < startup_grace_ms ? 1 : 0;
        }
    }
    return starting * many_share >= hosts;
}

auto add_loads(peer_record& peer, directory& known) -> void {
    for (const auto& reported : peer.last.loads) {
        const auto found = find_carrier(known, reported.carrier);
        if (!found) {
            continue;
        }
        auto& target = known.targets[*found];
        target.load.peer_busy_flows += reported.busy;
        target.load.peer_open_flows += reported.open;
        peer.applied.push_back({*found, target.entry.name, reported.busy, reported.open});
    }
}

}  // namespace

auto encode_heartbeat(const heartbeat& beat) -> std::string {
    auto loads = json::array();
    for (const auto& load : beat.loads) {
        loads.push_back(load.carrier);
        loads.push_back(load.busy);
        loads.push_back(load.open);
    }
    auto message =
        json::array({beat.zone, beat.boot, beat.uptime_ms, encode_position(position_of(beat)),
                     beat.store_age_ms, beat.view_age_ms, beat.is_leaving, beat.peers, std::move(loads)});
    if (beat.zones) {
        message.push_back(encode_report(*beat.zones, beat.zone));
    }
    auto bytes = std::string();
    json::to_cbor(message, bytes);
    return bytes;
}

auto decode_heartbeat(std::string_view bytes) -> result<heartbeat> {
    const auto message = read_cbor(bytes);
    constexpr std::size_t parts = 9;  // without zone loads
    if (!message.is_array() || message.size() < parts || message.size() > parts + 1 ||
        !message[0].is_string() || !is_u32(message[1]) || !is_age(message[2]) || !is_age(message[4]) ||
        !is_age(message[5]) || !message[6].is_boolean() || !message[7].is_array() || !message[8].is_array()) {
        return malformed();
    }
    const auto position = decode_position(message[3]);
    const auto& peers = message[7];
    const auto& loads = message[8];
    if (!position || peers.size() > max_named_peers || loads.size() % 3 != 0 ||
        !std::all_of(peers.begin(), peers.end(), is_u32) ||
        !std::all_of(loads.begin(), loads.end(), is_u32)) {
        return malformed();
    }
    auto beat = heartbeat{};
    beat.zone = message[0].get<std::string>();
    beat.boot = message[1].get<std::uint32_t>();
    beat.uptime_ms = message[2].get<std::int64_t>();
    beat.era = position->era;
    beat.revision = position->revision;
    beat.store_age_ms = message[4].get<std::int64_t>();
    beat.view_age_ms = message[5].get<std::int64_t>();
    beat.is_leaving = message[6].get<bool>();
    for (const auto& peer : peers) {
        beat.peers.push_back(peer.get<std::uint32_t>());
    }
    for (auto i = std::size_t{0}; i < loads.size(); i += 3) {
        beat.loads.push_back({loads[i].get<std::uint32_t>(), loads[i + 1].get<std::uint32_t>(),
                              loads[i + 2].get<std::uint32_t>()});
    }
    if (message.size() > parts) {
        beat.zones = decode_report(message[parts], beat.zone);
        if (!beat.zones) {
            count(counter::edge_zone_loads_malformed);
            return malformed();
        }
    }
    return beat;
}

auto is_alive(const peer_record& peer, time_ms at) -> bool {
    return peer.was_heard && at - peer.heard < peer_silent_ms;
}

auto is_member(const peer_group& group, const peer_record& peer, time_ms at) -> bool {
    return is_large_fleet(group) ? peer.was_heard && at - last_seen(peer) < membership_timeout_ms
                                 : is_alive(peer, at);
}

auto is_large_fleet(const peer_group& group) -> bool {
    return group.peers.size() >= large_fleet_peers;
}

auto is_overtaken(const peer_group& group, std::uint32_t from, const heartbeat& beat) -> bool {
    const auto found = group.peers.find(from);
    return found != group.peers.end() && found->second.was_heard && found->second.last.boot == beat.boot &&
           beat.uptime_ms < found->second.last.uptime_ms;
}

auto record_heartbeat(peer_group& group, directory& known, std::uint32_t from, heartbeat&& beat, time_ms at)
    -> bool {
    if (from == group.own_address) {
        return false;
    }
    for (const auto address : beat.peers) {
        const auto has_room = group.peers.size() < max_peers || group.peers.count(address) != 0;
        if (address != group.own_address && address != 0 && has_room) {
            group.peers[address].named = at;
        }
    }
    if (is_overtaken(group, from, beat)) {
        return false;
    }
    auto& peer = group.peers[from];
    const auto is_new = !is_member(group, peer, at);
    subtract_loads(peer, known);
    peer.last = std::move(beat);
    peer.heard = at;
    peer.was_heard = true;
    peer.is_report_delayed = at < group.reports_delayed_until;
    add_loads(peer, known);
    const auto started = at + -peer.last.uptime_ms;
    if (peer.last.zone == group.zone && at - started < startup_grace_ms && are_many_starting(group, at)) {
        extend_startup_grace(known, started, at);
    }
    return is_new;
}

auto expire_peers(peer_group& group, directory& known, time_ms at) -> std::vector<std::uint32_t> {
    auto silent = std::vector<std::uint32_t>{};
    for (auto& [address, peer] : group.peers) {
        if (!is_alive(peer, at)) {
            subtract_loads(peer, known);
        }
        if (peer.was_heard && !is_member(group, peer, at)) {
            peer.was_heard = false;
            silent.push_back(address);
        }
    }
    absl::erase_if(group.peers,
                   [&](const auto& entry) { return at - last_seen(entry.second) > peer_forgotten_ms; });
    return silent;
}

auto heartbeat_receivers(const peer_group& group, time_ms at, std::minstd_rand& random)
    -> std::vector<std::uint32_t> {
    auto receivers = std::vector<std::uint32_t>{};
    if (!is_large_fleet(group)) {
        for (const auto& [address, peer] : group.peers) {
            receivers.push_back(address);
        }
        return receivers;
    }
    auto zone = std::vector<std::uint32_t>{};
    auto others = std::vector<std::uint32_t>{};
    auto unknown_zone = std::vector<std::uint32_t>{};  // only named by others; their zone is unknown
    for (const auto& [address, peer] : group.peers) {
        if (is_member(group, peer, at)) {
            (peer.last.zone == group.zone ? zone : others).push_back(address);
        } else if (at - peer.named < membership_timeout_ms) {
            unknown_zone.push_back(address);
        }
    }
    std::sort(zone.begin(), zone.end());
    const auto next = std::upper_bound(zone.begin(), zone.end(), group.own_address) - zone.begin();
    for (auto i = std::size_t{0}; i < std::min(next_receivers, zone.size()); ++i) {
        receivers.push_back(zone[(static_cast<std::size_t>(next) + i) % zone.size()]);
    }
    zone.erase(std::remove_if(zone.begin(), zone.end(),
                              [&](std::uint32_t address) {
                                  return std::find(receivers.begin(), receivers.end(), address) !=
                                         receivers.end();
                              }),
               zone.end());
    move_random(zone, random_zone_receivers, receivers, random);
    move_random(unknown_zone, 1, receivers, random);
    if (receivers.empty() || random() % other_zone_interval_heartbeats == 0) {
        move_random(others, 1, receivers, random);
    }
    return receivers;
}

auto named_peers(const peer_group& group, time_ms at, std::minstd_rand& random)
    -> std::vector<std::uint32_t> {
    auto alive = std::vector<std::uint32_t>{};
    for (const auto& [address, peer] : group.peers) {
        if (is_alive(peer, at)) {
            alive.push_back(address);
        }
    }
    auto named = std::vector<std::uint32_t>{};
    move_random(alive, max_named_peers, named, random);
    return named;
}

auto zone_peers(const peer_group& group, time_ms at) -> std::vector<std::uint32_t> {
    auto in_zone = std::vector<std::uint32_t>{};
    for (const auto& [address, peer] : group.peers) {
        if (is_alive(peer, at) && peer.last.zone == group.zone) {
            in_zone.push_back(address);
        }
    }
    return in_zone;
}

auto zone_members(const peer_group& group, time_ms at) -> std::vector<std::uint32_t> {
    auto members = std::vector<std::uint32_t>{};
    for (const auto& [address, peer] : group.peers) {
        if (is_member(group, peer, at) && peer.last.zone == group.zone && !peer.last.is_leaving) {
            members.push_back(address);
        }
    }
    std::sort(members.begin(), members.end());
    return members;
}

auto load_interval_ms(std::size_t zone_hosts, std::size_t message_bytes) -> std::int64_t {
    constexpr std::int64_t ms_per_s = 1000;
    const auto hosts = static_cast<std::int64_t>(zone_hosts);
    const auto bytes = static_cast<std::int64_t>(message_bytes) + udp_header_bytes;
    return std::clamp((hosts * bytes * ms_per_s + control_bytes_per_s - 1) / control_bytes_per_s,
                      min_load_report_ms * hosts, heartbeat_ms);
}

auto position_of(const heartbeat& beat) -> store_position {
    return {beat.era, beat.revision};
}

auto newest_peer(const peer_group& group, store_position own, time_ms at) -> std::optional<std::uint32_t> {
    auto best = std::optional<std::uint32_t>{};
    auto best_position = own;
    auto best_is_in_zone = false;
    for (const auto& [address, peer] : group.peers) {
        const auto is_in_zone = peer.last.zone == group.zone;
        const auto position = position_of(peer.last);
        if (!is_alive(peer, at) || position.revision == 0 || !(own < position) || at < peer.avoided_until) {
            continue;
        }
        if (!best || std::make_pair(best_is_in_zone, best_position) < std::make_pair(is_in_zone, position)) {
            best = address;
            best_position = position;
            best_is_in_zone = is_in_zone;
        }
    }
    return best;
}

auto avoid_peer(peer_group& group, std::uint32_t address, time_ms at) -> void {
    const auto found = group.peers.find(address);
    if (found != group.peers.end()) {
        found->second.avoided_until = at + peer_avoid_ms;
    }
}

auto own_loads(const directory& known) -> std::vector<peer_load> {
    auto loads = std::vector<peer_load>{};
    for (const auto& target : known.targets) {
        const auto busy = target.load.busy_flows + target.load.pending_syns;
        if (target.is_in_use && (busy != 0 || target.load.open_flows != 0)) {
            loads.push_back({message_carrier(target), busy, target.load.open_flows});
        }
    }
    return loads;
}

auto encode_changes_request(store_position after) -> std::string {
    return absl::StrCat(std::string(changes_path), after.revision,
                        after.era == 0 ? std::string() : absl::StrCat(std::string(changes_era), after.era));
}

auto decode_changes_request(std::string_view target) -> result<store_position> {
    auto rest = absl::string_view(target.data(), target.size());
    if (!absl::ConsumePrefix(&rest, absl::string_view(changes_path.data(), changes_path.size()))) {
        return malformed();
    }
    const std::vector<absl::string_view> parts =
        absl::StrSplit(rest, absl::string_view(changes_era.data(), changes_era.size()));
    auto after = store_position{};
    if (parts.size() > 2 || !absl::SimpleAtoi(parts.front(), &after.revision) ||
        (parts.size() == 2 && !absl::SimpleAtoi(parts.back(), &after.era))) {
        return malformed();
    }
    return after;
}

auto encode_changes(const directory& known, store_position after) -> std::string {
    const auto is_same_era = after.era == known.era && after.revision != 0;
    const auto is_whole = !is_same_era || after.revision < known.removals_dropped_up_to;
    auto items = json::array();
    for (const auto& [key, item] : known.items) {
        const auto is_newer = !is_same_era || item.revision > after.revision;
        if (is_whole ? item.is_removed : !is_newer) {
            continue;
        }
        auto value = json::binary({});
        if (is_newer) {
            value = json::binary({item.value.begin(), item.value.end()});
        }
        items.push_back(json::array({key, std::move(value), item.revision, item.is_removed}));
    }
    const auto message = json::array({encode_position(position_of(known)), is_whole, std::move(items)});
    auto bytes = std::string();
    json::to_cbor(message, bytes);
    return bytes;
}

auto position_of(const peer_changes& changes) -> store_position {
    return {changes.era, changes.revision};
}

auto decode_changes(std::string_view bytes) -> result<peer_changes> {
    const auto message = read_cbor(bytes);
    const auto position = message.is_array() && message.size() == 3 ? decode_position(message[0])
                                                                    : std::optional<store_position>();
    if (!position || !message[1].is_boolean() || !message[2].is_array()) {
        return malformed();
    }
    auto changes = peer_changes{position->revision, message[1].get<bool>(), {}, position->era};
    for (const auto& part : message[2]) {
        if (!part.is_array() || part.size() != 4 || !part[0].is_string() || !part[1].is_binary() ||
            !part[2].is_number_unsigned() || part[2].get<std::uint64_t>() > max_revision ||
            !part[3].is_boolean()) {
            return malformed();
        }
        const auto& value = part[1].get_binary();
        changes.items.push_back({part[0].get<std::string>(), std::string(value.begin(), value.end()),
                                 part[2].get<std::uint64_t>(), part[3].get<bool>()});
    }
    return changes;
}

}  // namespace agatepost::edge
