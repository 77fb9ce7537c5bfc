// Host processes started by the rig.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "core/error_type.h"

namespace agatepost::rig {

// A child process. It is killed when the rig ends, even if the rig crashes.
class child_process {
public:
    child_process() = default;
    child_process(const child_process&) = delete;
    auto operator=(const child_process&) -> child_process& = delete;
    ~child_process();

    // Starts a program with standard output and error appended to a file.
    auto start(const std::vector<std::string>& command, const std::string& log_path) -> result<void>;

    // Sends a signal to the process if it is running.
    auto signal(int number) -> void;

    // Returns whether the process is running, and reaps it if it has ended.
    auto is_running() -> bool;

    // Returns the exit code, or 128 plus the terminating signal; -1 while the process runs.
    auto exit_code() const -> int { return exit_code_; }

private:
    pid_t pid_ = -1;
    int exit_code_ = -1;
};

// Runs a program for at most `limit_ms` and returns its exit code. Output is appended to the file.
auto run_to_completion(const std::vector<std::string>& command, const std::string& log_path, int limit_ms)
    -> result<int>;

}  // namespace agatepost::rig
