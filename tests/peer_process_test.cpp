// Guards a fleet of real processes: a change that does not reach all hosts within 6 s, a dead watch holder
// that is not replaced, a failed start without the store, a paused process that does not rejoin, and a stop
// that is not graceful.

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <climits>
#include <fstream>
#include <iostream>
#include <sstream>

#include "peer_fleet.h"
#include "store_fixture.h"

namespace agatepost {

namespace {

constexpr std::int64_t change_limit_ms = 6000;  // stated target for an accepted change

// Returns the path of the agatepost binary, which is built beside this one.
auto binary_path() -> std::string {
    char path[PATH_MAX];
    const auto size = ::readlink("/proc/self/exe", path, sizeof(path));
    const auto self = std::string(path, static_cast<std::size_t>(std::max<ssize_t>(0, size)));
    return self.substr(0, self.rfind('/')) + "/agatepost";
}

// One `agatepost serve` process whose log goes to a file. The destructor kills it.
class host_process {
public:
    host_process(const std::string& name, std::vector<std::string> flags)
        : log_path_("/tmp/agatepost-test-" + std::to_string(::getpid()) + "-" + name) {
        flags.insert(flags.begin(), {binary_path(), "serve", "--name=" + name});
        auto pointers = std::vector<char*>{};
        for (auto& flag : flags) {
            pointers.push_back(flag.data());
        }
        pointers.push_back(nullptr);
        const auto log =
            file_descriptor(::open(log_path_.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600));
        pid_ = ::fork();
        if (pid_ == 0) {
            ::setenv("AGATEPOST_KEY", std::string(64, 'a').c_str(), 1);
            ::dup2(log.value(), STDOUT_FILENO);
            ::dup2(log.value(), STDERR_FILENO);
            ::execv(pointers[0], pointers.data());
            ::_exit(127);
        }
    }
    host_process(const host_process&) = delete;
    auto operator=(const host_process&) -> host_process& = delete;
    ~host_process() {
        if (pid_ > 0) {
            send(SIGKILL);
            (void)wait();
        }
        ::unlink(log_path_.c_str());
    }

    auto send(int signal) const -> void { ::kill(pid_, signal); }

