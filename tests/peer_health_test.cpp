// Tests of health reports against: targets that no host probes, results that do not reach the chooser,
// malformed or missing answers counted as load.

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>
#include <poll.h>

#include <map>

#include "config/snapshot_func.h"
#include "health/probe_base.h"
#include "peer/host_view_func.h"
#include "peer_fleet.h"

namespace agatepost {

namespace {

// An HTTP server that answers GET /load with one text, or never if the text is empty.
class test_http_server {
public:
    test_http_server(const endpoint& address, std::string answer) : answer_(std::move(answer)) {
        listener_ = file_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        auto socket_address = sockaddr_storage{};
        const auto length = to_socket_address(address, socket_address);
        CPPUNIT_ASSERT_EQUAL(0,
                             ::bind(listener_.value(), reinterpret_cast<sockaddr*>(&socket_address), length));
        CPPUNIT_ASSERT_EQUAL(0, ::listen(listener_.value(), 16));
        thread_ = std::thread([this] { run(); });
    }
    ~test_http_server() {
        is_done_ = true;
        thread_.join();
    }

private:
    auto run() -> void {
        auto unanswered = std::vector<file_descriptor>{};
        while (!is_done_) {
            auto waiting = pollfd{listener_.value(), POLLIN, 0};
            if (::poll(&waiting, 1, 20) <= 0) {
                continue;
            }
            auto accepted = file_descriptor(::accept(listener_.value(), nullptr, nullptr));
            if (answer_.empty()) {
                unanswered.push_back(std::move(accepted));
                continue;
            }
            char buffer[1024];
            const auto size = ::recv(accepted.value(), buffer, sizeof(buffer), 0);
            const auto is_expected = size > 10 && std::string_view(buffer, 10) == "GET /load ";
            const auto text = std::string(is_expected ? "HTTP/1.1 200 OK" : "HTTP/1.1 404 Not Found") +
                              "\r\nContent-Length: " + std::to_string(answer_.size()) + "\r\n\r\n" + answer_;
            (void)::send(accepted.value(), text.data(), text.size(), MSG_NOSIGNAL);
        }
    }

    std::string answer_;
    file_descriptor listener_;
    std::atomic<bool> is_done_{false};
    std::thread thread_;
};

auto target_at(const std::string& name, std::uint8_t index, const endpoint& address) -> target {
    auto made = target{};
    made.name = name;
    made.pool = "desk";
    made.index = index;
    made.zone = "z";
    made.address = address.address;
    made.health_port = address.port;
    return made;
}

class peer_health_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_health_test);
    CPPUNIT_TEST(two_hosts_probe_each_target);
    CPPUNIT_TEST(only_valid_answers_within_the_time_limit_are_load);
    CPPUNIT_TEST(probe_results_reach_the_chooser_and_its_successor);
    CPPUNIT_TEST_SUITE_END();

public:
    auto two_hosts_probe_each_target() -> void {
        for (auto total = std::size_t{1}; total <= 6; ++total) {
            auto view = host_view{};
            for (auto i = std::size_t{0}; i < total; ++i) {
                auto host = host_record{};
                host.name = peer_fleet::name_of(i);
                host.name_hash = stable_hash(host.name);
                view.hosts.push_back(host);
            }
            for (auto number = 0; number < 50; ++number) {
                auto probers = std::size_t{0};
                for (const auto& host : view.hosts) {
                    view.self = host.name;
                    probers += is_prober(view, target_at("t" + std::to_string(number), 1, {})) ? 1 : 0;
                }
                CPPUNIT_ASSERT_EQUAL(std::min<std::size_t>(2, total), probers);
            }
        }
    }

    auto only_valid_answers_within_the_time_limit_are_load() -> void {
        const auto probe = [](const std::string& answer) {
            const auto address = free_address(40);
            const auto server = test_http_server(address, answer);
            return probe_target(address);
        };
        const auto valid = probe(R"({"slots_busy": 2, "connections": 700})");
        CPPUNIT_ASSERT(valid && *valid == (target_load{2, 700}));
        for (const auto* bad :
             {"", "no json", R"({"slots_busy": 2})", R"([2, 700])", R"({"slots_busy": -1, "connections": 7})",
              R"({"slots_busy": 1, "connections": 4294967296})"}) {
            CPPUNIT_ASSERT_MESSAGE(bad, !probe(bad));
        }
        CPPUNIT_ASSERT(!probe(std::string(10000, ' ') + R"({"slots_busy": 2, "connections": 7})"));
        CPPUNIT_ASSERT(!probe_target(free_address(41)));
    }

    auto probe_results_reach_the_chooser_and_its_successor() -> void {
        const auto good = free_address(42);
        const auto silent = free_address(43);
        const auto good_server = test_http_server(good, R"({"slots_busy": 3, "connections": 12})");
        const auto silent_server = test_http_server(silent, "");
        auto config = std::make_shared<snapshot>();
        config->revision = 1;
        auto pool = snapshot_pool{};
        pool.name = "desk";
        pool.targets = {target_at("good", 1, good), target_at("silent", 2, silent)};
        config->pools.push_back(pool);
        auto published_config = published<snapshot>(config);

        auto fleet = peer_fleet(3);
        auto mutex = std::mutex{};
        auto received = std::vector<std::map<std::string, std::vector<std::uint32_t>>>(3);
        auto probers = std::vector<std::unique_ptr<prober>>{};
        for (auto i = std::size_t{0}; i < 3; ++i) {
            auto& host = *fleet.hosts[i];
            probers.push_back(std::make_unique<prober>(
                prober_options{&published_config, &host.view, &host.node->channel(), "z",
                               [&, i](const std::string& name, const std::string& target, std::uint32_t busy,
                                      std::uint32_t connections, bool is_reachable) {
                                   const auto lock = std::lock_guard(mutex);
                                   received[i][absl::StrCat(name, "/", target)] = {busy, connections,
                                                                                   is_reachable ? 1U : 0U};
                               }}));
        }
        CPPUNIT_ASSERT(fleet.start());
        CPPUNIT_ASSERT(await([&] { return fleet.agree({0, 1, 2}); }));
        for (auto& each : probers) {
            each->start();
        }
        const auto has_results = [&](std::size_t i) {
            const auto lock = std::lock_guard(mutex);
            return received[i]["desk/good"] == std::vector<std::uint32_t>{3, 12, 1} &&
                   received[i]["desk/silent"] == std::vector<std::uint32_t>{0, 0, 0};
        };
        const auto chooser_of = [&](std::size_t i) {
            const auto view = fleet.hosts[i]->view.load();
            return static_cast<std::size_t>(host_of_rank(*view, stable_hash("desk"), 0)->name[1] - '0');
        };
        const auto first = chooser_of(0);
        CPPUNIT_ASSERT(await([&] { return has_results(first); }));
        for (auto i = std::size_t{0}; i < 3; ++i) {
            const auto lock = std::lock_guard(mutex);
            CPPUNIT_ASSERT_EQUAL(i != first, received[i].empty());
        }
        probers[first]->stop();
        fleet.hosts[first]->node->stop();
        const auto other = (first + 1) % 3;
        CPPUNIT_ASSERT(await([&] { return chooser_of(other) != first && has_results(chooser_of(other)); }));
        for (auto& each : probers) {
            each->stop();
        }
        for (auto& host : fleet.hosts) {
            host->node->stop();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_health_test);

}  // namespace

}  // namespace agatepost
