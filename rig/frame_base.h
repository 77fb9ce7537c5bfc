// Application messages of the rig: a fixed header and a body derived from the request's id.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace agatepost::rig {

// Kinds of messages.
enum class frame_kind : std::uint8_t {
    request = 1,    // run once and answer
    subscribe = 2,  // answer, then send pushes until the flow is closed
    keepalive = 3,  // no answer
    answer = 4,     // to a request or a subscription
    push = 5,       // to a subscriber
};

// Header of a message.
struct frame_header {
    frame_kind kind = frame_kind::request;
    std::uint8_t service = 0;       // position in the mix
    std::uint64_t id = 0;           // of the request; repeated in answers and pushes
    std::uint32_t work_ms = 0;      // how long the request takes
    std::uint32_t answer_size = 0;  // bytes of the answer's body
    std::uint32_t body_size = 0;    // bytes after this header
};

constexpr std::size_t frame_header_size = 24;

// Serializes a message. The body is derived from the id.
auto to_bytes(const frame_header& header) -> std::string;

// Splits a byte stream into messages and checks the bodies.
class frame_reader {
public:
    struct callbacks {
        std::function<void(const frame_header&, std::size_t bytes, bool is_correct)> body;  // part of a body
        std::function<void(const frame_header&, bool is_correct)> complete;
        std::function<void()> malformed;  // invalid message; later bytes are ignored
    };

    auto read(std::string_view bytes, const callbacks& call) -> void;

private:
    std::string head_;
    frame_header header_;
    std::uint32_t position_ = 0;  // within the body
    bool in_body_ = false;
    bool is_correct_ = true;
    bool is_malformed_ = false;
};

}  // namespace agatepost::rig
