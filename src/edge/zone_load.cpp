#include "edge/zone_load_func.h"

#include <absl/algorithm/container.h>
#include <xxhash.h>

#include <algorithm>
#include <limits>

#include "edge/peer_group_base.h"

namespace agatepost::edge {

namespace {

using nlohmann::json;

// A load's age and hops share one number, (age_ms << hop_bits) | hops, which is of 1 byte for a load measured
// now and of 3 bytes for others.
constexpr unsigned hop_bits = 3;
constexpr std::uint64_t hop_mask = (1U << hop_bits) - 1;
static_assert(max_load_hops <= hop_mask);

constexpr std::size_t report_parts = 4;

auto is_zone_name(std::string_view name) -> bool {
    return !name.empty() && name.size() <= max_zone_name_bytes;
}

auto limited_count(std::uint64_t count) -> std::uint32_t {
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(count, max_load_count));
}

// Returns all requests of a load or of a host's counts for a service.
template <typename Counts>
auto total(const Counts& counts) -> std::uint64_t {
    auto sum = std::uint64_t{counts.waiting};
    for (const auto& [zone, busy] : counts.busy) {
        sum += busy;
    }
    return sum;
}

// Returns the first `count` keys with the highest values, by value and then by key.
template <typename Key>
auto highest(const std::map<Key, std::uint64_t>& values, std::size_t count) -> std::vector<Key> {
    auto order = std::vector<std::pair<Key, std::uint64_t>>(values.begin(), values.end());
    absl::c_stable_sort(order, [](const auto& a, const auto& b) { return a.second > b.second; });
    auto keys = std::vector<Key>{};
    for (auto i = std::size_t{0}; i < std::min(count, order.size()); ++i) {
        keys.push_back(order[i].first);
    }
    return keys;
}

auto is_known(const zone_load& load, time_ms at) -> bool {
    return at - load.measured <= max_load_age_ms;
}

// Returns the requests by service over all known loads and the own counts; only services with requests.
auto traffic_by_service(const zone_loads& loads, const service_counts& own, time_ms at)
    -> std::map<service_hash, std::uint64_t> {
    auto traffic = std::map<service_hash, std::uint64_t>{};
    for (const auto& [key, load] : loads) {
        if (const auto requests = total(load); requests != 0 && is_known(load, at)) {
            traffic[key.first] += requests;
        }
    }
    for (const auto& [service, counts] : own) {
        if (const auto requests = total(counts); requests != 0) {
            traffic[service] += requests;
        }
    }
    return traffic;
}

// Returns the zones to report: the own one and those with the most requests of clients or at targets.
auto zones_to_report(const zone_loads& loads, const std::string& own_zone, const service_counts& own,
                     const std::vector<service_hash>& services) -> std::set<std::string> {
    auto traffic = std::map<std::string, std::uint64_t>{};
    for (const auto& [key, load] : loads) {
        if (absl::c_linear_search(services, key.first)) {
            traffic[key.second] += total(load);
            for (const auto& [zone, busy] : load.busy) {
                traffic[zone] += busy;
            }
        }
    }
    for (const auto& [service, counts] : own) {
        for (const auto& [zone, busy] : counts.busy) {
            traffic[zone] += busy;
        }
    }
    traffic.erase(own_zone);
    for (auto i = traffic.begin(); i != traffic.end();) {
        i = is_zone_name(i->first) ? std::next(i) : traffic.erase(i);
    }
    const auto others = highest(traffic, max_reported_zones - 1);
    auto zones = std::set<std::string>(others.begin(), others.end());
    zones.insert(own_zone);
    return zones;
}

// Returns the counts at targets of these zones.
template <typename Counts>
auto counts_in(const Counts& counts, const std::set<std::string>& zones) -> request_counts {
    auto kept = request_counts{};
    kept.waiting = limited_count(counts.waiting);
    for (const auto& [zone, busy] : counts.busy) {
        if (busy != 0 && zones.count(zone) != 0) {
            kept.busy[zone] = limited_count(busy);
        }
    }
    return kept;
}

auto add_counts(const request_counts& counts, const std::vector<std::string>& zones, json& numbers) -> void {
    for (const auto& zone : zones) {
        const auto found = counts.busy.find(zone);
        numbers.push_back(found == counts.busy.end() ? 0 : found->second);
    }
    numbers.push_back(counts.waiting);
}

// Reads the numbers of an array one after the other.
struct number_reader {
    const json& numbers;
    std::size_t next = 0;
    bool is_valid = true;

