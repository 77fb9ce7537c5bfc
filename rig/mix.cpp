#include <array>

#include "config/config_func.h"
#include "mix_func.h"

namespace agatepost::rig {

namespace {

constexpr std::uint16_t first_target_port = 8000;
constexpr std::uint32_t connections_per_target = 2000;

auto mixes() -> const std::array<mix, 2>& {
    static const std::array<mix, 2> all = {
        mix{"tracker",
            {{"tracker", 14, 3}, {"attachments", 4, 3}},
            {{"filing", 0, flow_kind::request, 0, ip_protocol::tcp, 50, 2000, 0.4, 10},
             {"board", 0, flow_kind::feed, 4, ip_protocol::tcp, 0, 100, 0},
             {"attachments", 1, flow_kind::request, 4, ip_protocol::tcp, 50, 60000, 0.3},
             {"crash-ping", 1, flow_kind::request, 4, ip_protocol::udp, 10, 400, 0.1},
             {"browse", 0, flow_kind::request, 4, ip_protocol::tcp, 50, 2000, 0}}},
        mix{"advisory",
            {{"desk", 14, 2}, {"archive", 4, 2}},
            {{"notes", 0, flow_kind::request, 4, ip_protocol::tcp, 50, 2000, 0.4},
             {"alerts", 0, flow_kind::feed, 0, ip_protocol::tcp, 0, 100, 0},
             {"reports", 1, flow_kind::request, 4, ip_protocol::tcp, 50, 60000, 0.3},
             {"sensor-ping", 1, flow_kind::request, 4, ip_protocol::udp, 10, 400, 0.1},
             {"alert-check", 0, flow_kind::request, 0, ip_protocol::tcp, 50, 2000, 0, 10}}},
    };
    return all;
}

auto loopback(std::uint8_t b, std::uint8_t c, std::uint8_t d) -> ip_address {
    auto address = ip_address{};
    address.bytes = {127, b, c, d};
    return address;
}

template <typename Object>
auto document_of(Object object) -> nlohmann::json {
    return to_json(config_entry{0, std::move(object)});
}

auto profile_of(const mix_service& service, zone_rule zones) -> profile {
    auto p = profile{};
    p.name = service.name;
    p.priority = service.priority;
    p.kind = service.kind;
    p.zones = zones;
    p.reserve_percent = service.reserve_percent;
    return p;
}

}  // namespace

auto find_mix(std::string_view name) -> const mix* {
    for (const auto& candidate : mixes()) {
        if (candidate.name == name) {
            return &candidate;
        }
    }
    return nullptr;
}

auto targets_of(const mix& workload, const std::vector<std::string>& zones, std::uint16_t health_port)
    -> std::vector<mix_target> {
    auto targets = std::vector<mix_target>{};
    auto next_index = std::vector<std::uint8_t>(workload.pools.size(), 1);
    for (auto z = std::size_t{0}; z < zones.size(); ++z) {
        auto number = std::uint8_t{1};
        for (auto p = std::size_t{0}; p < workload.pools.size(); ++p) {
            const auto& pool = workload.pools[p];
            for (auto i = 0; i < pool.targets; ++i) {
                auto t = target{};
                t.name = pool.name + "-" + zones[z] + "-" + std::to_string(i + 1);
                t.pool = pool.name;
                t.index = next_index[p]++;
                t.address = loopback(10, static_cast<std::uint8_t>(z + 1), number++);
                t.zone = zones[z];
                t.health_port = health_port;
                t.slots = static_cast<std::uint32_t>(pool.slots);
                t.connections = connections_per_target;
                targets.push_back(mix_target{std::move(t), p});
            }
        }
    }
    return targets;
}

auto service_address(std::size_t service) -> endpoint {
    auto address = ip_address{};
    address.bytes = {192, 0, 2, static_cast<std::uint8_t>(10 + service)};
    return endpoint{address, 443};
}

auto service_target_port(std::size_t service) -> std::uint16_t {
    return static_cast<std::uint16_t>(first_target_port + service);
}

auto service_of_port(std::uint16_t target_port) -> std::size_t {
    return static_cast<std::size_t>(target_port) - first_target_port;
}

auto configuration_document(const mix& workload, const std::vector<mix_target>& targets, zone_rule zones)
    -> nlohmann::json {
    auto document = nlohmann::json{{"profiles", nlohmann::json::array()},
                                   {"services", nlohmann::json::array()},
                                   {"targets", nlohmann::json::array()}};
    for (auto i = std::size_t{0}; i < workload.services.size(); ++i) {
        const auto& part = workload.services[i];
        document["profiles"].push_back(document_of(profile_of(part, zones)));
        document["services"].push_back(
            document_of(service{part.name, service_address(i), part.protocol, workload.pools[part.pool].name,
                                service_target_port(i), part.name}));
    }
    for (const auto& target_spec : targets) {
        document["targets"].push_back(document_of(target_spec.object));
    }
    return document;
}

}  // namespace agatepost::rig
