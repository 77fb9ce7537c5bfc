#include <algorithm>

#include "flow/hash_func.h"
#include "frame_base.h"
#include "net/byte_order_func.h"

namespace agatepost::rig {

namespace {

constexpr std::uint8_t magic = 0xa6;

auto body_byte(std::uint64_t id, std::uint32_t position) -> char {
    return static_cast<char>(mix(id, position / 8) >> (8U * (position % 8)));
}

auto parse_header(std::string_view text) -> frame_header {
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(text.data());
    auto header = frame_header{};
    header.kind = static_cast<frame_kind>(bytes[1]);
    header.service = bytes[2];
    header.id = (static_cast<std::uint64_t>(load_u32(bytes + 4)) << 32U) | load_u32(bytes + 8);
    header.work_ms = load_u32(bytes + 12);
    header.answer_size = load_u32(bytes + 16);
    header.body_size = load_u32(bytes + 20);
    return header;
}

}  // namespace

auto to_bytes(const frame_header& header) -> std::string {
    auto text = std::string(frame_header_size + header.body_size, '\0');
    auto* bytes = reinterpret_cast<std::uint8_t*>(text.data());
    bytes[0] = magic;
    bytes[1] = static_cast<std::uint8_t>(header.kind);
    bytes[2] = header.service;
    store_u32(bytes + 4, static_cast<std::uint32_t>(header.id >> 32U));
    store_u32(bytes + 8, static_cast<std::uint32_t>(header.id));
    store_u32(bytes + 12, header.work_ms);
    store_u32(bytes + 16, header.answer_size);
    store_u32(bytes + 20, header.body_size);
    for (auto i = std::uint32_t{0}; i < header.body_size; ++i) {
        text[frame_header_size + i] = body_byte(header.id, i);
    }
    return text;
}

auto frame_reader::read(std::string_view bytes, const callbacks& call) -> void {
    while (!is_malformed_) {
        if (!in_body_) {
            const auto part = bytes.substr(0, frame_header_size - head_.size());
            head_.append(part);
            bytes.remove_prefix(part.size());
            if (head_.size() < frame_header_size) {
                return;
            }
            if (static_cast<std::uint8_t>(head_[0]) != magic) {
                is_malformed_ = true;
                call.malformed();
                return;
            }
            header_ = parse_header(head_);
            head_.clear();
            position_ = 0;
            in_body_ = true;
            is_correct_ = true;
        }
        const auto part = bytes.substr(0, header_.body_size - position_);
        auto is_part_correct = true;
        for (const auto byte : part) {
            is_part_correct = is_part_correct && byte == body_byte(header_.id, position_);
            ++position_;
        }
        bytes.remove_prefix(part.size());
        is_correct_ = is_correct_ && is_part_correct;
        if (!part.empty()) {
            call.body(header_, part.size(), is_part_correct);
        }
        if (position_ < header_.body_size) {
            return;
        }
        in_body_ = false;
        call.complete(header_, is_correct_);
        if (bytes.empty()) {
            return;
        }
    }
}

}  // namespace agatepost::rig
