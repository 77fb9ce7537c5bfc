#include <cstdint>
#include <optional>
#include <vector>

#include "core/cbor_func.h"

namespace agatepost {

namespace {

// Major types of RFC 8949 whose items have content after the head.
constexpr unsigned byte_string = 2;
constexpr unsigned text_string = 3;
constexpr unsigned array_type = 4;
constexpr unsigned map_type = 5;

// The decoded head of one data item.
struct item_head {
    unsigned type = 0;
    std::uint64_t value = 0;  // the number, or the length of the content
};

// Reads the head at `next` and advances `next` past it. Returns nothing for truncated bytes and for items of
// indefinite length, which hosts do not write.
auto read_head(std::string_view bytes, std::size_t& next) -> std::optional<item_head> {
    if (next >= bytes.size()) {
        return std::nullopt;
    }
    const auto first = static_cast<unsigned char>(bytes[next++]);
    const auto type = static_cast<unsigned>(first >> 5U);
    const auto info = static_cast<unsigned>(first & 0x1fU);
    constexpr unsigned info_one_byte = 24;  // the value follows in 1 byte; 25 to 27: in 2, 4 and 8 bytes
    constexpr unsigned info_eight_bytes = 27;
    if (info < info_one_byte) {
        return item_head{type, info};
    }
    const auto width = std::size_t{1} << (info - info_one_byte);
    if (info > info_eight_bytes || bytes.size() - next < width) {
        return std::nullopt;
    }
    auto value = std::uint64_t{0};
    for (auto i = std::size_t{0}; i < width; ++i) {
        value = (value << 8U) | static_cast<unsigned char>(bytes[next++]);
    }
    return item_head{type, value};
}

// Returns whether the bytes are exactly one item that nests within the limit and whose lengths fit in the
// bytes.
auto is_bounded(std::string_view bytes) -> bool {
    auto items_left = std::vector<std::uint64_t>{1};  // items still to read, by depth
    auto next = std::size_t{0};
    while (!items_left.empty()) {
        if (items_left.back() == 0) {
            items_left.pop_back();
            continue;
        }
        --items_left.back();
        const auto head = read_head(bytes, next);
        if (!head) {
            return false;
        }
        const auto remaining_bytes = bytes.size() - next;
        if (head->type == byte_string || head->type == text_string) {
            if (head->value > remaining_bytes) {
                return false;
            }
            next += static_cast<std::size_t>(head->value);
        } else if (head->type == array_type || head->type == map_type) {
            if (head->value > remaining_bytes || items_left.size() > max_cbor_depth) {
                return false;
            }
            items_left.push_back(head->type == map_type ? 2 * head->value : head->value);
        }
    }
    return next == bytes.size();
}

}  // namespace

auto read_cbor(std::string_view bytes) -> nlohmann::json {
    using nlohmann::json;
    return is_bounded(bytes) ? json::from_cbor(bytes, true, false) : json(json::value_t::discarded);
}

}  // namespace agatepost
