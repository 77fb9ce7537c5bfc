// Internet checksum (RFC 1071) and its incremental update (RFC 1624).
#pragma once

#include <cstddef>
#include <cstdint>

namespace agatepost {

// Adds bytes to a ones-complement sum. An odd last byte is padded with a zero byte.
auto checksum_add(std::uint64_t sum, const std::uint8_t* data, std::size_t size) -> std::uint64_t;

// Folds a sum to 16 bits without complementing it.
inline auto checksum_fold(std::uint64_t sum) -> std::uint16_t {
    while ((sum >> 16U) != 0) {
        sum = (sum & 0xffffU) + (sum >> 16U);
    }
    return static_cast<std::uint16_t>(sum);
}

// Returns the checksum after a change of the bytes `before` to `after`: ~(~checksum + ~m + m'), RFC 1624
// equation 3. `size` must be even and the bytes must start at an even offset of the checksummed data.
auto checksum_update(std::uint16_t checksum, const std::uint8_t* before, const std::uint8_t* after,
                     std::size_t size) -> std::uint16_t;

}  // namespace agatepost