    // Returns the next number; 0 if there is none of at most `most`, and all is invalid from then on.
    auto read(std::uint64_t most) -> std::uint64_t {
        if (next >= numbers.size() || !numbers[next].is_number_unsigned() ||
            numbers[next].get<std::uint64_t>() > most) {
            is_valid = false;
            return 0;
        }
        return numbers[next++].get<std::uint64_t>();
    }

    // Returns whether the next element is null, and skips it.
    auto skip_null() -> bool {
        const auto is_null = next < numbers.size() && numbers[next].is_null();
        next += is_null ? 1 : 0;
        return is_null;
    }

    auto read_counts(const std::vector<std::string>& zones) -> request_counts {
        auto counts = request_counts{};
        for (const auto& zone : zones) {
            if (const auto busy = read(max_load_count); busy != 0) {
                counts.busy[zone] = static_cast<std::uint32_t>(busy);
            }
        }
        counts.waiting = static_cast<std::uint32_t>(read(max_load_count));
        return counts;
    }

    auto is_at_end() const -> bool { return is_valid && next == numbers.size(); }
};

// Returns the zones of a report, the sender's first; none if they are malformed.
auto read_zones(const json& names, const std::string& zone) -> std::vector<std::string> {
    auto zones = std::vector<std::string>{zone};
    if (names.size() >= max_reported_zones) {
        return {};
    }
    for (const auto& name : names) {
        if (!name.is_string()) {
            return {};
        }
        auto text = name.get<std::string>();
        if (!is_zone_name(text) || absl::c_linear_search(zones, text)) {
            return {};
        }
        zones.push_back(std::move(text));
    }
    return zones;
}

// Returns the services of a report; none if they are malformed.
auto read_services(const json& hashes) -> std::vector<service_hash> {
    auto services = std::vector<service_hash>{};
    if (hashes.size() > max_reported_services) {
        return {};
    }
    for (const auto& hash : hashes) {
        if (!hash.is_number_unsigned() ||
            hash.get<std::uint64_t>() > std::numeric_limits<service_hash>::max() ||
            absl::c_linear_search(services, hash.get<service_hash>())) {
            return {};
        }
        services.push_back(hash.get<service_hash>());
    }
    return services;
}

// Returns whether a load measured at `measured` replaces one measured at `known_measured`.
auto is_newer(time_ms measured, std::uint32_t hops, time_ms known_measured, std::uint32_t known_hops)
    -> bool {
    const auto further = hops > known_hops ? static_cast<std::int64_t>(hops - known_hops) : 0;
    return measured - known_measured > further * hop_allowance_ms;
}

// Adds one host's counts of the services that it has requests for.
auto add_to_sums(const service_counts& counts, service_counts& sums) -> void {
    for (const auto& [service, requests] : counts) {
        if (total(requests) == 0) {
            continue;
        }
        auto& sum = sums[service];
        sum.waiting = limited_count(std::uint64_t{sum.waiting} + requests.waiting);
        for (const auto& [zone, busy] : requests.busy) {
            auto& busy_sum = sum.busy[zone];
            busy_sum = limited_count(std::uint64_t{busy_sum} + busy);
        }
    }
}

}  // namespace

auto hash_service(std::string_view name) -> service_hash {
    return XXH32(name.data(), name.size(), 0);
}

auto needs_zone_loads(const directory& known) -> bool {
    const std::string* first = nullptr;
    for (const auto& target : known.targets) {
        if (!is_registered(target)) {
            continue;
        }
        if (first != nullptr && *first != target.entry.zone) {
            return true;
        }
        first = &target.entry.zone;
    }
    return false;
}

auto count_own_requests(const forwarding_state& state) -> service_counts {
    auto own = service_counts{};
    for (const auto& target : state.known.targets) {
        const auto busy = target.load.busy_flows + target.load.pending_syns;
        if (target.is_in_use && target.state != presence::gone && busy != 0) {
            auto& sum = own[hash_service(target.entry.service)].busy[target.entry.zone];
            sum = limited_count(std::uint64_t{sum} + busy);
        }
    }
    for (const auto& [service, queue] : state.queues) {
        auto waiting = std::size_t{0};
        for (const auto& [priority, syns] : queue.waiting) {
            waiting += syns.size();
        }
        if (waiting != 0) {
            own[hash_service(service)].waiting = limited_count(waiting);
        }
    }
    return own;
}

