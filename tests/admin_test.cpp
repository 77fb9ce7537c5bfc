// Guards the admin port: answers to clients without the key, replays, and clients that occupy or flood it.

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <set>
#include <thread>

#include "core/clock_type.h"
#include "core/counter_func.h"
#include "core/history_func.h"
#include "host/admin_auth_func.h"
#include "host/admin_base.h"
#include "host/admin_client_func.h"
#include "host/admin_pages_func.h"
#include "net/socket_func.h"

namespace agatepost {

namespace {

auto key_of(char digit) -> auth_key {
    return *parse_auth_key(std::string(64, digit));
}

auto loopback() -> endpoint {
    return *parse_endpoint("127.0.0.1:0");
}

// A started server with the path /echo, which answers with the parameter "text".
struct running_server {
    explicit running_server(const admin_options& options) : server(options) {
        server.add("/echo", [](const admin_query& query) {
            const auto at = query.find("text");
            return admin_answer{200, "text/plain", at == query.end() ? "" : at->second};
        });
        CPPUNIT_ASSERT(server.start().has_value());
    }

    auto ask(const std::string& target, const auth_keys& keys) -> result<std::string> {
        return fetch_admin_page(server.local_address(), target, keys);
    }

    admin_server server;
};

auto options_with(const auth_keys& keys) -> admin_options {
    auto options = admin_options{};
    options.address = loopback();
    options.keys = keys;
    return options;
}

// Connects, sends the text and returns all that the server sends until it closes the connection.
auto send_raw(const endpoint& server, const std::string& text) -> std::string {
    const auto socket = file_descriptor(::socket(AF_INET, SOCK_STREAM, 0));
    auto address = sockaddr_storage{};
    const auto size = to_socket_address(server, address);
    CPPUNIT_ASSERT_EQUAL(0, ::connect(socket.value(), reinterpret_cast<sockaddr*>(&address), size));
    (void)::send(socket.value(), text.data(), text.size(), MSG_NOSIGNAL);
    auto received = std::string();
    char buffer[4096];
    for (;;) {
        const auto got = ::recv(socket.value(), buffer, sizeof(buffer), 0);
        if (got <= 0) {
            return received;
        }
        received.append(buffer, static_cast<std::size_t>(got));
    }
}

class admin_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(admin_test);
    CPPUNIT_TEST(request_without_key_is_refused);
    CPPUNIT_TEST(request_with_wrong_key_is_refused);
    CPPUNIT_TEST(previous_key_is_accepted_during_rotation);
    CPPUNIT_TEST(request_with_old_time_is_refused);
    CPPUNIT_TEST(replayed_request_is_refused);
    CPPUNIT_TEST(changed_target_is_refused);
    CPPUNIT_TEST(host_without_key_answers_on_loopback_only);
    CPPUNIT_TEST(slow_client_is_cut_off);
    CPPUNIT_TEST(oversize_and_malformed_requests_are_cut_off);
    CPPUNIT_TEST(connections_above_the_limit_are_closed);
    CPPUNIT_TEST(parallel_requests_get_their_own_answers);
    CPPUNIT_TEST(standard_pages_answer);
    CPPUNIT_TEST_SUITE_END();

public:
    auto request_without_key_is_refused() -> void {
        auto running = running_server(options_with({key_of('a'), {}}));
        const auto before = counter_value(counter::admin_refused_mac);
        const auto answer = running.ask("/echo?text=secret", {});
        CPPUNIT_ASSERT(!answer.has_value());
        CPPUNIT_ASSERT(answer.error().kind == error_kind::unauthorized);
        // The existence of a path is not disclosed either.
        CPPUNIT_ASSERT(running.ask("/none", {}).error().kind == error_kind::unauthorized);
        CPPUNIT_ASSERT_EQUAL(before + 2, counter_value(counter::admin_refused_mac));
    }

