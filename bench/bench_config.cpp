#include "bench_config_func.h"
#include "net/byte_order_func.h"

namespace agatepost::bench {

namespace {

auto ipv4(std::uint32_t value) -> ip_address {
    auto address = ip_address{};
    store_u32(address.bytes.data(), value);
    return address;
}

}  // namespace

auto service_address(std::size_t i) -> endpoint {
    return {ipv4(0x0a000000U + static_cast<std::uint32_t>(i)), 443};
}

auto build_large_configuration(std::size_t services, std::size_t targets) -> configuration {
    auto config = configuration{1, {}};
    auto rules = profile{};
    rules.name = "bench";
    config.entries["profile/bench"] = config_entry{1, rules};
    for (auto i = std::size_t{0}; i < services; ++i) {
        auto s = service{};
        s.name = "s" + std::to_string(i);
        s.address = service_address(i);
        s.pool = "p" + std::to_string(i);
        s.target_port = 8443;
        s.profile_name = "bench";
        config.entries["service/" + s.name] = config_entry{1, s};
    }
    for (auto i = std::size_t{0}; i < targets; ++i) {
        auto t = target{};
        t.name = "t" + std::to_string(i);
        t.pool = "p" + std::to_string(i % services);
        t.index = static_cast<std::uint8_t>(1 + i / services);
        t.address = ipv4(0x7f000000U + static_cast<std::uint32_t>(i));
        t.zone = "zone-1";
        config.entries["target/" + t.name] = config_entry{1, t};
    }
    return config;
}

}  // namespace agatepost::bench
