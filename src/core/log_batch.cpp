#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

#include "core/counter_func.h"
#include "core/log_batch_base.h"

namespace agatepost {

auto log_batch::append(const std::string& line) -> void {
    if (waiting_.size() + line.size() + 1 > log_batch_bytes) {
        ++dropped_;
        count(counter::edge_log_lines_dropped);
        return;
    }
    waiting_ += line;
    waiting_ += '\n';
}

auto log_batch::flush() -> void {
    auto written = std::size_t{0};
    while (written < waiting_.size()) {
        // A pipe that polls as writable accepts PIPE_BUF bytes without blocking, even if other processes
        // share it.
        auto poller = pollfd{fd_, POLLOUT, 0};
        if (poll(&poller, 1, 0) != 1 || (poller.revents & POLLOUT) == 0) {
            break;
        }
        const auto part = std::min<std::size_t>(waiting_.size() - written, PIPE_BUF);
        const auto done = write(fd_, waiting_.data() + written, part);
        if (done <= 0) {
            break;
        }
        written += static_cast<std::size_t>(done);
    }
    waiting_.erase(0, written);
}

auto log_batch::collect_dropped_count() -> std::uint64_t {
    return std::exchange(dropped_, 0);
}

}  // namespace agatepost
