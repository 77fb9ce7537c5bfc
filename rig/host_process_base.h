// Host processes that the rig starts and ends.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "core/error_type.h"

namespace agatepost::rig {

// A child process. It is killed when the rig ends, however the rig ends.
class child_process {
public:
    child_process() = default;
    child_process(const child_process&) = delete;
    auto operator=(const child_process&) -> child_process& = delete;
    ~child_process();

    // Starts a program with standard output and error appended to a file.
    auto start(const std::vector<std::string>& command, const std::string& log_path) -> result<void>;

    // Sends a signal to the process if it still runs.
    auto signal(int number) -> void;

    // Returns whether the process still runs. Collects its exit status.
    auto is_running() -> bool;

    // The exit code, or 128 plus the signal that ended the process; -1 while it runs.
    auto exit_code() const -> int { return exit_code_; }

private:
    pid_t pid_ = -1;
    int exit_code_ = -1;
};

// Runs a program to its end, with at most `limit_ms`, and returns its exit code. Output goes to the file.
auto run_to_end(const std::vector<std::string>& command, const std::string& log_path, int limit_ms)
    -> result<int>;

}  // namespace agatepost::rig
