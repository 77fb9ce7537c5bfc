// Internet checksum (RFC 1071) and its incremental update (RFC 1624).
#pragma once

#include <cstddef>
#include <cstdint>

namespace agatepost {

// Adds bytes to a ones-complement sum; an odd last byte is padded with zero.
auto checksum_add(std::uint64_t sum, const std::uint8_t* data, std::size_t size) -> std::uint64_t;

// Folds a sum to 16 bits without complementing it.
inline auto checksum_fold(std::uint64_t sum) -> std::uint16_t {
    while ((sum >> 16U) != 0) {
        sum = (sum & 0xffffU) + (sum >> 16U);
    }
    return static_cast<std::uint16_t>(sum);
}

// Replaces bytes covered by a checksum: new = ~(~old + ~m + m'), RFC 1624 equation 3. `size` is even and the
// bytes lie at an even offset of the checksummed data.
auto checksum_update(std::uint16_t checksum, const std::uint8_t* before, const std::uint8_t* after,
                     std::size_t size) -> std::uint16_t;

}  // namespace agatepost