auto encode_report(const zone_report& report, const std::string& zone) -> json {
    auto services = std::set<service_hash>{};
    auto others = std::set<std::string>{};
    auto add_zones = [&](const request_counts& counts) {
        for (const auto& [target_zone, busy] : counts.busy) {
            others.insert(target_zone);
        }
    };
    for (const auto& [service, counts] : report.own) {
        services.insert(service);
        add_zones(counts);
    }
    auto loads = std::map<std::pair<std::string, service_hash>, const reported_load*>{};
    for (const auto& load : report.loads) {
        services.insert(load.service);
        others.insert(load.zone);
        add_zones(load.counts);
        loads[{load.zone, load.service}] = &load;
    }
    if (services.empty()) {
        return json::array();
    }
    others.erase(zone);
    auto zones = std::vector<std::string>{zone};
    zones.insert(zones.end(), others.begin(), others.end());
    auto own_numbers = json::array();
    for (const auto service : services) {
        const auto found = report.own.find(service);
        add_counts(found == report.own.end() ? request_counts{} : found->second, zones, own_numbers);
    }
    auto load_numbers = json::array();
    for (const auto& load_zone : zones) {
        for (const auto service : services) {
            const auto found = loads.find({load_zone, service});
            if (found == loads.end()) {
                load_numbers.push_back(nullptr);
                continue;
            }
            const auto& load = *found->second;
            load_numbers.push_back((static_cast<std::uint64_t>(load.age_ms) << hop_bits) | load.hops);
            add_counts(load.counts, zones, load_numbers);
        }
    }
    return json::array({others, services, std::move(own_numbers), std::move(load_numbers)});
}

auto decode_report(const json& element, const std::string& zone) -> std::optional<zone_report> {
    if (!element.is_array()) {
        return std::nullopt;
    }
    if (element.empty()) {
        return zone_report{};
    }
    if (element.size() != report_parts ||
        !absl::c_all_of(element, [](const json& part) { return part.is_array(); })) {
        return std::nullopt;
    }
    const auto zones = read_zones(element[0], zone);
    const auto services = read_services(element[1]);
    if (zones.empty() || services.empty()) {
        return std::nullopt;
    }
    auto report = zone_report{};
    auto own = number_reader{element[2]};
    for (const auto service : services) {
        report.own[service] = own.read_counts(zones);
    }
    auto loads = number_reader{element[3]};
    for (const auto& load_zone : zones) {
        for (const auto service : services) {
            if (loads.skip_null()) {
                continue;
            }
            constexpr auto most = (static_cast<std::uint64_t>(max_load_age_ms) << hop_bits) | hop_mask;
            const auto number = loads.read(most);
            report.loads.push_back({service, load_zone, loads.read_counts(zones),
                                    static_cast<std::int64_t>(number >> hop_bits),
                                    static_cast<std::uint32_t>(number & hop_mask)});
        }
    }
    if (!own.is_at_end() || !loads.is_at_end()) {
        return std::nullopt;
    }
    return report;
}

auto record_report(zone_load_exchange& exchange, zone_loads& loads, const std::string& own_zone,
                   std::uint32_t from, const std::string& from_zone, const zone_report& report, time_ms at)
    -> merge_outcome {
    if (from_zone == own_zone) {
        exchange.hosts[from] = {report.own, at};
    }
    auto outcome = merge_outcome{};
    for (const auto& received : report.loads) {
        if (received.zone == own_zone) {
            continue;  // each host computes the load of its own zone
        }
        const auto key = std::make_pair(received.service, received.zone);
        const auto measured = at + -received.age_ms;
        const auto known = loads.find(key);
        if (known == loads.end() && loads.size() >= max_known_loads) {
            ++outcome.full;
        } else if (known != loads.end() &&
                   !is_newer(measured, received.hops + 1, known->second.measured, exchange.hops[key])) {
            ++outcome.older;
        } else {
            ++outcome.taken;
            loads[key] = {received.counts.busy, received.counts.waiting, measured};
            exchange.hops[key] = received.hops + 1;
        }
    }
    return outcome;
}