    // Waits for the end and returns the exit code, or -1 after a signal.
    auto wait() -> int {
        auto status = 0;
        ::waitpid(pid_, &status, 0);
        pid_ = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

    // Returns a field of all log lines of an event, in order.
    auto fields(const std::string& event, const std::string& field) const -> std::vector<std::string> {
        auto values = std::vector<std::string>{};
        auto file = std::ifstream(log_path_);
        for (auto line = std::string(); std::getline(file, line);) {
            const auto start = line.find(" " + field + "=\"");
            if (line.find(" name=" + event + " ") != std::string::npos && start != std::string::npos) {
                const auto begin = start + field.size() + 3;
                values.push_back(line.substr(begin, line.find('"', begin) - begin));
            }
        }
        return values;
    }

    auto last(const std::string& event, const std::string& field) const -> std::string {
        const auto values = fields(event, field);
        return values.empty() ? "" : values.back();
    }

    auto is_watching() const -> bool {
        return fields("watch_started", "host").size() > fields("watch_ended", "host").size();
    }

private:
    std::string log_path_;
    pid_t pid_ = -1;
};

class peer_process_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_process_test);
    CPPUNIT_TEST(fleet_handles_host_death_pause_store_outage_and_stop);
    CPPUNIT_TEST_SUITE_END();

public:
    auto fleet_handles_host_death_pause_store_outage_and_stop() -> void {
        for (auto i = std::size_t{0}; i < 6; ++i) {
            peers_.push_back(free_address(100 + i));
        }
        for (auto i = std::size_t{0}; i < 5; ++i) {
            start(i);
        }
        CPPUNIT_ASSERT(await([&] { return all_see("h0,h1,h2,h3,h4", {0, 1, 2, 3, 4}); }));
        change();
        CPPUNIT_ASSERT(await([&] { return all_applied({0, 1, 2, 3, 4}); }, change_limit_ms));
        CPPUNIT_ASSERT(await([&] { return holders().size() == 2; }));

        // A watch holder dies just before a change.
        const auto dead = holders().front();
        processes_[dead]->send(SIGKILL);
        (void)processes_[dead]->wait();
        auto rest = std::vector<std::size_t>{};
        for (auto i = std::size_t{0}; i < 5; ++i) {
            if (i != dead) {
                rest.push_back(i);
            }
        }
        change();
        CPPUNIT_ASSERT(await([&] { return all_applied(rest); }, change_limit_ms));
        processes_[dead].reset();
        CPPUNIT_ASSERT(await([&] { return holders().size() == 2; }));

        // A paused host is removed from the views, and rejoins when it runs again.
        const auto paused = rest.back();
        const auto others = std::vector<std::size_t>(rest.begin(), rest.end() - 1);
        processes_[paused]->send(SIGSTOP);
        CPPUNIT_ASSERT(await([&] { return all_see(names(others), others); }));
        change();
        CPPUNIT_ASSERT(await([&] { return all_applied(others); }, change_limit_ms));
        processes_[paused]->send(SIGCONT);
        CPPUNIT_ASSERT(await([&] { return all_see(names(rest), rest) && all_applied(rest); }));
        CPPUNIT_ASSERT(!processes_[paused]->fields("host_resumed", "host").empty());

        // A host that starts while the store is down gets the configuration from its peers.
        store_.standin.stop();
        CPPUNIT_ASSERT(await([&] {
            return std::any_of(rest.begin(), rest.end(), [&](std::size_t i) {
                return !processes_[i]->fields("watch_failed", "error").empty();
            });
        }));
        start(5);
        rest.push_back(5);
        CPPUNIT_ASSERT(await([&] { return all_applied(rest); }));

        // A stopping host is removed from the other views and exits with code 0; then the others stop.
        processes_[5]->send(SIGTERM);
        rest.pop_back();
        CPPUNIT_ASSERT(await([&] { return all_see(names(rest), rest); }));
        CPPUNIT_ASSERT_EQUAL(0, processes_[5]->wait());
        for (const auto i : rest) {
            processes_[i]->send(SIGTERM);
        }
        for (const auto i : rest) {
            CPPUNIT_ASSERT_EQUAL(0, processes_[i]->wait());
            CPPUNIT_ASSERT(!processes_[i]->fields("control_traffic", "sent").empty());
            auto before = std::uint64_t{0};
            for (const auto& text : processes_[i]->fields("configuration_applied", "revision")) {
                CPPUNIT_ASSERT(std::stoull(text) > before);
                before = std::stoull(text);
            }
        }
    }

private:
    auto start(std::size_t i) -> void {
        processes_.resize(std::max(processes_.size(), i + 1));
        const auto data = to_text(free_address(110 + i));
        processes_[i] = std::make_unique<host_process>(
            peer_fleet::name_of(i),
            std::vector<std::string>{"--peer-address=" + to_text(peers_[i]), "--data-address=" + data,
                                     "--admin-address=" + to_text(free_address(120 + i)), "--store=etcd",
                                     "--store-address=" + to_text(store_.address),
                                     "--peers=" + to_text(peers_[0]) + "," + to_text(peers_[1]),
                                     "--admin-address=127.0.0.1:0", "--stop-limit=2000"});
    }

    // Writes a new version of one object.
    auto change() -> void {
        const auto key = std::string(config_prefix) + "profile/p";
        const auto text = std::string(R"({"name": "p", "priority": )") + std::to_string(revision_ % 8) + "}";
        const auto written = store_.client().write(key, revision_, text);
        CPPUNIT_ASSERT_MESSAGE(written ? "" : to_text(written.error()), written.has_value());
        revision_ = *written;
    }

    auto all_applied(const std::vector<std::size_t>& members) const -> bool {
        return std::all_of(members.begin(), members.end(), [&](std::size_t i) {
            return processes_[i]->last("configuration_applied", "revision") == std::to_string(revision_);
        });
    }

    auto all_see(const std::string& expected, const std::vector<std::size_t>& members) const -> bool {
        return std::all_of(members.begin(), members.end(), [&](std::size_t i) {
            return processes_[i]->last("view_changed", "hosts") == expected;
        });
    }

    auto holders() const -> std::vector<std::size_t> {
        auto found = std::vector<std::size_t>{};
        for (auto i = std::size_t{0}; i < processes_.size(); ++i) {
            if (processes_[i] != nullptr && processes_[i]->is_watching()) {
                found.push_back(i);
            }
        }
        return found;
    }

    static auto names(const std::vector<std::size_t>& members) -> std::string {
        auto text = std::string();
        for (const auto i : members) {
            text += (text.empty() ? "" : ",") + peer_fleet::name_of(i);
        }
        return text;
    }

    running_store store_;
    std::vector<endpoint> peers_;
    std::vector<std::unique_ptr<host_process>> processes_;
    std::uint64_t revision_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_process_test);

}  // namespace

}  // namespace agatepost