    auto request_with_wrong_key_is_refused() -> void {
        auto running = running_server(options_with({key_of('a'), key_of('b')}));
        const auto answer = running.ask("/echo?text=secret", {key_of('c'), {}});
        CPPUNIT_ASSERT(!answer.has_value());
        CPPUNIT_ASSERT(answer.error().kind == error_kind::unauthorized);
        CPPUNIT_ASSERT(answer.error().message.find("secret") == std::string::npos);
    }

    auto previous_key_is_accepted_during_rotation() -> void {
        auto running = running_server(options_with({key_of('a'), key_of('b')}));
        CPPUNIT_ASSERT_EQUAL(std::string("x y"), running.ask("/echo?text=x%20y", {key_of('a'), {}}).value());
        CPPUNIT_ASSERT_EQUAL(std::string("x"), running.ask("/echo?text=x", {key_of('b'), {}}).value());
    }

    auto request_with_old_time_is_refused() -> void {
        auto authenticator = admin_authenticator({key_of('a'), {}});
        const auto at = std::int64_t{1700000000000};
        const auto check = [&](std::int64_t request_time) {
            const auto signed_request =
                sign_admin_request(key_of('a'), "GET", "/status", request_time, random_hex(16));
            const auto checked = authenticator.check("GET", "/status", signed_request, at);
            return checked.has_value() ? counter::end : checked.error();
        };
        CPPUNIT_ASSERT(check(at - admin_time_window_ms - 1) == counter::admin_refused_time);
        CPPUNIT_ASSERT(check(at + admin_time_window_ms + 1) == counter::admin_refused_time);
        CPPUNIT_ASSERT(check(at - admin_time_window_ms) == counter::end);
        CPPUNIT_ASSERT(check(at + admin_time_window_ms) == counter::end);
    }

    auto replayed_request_is_refused() -> void {
        auto authenticator = admin_authenticator({key_of('a'), {}});
        const auto at = std::int64_t{1700000000000};
        const auto request = sign_admin_request(key_of('a'), "GET", "/status", at, random_hex(16));
        CPPUNIT_ASSERT(authenticator.check("GET", "/status", request, at).has_value());
        // A replay is refused until the time of the request is no longer accepted.
        for (const auto later : {std::int64_t{0}, admin_time_window_ms}) {
            const auto again = authenticator.check("GET", "/status", request, at + later);
            CPPUNIT_ASSERT(!again.has_value());
            CPPUNIT_ASSERT(again.error() == counter::admin_refused_replay);
        }
    }

    auto changed_target_is_refused() -> void {
        auto authenticator = admin_authenticator({key_of('a'), {}});
        const auto request = sign_admin_request(key_of('a'), "GET", "/status", 5, random_hex(16));
        CPPUNIT_ASSERT(!authenticator.check("GET", "/history", request, 5).has_value());
        CPPUNIT_ASSERT(!authenticator.check("POST", "/status", request, 5).has_value());
        CPPUNIT_ASSERT(authenticator.check("GET", "/status", request, 5).has_value());
    }

    auto host_without_key_answers_on_loopback_only() -> void {
        auto running = running_server(options_with({}));
        CPPUNIT_ASSERT_EQUAL(std::string("x"), running.ask("/echo?text=x", {}).value());
        auto options = options_with({});
        options.address = *parse_endpoint("0.0.0.0:0");
        auto open = admin_server(options);
        CPPUNIT_ASSERT(open.start().has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, open.local_address().port);
    }

    auto slow_client_is_cut_off() -> void {
        auto options = options_with({});
        options.time_limit_ms = 100;
        auto running = running_server(options);
        const auto before = counter_value(counter::admin_cut_slow);
        CPPUNIT_ASSERT_EQUAL(std::string(), send_raw(running.server.local_address(), "GET /echo HTT"));
        CPPUNIT_ASSERT_EQUAL(before + 1, counter_value(counter::admin_cut_slow));
    }

