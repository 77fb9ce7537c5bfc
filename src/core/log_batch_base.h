// Buffer of log lines that is written to a file descriptor without blocking.
#pragma once

#include <cstdint>
#include <string>

namespace agatepost {

// Capacity of the buffer. Lines that do not fit are dropped and counted.
constexpr std::size_t log_batch_bytes = 256U << 10U;

// Buffer of lines for one file descriptor. Not thread-safe.
class log_batch {
public:
    explicit log_batch(int fd) : fd_(fd) {}

    // Appends a line, given without its line end.
    auto append(const std::string& line) -> void;

    // Writes as much as the descriptor accepts without blocking and keeps the rest.
    auto flush() -> void;

    // Returns the number of lines dropped since the last call and resets it.
    auto collect_dropped_count() -> std::uint64_t;

private:
    int fd_;
    std::string waiting_;
    std::uint64_t dropped_ = 0;
};

}  // namespace agatepost
