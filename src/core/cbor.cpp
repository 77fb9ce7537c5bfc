#include <cstdint>
#include <optional>
#include <vector>

#include "core/cbor_func.h"

namespace agatepost {

namespace {

// Major types of RFC 8949 that have content after their head.
constexpr unsigned byte_string = 2;
constexpr unsigned text_string = 3;
constexpr unsigned array_type = 4;
constexpr unsigned map_type = 5;

// The head of one item.
struct item_head {
    unsigned type = 0;
    std::uint64_t value = 0;  // a number, or the length of the content
};

// Reads the head at `next` and moves past it. Nothing for bytes that end early, and for items without a
// length, which our hosts do not write.
auto read_head(std::string_view bytes, std::size_t& next) -> std::optional<item_head> {
    if (next >= bytes.size()) {
        return std::nullopt;
    }
    const auto first = static_cast<unsigned char>(bytes[next++]);
    const auto type = static_cast<unsigned>(first >> 5U);
    const auto info = static_cast<unsigned>(first & 0x1fU);
    constexpr unsigned first_wide = 24;  // one more byte; 25 to 27: two, four and eight
    constexpr unsigned last_wide = 27;
    if (info < first_wide) {
        return item_head{type, info};
    }
    const auto width = std::size_t{1} << (info - first_wide);
    if (info > last_wide || bytes.size() - next < width) {
        return std::nullopt;
    }
    auto value = std::uint64_t{0};
    for (auto i = std::size_t{0}; i < width; ++i) {
        value = (value << 8U) | static_cast<unsigned char>(bytes[next++]);
    }
    return item_head{type, value};
}

// Whether the bytes are one item whose parts nest within the limit and have room in the bytes.
auto is_bounded(std::string_view bytes) -> bool {
    auto left = std::vector<std::uint64_t>{1};  // items to come, by depth
    auto next = std::size_t{0};
    while (!left.empty()) {
        if (left.back() == 0) {
            left.pop_back();
            continue;
        }
        --left.back();
        const auto head = read_head(bytes, next);
        if (!head) {
            return false;
        }
        const auto room = bytes.size() - next;
        if (head->type == byte_string || head->type == text_string) {
            if (head->value > room) {
                return false;
            }
            next += static_cast<std::size_t>(head->value);
        } else if (head->type == array_type || head->type == map_type) {
            if (head->value > room || left.size() > deepest_cbor) {
                return false;
            }
            left.push_back(head->type == map_type ? 2 * head->value : head->value);
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