    auto oversize_and_malformed_requests_are_cut_off() -> void {
        auto running = running_server(options_with({}));
        const auto address = running.server.local_address();
        const auto oversize = counter_value(counter::admin_cut_oversize);
        const auto malformed = counter_value(counter::admin_cut_malformed);
        (void)send_raw(address, "GET /echo HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(oversize + 1, counter_value(counter::admin_cut_oversize));
        (void)send_raw(address, "no http at all\r\n\r\n");
        (void)send_raw(address, "GET /echo HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
        CPPUNIT_ASSERT_EQUAL(malformed + 2, counter_value(counter::admin_cut_malformed));
        CPPUNIT_ASSERT(running.ask("/echo?text=x", {}).has_value());
    }

    auto connections_above_the_limit_are_closed() -> void {
        auto options = options_with({});
        options.connection_limit = 1;
        auto running = running_server(options);
        const auto before = counter_value(counter::admin_cut_busy);
        auto entered = std::atomic<bool>(false);
        auto may_leave = std::atomic<bool>(false);
        running.server.add("/wait", [&](const admin_query&) {
            entered = true;
            while (!may_leave) {
                std::this_thread::yield();
            }
            return admin_answer{};
        });
        auto first = std::thread([&] { (void)running.ask("/wait", {}); });
        while (!entered) {
            std::this_thread::yield();
        }
        const auto second = running.ask("/echo?text=x", {});
        may_leave = true;
        first.join();
        CPPUNIT_ASSERT(!second.has_value());
        CPPUNIT_ASSERT_EQUAL(before + 1, counter_value(counter::admin_cut_busy));
    }

    auto parallel_requests_get_their_own_answers() -> void {
        auto running = running_server(options_with({key_of('a'), {}}));
        auto wrong = std::atomic<int>(0);
        auto threads = std::vector<std::thread>{};
        for (auto i = 0; i < 8; ++i) {
            threads.emplace_back([&, i] {
                for (auto n = 0; n < 25; ++n) {
                    const auto text = std::to_string(i) + "-" + std::to_string(n);
                    const auto answer = running.ask("/echo?text=" + text, {key_of('a'), {}});
                    wrong += answer.has_value() && *answer == text ? 0 : 1;
                }
            });
        }
        for (auto& thread : threads) {
            thread.join();
        }
        CPPUNIT_ASSERT_EQUAL(0, wrong.load());
    }

    auto standard_pages_answer() -> void {
        auto options = read_settings({"--admin-address=127.0.0.1:0", "--name=h7"});
        CPPUNIT_ASSERT(options.has_value());
        auto host = host_state(*options);
        auto made = make_admin_server(host);
        CPPUNIT_ASSERT(made.has_value());
        auto& server = **made;
        server.add_section("/status", "broken", [](const admin_query&) -> nlohmann::json {
            throw std::runtime_error("section failed");
        });
        CPPUNIT_ASSERT(server.start().has_value());
        const auto ask = [&](const std::string& target) {
            return fetch_admin_page(server.local_address(), target, {});
        };
        const auto status = nlohmann::json::parse(ask("/status").value());
        CPPUNIT_ASSERT_EQUAL(std::string("h7"), status["host"]["name"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("section failed"), status["broken"]["error"].get<std::string>());
        CPPUNIT_ASSERT(ask("/metrics")->find("agatepost_configuration_revision 0.0\n") != std::string::npos);
        record_history(history_kind::health, {{"target", "t1"}});
        const auto history = nlohmann::json::parse(ask("/history?kind=health").value());
        CPPUNIT_ASSERT_EQUAL(std::string("t1"),
                             history["history"].back()["fields"]["target"].get<std::string>());
        CPPUNIT_ASSERT(!ask("/history?kind=wrong").has_value());
        const auto explained = nlohmann::json::parse(ask("/explain?flow=10.0.0.1:5-10.9.0.1:80").value());
        CPPUNIT_ASSERT(explained["configuration"].contains("error"));
        CPPUNIT_ASSERT(!ask("/none").has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admin_test);

}  // namespace

}  // namespace agatepost
