#include <cstring>

#include "net/byte_order_func.h"
#include "net/geneve_func.h"

namespace agatepost {

namespace {

constexpr std::uint16_t ethertype_ipv4 = 0x0800;
constexpr std::uint16_t ethertype_ipv6 = 0x86dd;
constexpr std::uint8_t flag_control = 0x80;
constexpr std::uint8_t flag_critical = 0x40;
constexpr std::uint16_t relay_class = 0xff01;  // experimental range of RFC 8926
constexpr std::uint8_t relay_type = 0x81;      // the high bit marks the option as critical
constexpr std::size_t option_header_size = 4;

auto failure(counter reason) -> tl::unexpected<counter> {
    return tl::unexpected<counter>(reason);
}

auto is_relay_reason(std::uint8_t value) -> bool {
    return value >= static_cast<std::uint8_t>(relay_reason::open) &&
           value <= static_cast<std::uint8_t>(relay_reason::close);
}

// Parses one option whose body has `body` bytes. Skips unknown options unless they are critical.
auto parse_option(const std::uint8_t* option, std::size_t body, geneve_header& header)
    -> tl::expected<void, counter> {
    if (load_u16(option) == relay_class && option[2] == relay_type) {
        if (body < 4 || !is_relay_reason(option[option_header_size])) {
            return failure(counter::drop_bad_geneve);
        }
        header.relay = static_cast<relay_reason>(option[option_header_size]);
        return {};
    }
    if ((option[2] & 0x80U) != 0) {
        return failure(counter::drop_unknown_option);
    }
    return {};
}

}  // namespace

auto parse_geneve(const std::uint8_t* data, std::size_t size) -> tl::expected<geneve_header, counter> {
    if (size < geneve_header_size) {
        return failure(counter::drop_short_packet);
    }
    const auto options = static_cast<std::size_t>(data[0] & 0x3fU) * 4;
    const auto type = load_u16(data + 2);
    if ((data[0] >> 6U) != 0 || (data[1] & flag_control) != 0 ||
        (type != ethertype_ipv4 && type != ethertype_ipv6)) {
        return failure(counter::drop_bad_geneve);
    }
    if (size < geneve_header_size + options) {
        return failure(counter::drop_short_packet);
    }
    auto header = geneve_header{};
    header.vni = load_u32(data + 4) >> 8U;
    header.inner_offset = geneve_header_size + options;
    auto at = geneve_header_size;
    while (at < header.inner_offset) {
        if (at + option_header_size > header.inner_offset) {
            return failure(counter::drop_bad_geneve);
        }
        const auto body = static_cast<std::size_t>(data[at + 3] & 0x1fU) * 4;
        if (at + option_header_size + body > header.inner_offset) {
            return failure(counter::drop_bad_geneve);
        }
        const auto parsed = parse_option(data + at, body, header);
        if (!parsed) {
            return failure(parsed.error());
        }
        at += option_header_size + body;
    }
    return header;
}

auto write_geneve(std::uint8_t* inner, std::uint32_t vni, relay_reason relay) -> std::uint8_t* {
    const auto has_option = relay != relay_reason::none;
    auto* header = inner - (has_option ? geneve_relay_header_size : geneve_header_size);
    header[0] = has_option ? 2 : 0;  // option length in 4-byte words
    header[1] = has_option ? flag_critical : 0;
    store_u16(header + 2, (inner[0] >> 4U) == 6 ? ethertype_ipv6 : ethertype_ipv4);
    store_u32(header + 4, vni << 8U);
    if (has_option) {
        store_u16(header + 8, relay_class);
        header[10] = relay_type;
        header[11] = 1;  // body length in 4-byte words
        header[12] = static_cast<std::uint8_t>(relay);
        std::memset(header + 13, 0, 3);
    }
    return header;
}

}  // namespace agatepost