auto update_own_zone(zone_load_exchange& exchange, zone_loads& loads, const std::string& own_zone,
                     const service_counts& own, const std::vector<std::uint32_t>& members, time_ms at)
    -> void {
    absl::erase_if(exchange.hosts,
                   [&](const auto& entry) { return at - entry.second.received > max_count_age_ms; });
    absl::erase_if(loads, [&](const auto& entry) { return entry.first.second == own_zone; });
    auto sums = service_counts{};
    add_to_sums(own, sums);
    for (const auto& [address, host] : exchange.hosts) {
        add_to_sums(host.counts, sums);
    }
    for (const auto& [service, requests] : traffic_by_service(loads, sums, at)) {
        exchange.last_requests[service] = at;
    }
    absl::erase_if(exchange.last_requests,
                   [&](const auto& entry) { return at - entry.second > max_load_age_ms; });
    for (const auto& [service, last] : exchange.last_requests) {
        sums[service];  // without requests, 0 is reported
    }
    const auto reported = std::uint64_t{1} + exchange.hosts.size();  // with this host
    const auto silent = static_cast<std::uint64_t>(
        absl::c_count_if(members, [&](std::uint32_t address) { return !exchange.hosts.contains(address); }));
    const auto scale = [&](std::uint32_t sum) {
        return limited_count((sum * (reported + silent) + reported / 2) / reported);
    };
    for (auto& [service, sum] : sums) {
        auto load = zone_load{{}, scale(sum.waiting), at};
        for (const auto& [zone, busy] : sum.busy) {
            if (busy != 0) {
                load.busy[zone] = scale(busy);
            }
        }
        loads[{service, own_zone}] = std::move(load);
    }
}

auto expire_loads(zone_load_exchange& exchange, zone_loads& loads, time_ms at) -> void {
    absl::erase_if(loads, [&](const auto& entry) { return !is_known(entry.second, at); });
    absl::erase_if(exchange.hops, [&](const auto& entry) { return !loads.contains(entry.first); });
}

auto other_zones(const zone_loads& loads, const std::string& own_zone) -> std::set<std::string> {
    auto zones = std::set<std::string>{};
    for (const auto& [key, load] : loads) {
        if (key.second != own_zone) {
            zones.insert(key.second);
        }
    }
    return zones;
}

auto find_load(const zone_loads& loads, service_hash service, const std::string& zone, time_ms at)
    -> const zone_load* {
    const auto found = loads.find(std::make_pair(service, zone));
    return found != loads.end() && is_known(found->second, at) ? &found->second : nullptr;
}

auto make_report(const zone_load_exchange& exchange, const zone_loads& loads, const std::string& own_zone,
                 const service_counts& own, std::size_t max_services, time_ms at) -> zone_report {
    auto traffic = traffic_by_service(loads, own, at);
    for (const auto& [key, load] : loads) {
        if (key.second == own_zone) {
            traffic.emplace(key.first, 0);
        }
    }
    const auto services = highest(traffic, max_services);
    const auto zones = zones_to_report(loads, own_zone, own, services);
    auto report = zone_report{};
    for (const auto service : services) {
        const auto found = own.find(service);
        report.own[service] = found == own.end() ? request_counts{} : counts_in(found->second, zones);
    }
    for (const auto& zone : zones) {
        for (const auto& [service, own_counts] : report.own) {
            const auto* load = find_load(loads, service, zone, at);
            const auto hops = exchange.hops.find(std::make_pair(service, zone));
            const auto passed = hops == exchange.hops.end() ? 0 : hops->second;
            if (load != nullptr && passed <= max_load_hops) {
                report.loads.push_back({service, zone, counts_in(*load, zones), at - load->measured, passed});
            }
        }
    }
    absl::c_stable_partition(report.loads, [&](const auto& load) { return load.zone == own_zone; });
    return report;
}

auto report_interval(std::size_t receivers, std::size_t message_bytes, std::size_t report_bytes)
    -> std::int64_t {
    constexpr std::int64_t ms_per_s = 1000;
    constexpr auto budget_bytes = control_bytes_per_s * heartbeat_ms / ms_per_s;  // of one heartbeat to all
    const auto spare = budget_bytes / std::max<std::int64_t>(1, static_cast<std::int64_t>(receivers)) -
                       udp_header_bytes - static_cast<std::int64_t>(message_bytes);
    if (spare <= 0) {
        return max_report_heartbeats + 1;
    }
    const auto heartbeats = (static_cast<std::int64_t>(report_bytes) + spare - 1) / spare;
    return std::clamp<std::int64_t>(heartbeats, 1, max_report_heartbeats + 1);
}

auto add_report(heartbeat& beat, const zone_load_exchange& exchange, const zone_loads& loads,
                const service_counts& own, std::size_t receivers, time_ms at) -> std::int64_t {
    beat.zones.reset();
    const auto message_bytes = encode_heartbeat(beat).size();
    auto interval = std::int64_t{0};
    for (auto services = max_reported_services; services >= min_reported_services; --services) {
        beat.zones = make_report(exchange, loads, beat.zone, own, services, at);
        interval = report_interval(receivers, message_bytes, encode_heartbeat(beat).size() - message_bytes);
        if (interval <= max_report_heartbeats) {
            break;
        }
    }
    return std::min(interval, max_report_heartbeats) * heartbeat_ms;
}

}  // namespace agatepost::edge
