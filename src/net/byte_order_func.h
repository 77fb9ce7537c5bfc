// Unaligned loads and stores of big-endian integers.
#pragma once

#include <cstdint>

namespace agatepost {

inline auto load_u16(const std::uint8_t* p) -> std::uint16_t {
    return static_cast<std::uint16_t>((p[0] << 8U) | p[1]);
}

inline auto load_u32(const std::uint8_t* p) -> std::uint32_t {
    return (static_cast<std::uint32_t>(load_u16(p)) << 16U) | load_u16(p + 2);
}

inline auto load_u64(const std::uint8_t* p) -> std::uint64_t {
    return (static_cast<std::uint64_t>(load_u32(p)) << 32U) | load_u32(p + 4);
}

inline auto store_u16(std::uint8_t* p, std::uint16_t value) -> void {
    p[0] = static_cast<std::uint8_t>(value >> 8U);
    p[1] = static_cast<std::uint8_t>(value);
}

inline auto store_u32(std::uint8_t* p, std::uint32_t value) -> void {
    store_u16(p, static_cast<std::uint16_t>(value >> 16U));
    store_u16(p + 2, static_cast<std::uint16_t>(value));
}

inline auto store_u64(std::uint8_t* p, std::uint64_t value) -> void {
    store_u32(p, static_cast<std::uint32_t>(value >> 32U));
    store_u32(p + 4, static_cast<std::uint32_t>(value));
}

}  // namespace agatepost
