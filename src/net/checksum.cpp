#include <cstring>

#include "net/byte_order_func.h"
#include "net/checksum_func.h"

namespace agatepost {

// Adds 32-bit words in memory order and swaps the folded result: the ones-complement sum does not depend on
// the byte order except for this swap, so no word needs a conversion (RFC 1071, section 2).
auto checksum_add(std::uint64_t sum, const std::uint8_t* data, std::size_t size) -> std::uint64_t {
    auto native_sum = std::uint64_t{0};
    auto i = std::size_t{0};
    for (; i + 4 <= size; i += 4) {
        auto word = std::uint32_t{0};
        std::memcpy(&word, data + i, sizeof(word));
        native_sum += word;
    }
    const auto folded = checksum_fold(native_sum);
    sum += static_cast<std::uint16_t>((folded >> 8U) | (folded << 8U));
    if (i + 2 <= size) {
        sum += load_u16(data + i);
        i += 2;
    }
    if (i < size) {
        sum += static_cast<std::uint64_t>(data[i]) << 8U;
    }
    return sum;
}

auto checksum_update(std::uint16_t checksum, const std::uint8_t* before, const std::uint8_t* after,
                     std::size_t size) -> std::uint16_t {
    auto sum = static_cast<std::uint64_t>(static_cast<std::uint16_t>(~checksum));
    for (auto i = std::size_t{0}; i < size; i += 2) {
        sum += static_cast<std::uint16_t>(~load_u16(before + i));
        sum += load_u16(after + i);
    }
    return static_cast<std::uint16_t>(~checksum_fold(sum));
}

}  // namespace agatepost
