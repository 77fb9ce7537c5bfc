#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <thread>

#include "core/clock_type.h"
#include "host_process_base.h"

namespace agatepost::rig {

namespace {

constexpr auto poll_step = std::chrono::milliseconds(5);

// Runs in the child between fork and exec, so it makes only async-signal-safe calls.
[[noreturn]] auto execute(char* const* arguments, int log, pid_t parent) -> void {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
        ::_exit(127);  // the rig ended before the preceding call
    }
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execv(arguments[0], arguments);
    ::_exit(127);
}

}  // namespace

child_process::~child_process() {
    if (is_running()) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

auto child_process::start(const std::vector<std::string>& command, const std::string& log_path)
    -> result<void> {
    auto arguments = std::vector<char*>{};
    for (const auto& part : command) {
        arguments.push_back(const_cast<char*>(part.c_str()));
    }
    arguments.push_back(nullptr);
    const auto log = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (log < 0) {
        return make_error(error_kind::not_found, "cannot write " + log_path + ": " + std::strerror(errno),
                          "check the temporary directory");
    }
    const auto parent = ::getpid();
    exit_code_ = -1;
    pid_ = ::fork();
    if (pid_ == 0) {
        execute(arguments.data(), log, parent);
    }
    ::close(log);
    if (pid_ < 0) {
        return make_error(error_kind::not_found,
                          "cannot start " + command.front() + ": " + std::strerror(errno),
                          "check the process limits");
    }
    return {};
}

auto child_process::signal(int number) -> void {
    if (is_running()) {
        ::kill(pid_, number);
    }
}

auto child_process::is_running() -> bool {
    if (pid_ < 0) {
        return false;
    }
    auto status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        return false;
    }
    return true;
}

auto run_to_completion(const std::vector<std::string>& command, const std::string& log_path, int limit_ms)
    -> result<int> {
    auto process = child_process{};
    const auto started = process.start(command, log_path);
    if (!started) {
        return tl::unexpected<error>(started.error());
    }
    const auto limit = now() + limit_ms;
    while (process.is_running()) {
        if (now() > limit) {
            return make_error(error_kind::not_found, command.front() + " did not exit within the time limit",
                              "see " + log_path);
        }
        std::this_thread::sleep_for(poll_step);
    }
    return process.exit_code();
}

}  // namespace agatepost::rig
