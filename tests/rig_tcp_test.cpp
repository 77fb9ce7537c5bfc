// Guards the rig's TCP against bytes lost, duplicated or out of order after packet loss and reordering, and
// against PAWS drops on idle connections. Its faults would look like faults of the product.

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <random>

#include "net/packet_func.h"
#include "tcp_base.h"

namespace agatepost::rig {

namespace {

constexpr std::int64_t day_ms = 86400000;
constexpr std::int64_t delay_ms = 5;

auto at(const char* text) -> endpoint {
    return *parse_endpoint(text);
}

// Returns the seed given with --seed, as for rapidcheck properties, or a random one.
auto test_seed() -> std::uint64_t {
    const auto* given = std::getenv("RC_PARAMS");
    const auto seed = given != nullptr ? std::strtoull(given + 5, nullptr, 10) : std::random_device{}();
    std::cout << " seed " << seed;
    return seed;
}

// A client and a target on a path with loss and reordering, in simulated time.
struct tcp_pair {
    explicit tcp_pair(std::uint64_t seed, double lost, double reordered)
        : random(seed), loss(lost), reorder(reordered) {
        auto out = tcp_output{};
        client = tcp_connect(at("10.0.0.1:1234"), at("192.0.2.1:80"), true, 0xfffffff0U, time_ms, out);
        send(out, true);
    }

    auto happens(double share) -> bool {
        return std::uniform_real_distribution<double>(0, 1)(random) < share;
    }

    auto send(tcp_output& out, bool to_target) -> void {
        for (auto& packet : out.packets) {
            if (!happens(loss)) {
                const auto late = happens(reorder) ? 4 * delay_ms : 0;
                path.emplace(time_ms + delay_ms + late, std::pair(to_target, std::move(packet)));
            }
        }
        (to_target ? client_received : target_received) += out.received;
        is_broken = is_broken || out.was_reset || out.timed_out || out.refused;
    }

    auto deliver(bool to_target, const packet_bytes& packet) -> void {
        const auto headers = parse_packet(packet.data(), packet.size());
        CPPUNIT_ASSERT(headers.has_value());
        auto out = tcp_output{};
        if (to_target && target.local.port == 0) {
            target = tcp_accept(*headers, packet.data(), 77, time_ms, out);
        } else {
            tcp_receive(to_target ? target : client, *headers, packet.data(), time_ms, out);
        }
        send(out, !to_target);
    }

    // Runs until the path is empty and no timer is set, or for `limit` steps.
    auto run(int limit = 200000) -> void {
        for (; limit > 0; --limit) {
            const auto next = path.empty() ? no_deadline : path.begin()->first;
            const auto due = std::min({next, client.deadline_ms, target.deadline_ms});
            if (due == no_deadline) {
                return;
            }
            time_ms = std::max(time_ms, due);
            if (!path.empty() && path.begin()->first <= time_ms) {
                const auto [to_target, packet] = path.begin()->second;
                path.erase(path.begin());
                deliver(to_target, packet);
                continue;
            }
            for (auto* end : {&client, &target}) {
                auto out = tcp_output{};
                tcp_tick(*end, time_ms, out);
                send(out, end == &client);
            }
        }
        CPPUNIT_FAIL("the connection did not finish within the step limit");
    }

    auto write(tcp_connection& end, const std::string& bytes) -> void {
        auto out = tcp_output{};
        tcp_send(end, bytes, time_ms, out);
        send(out, &end == &client);
    }

    auto close(tcp_connection& end) -> void {
        auto out = tcp_output{};
        tcp_close(end, time_ms, out);
        send(out, &end == &client);
    }

    std::mt19937_64 random;
    double loss;
    double reorder;
    std::int64_t time_ms = 1000;
    std::multimap<std::int64_t, std::pair<bool, packet_bytes>> path;
    tcp_connection client;
    tcp_connection target;
    std::string client_received;
    std::string target_received;
    bool is_broken = false;
};

auto random_bytes(std::mt19937_64& random, std::size_t size) -> std::string {
    auto bytes = std::string(size, '\0');
    for (auto& byte : bytes) {
        byte = static_cast<char>(random());
    }
    return bytes;
}

class rig_tcp_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(rig_tcp_test);
    CPPUNIT_TEST(bytes_arrive_whole_under_loss_and_reordering);
    CPPUNIT_TEST(idle_longer_than_timestamp_wrap);
    CPPUNIT_TEST(old_timestamp_is_dropped);
    CPPUNIT_TEST(only_the_exact_reset_ends_a_connection);
    CPPUNIT_TEST_SUITE_END();

public:
    auto bytes_arrive_whole_under_loss_and_reordering() -> void {
        auto pair = tcp_pair(test_seed(), 0.05, 0.2);
        pair.run();
        const auto question = random_bytes(pair.random, 30000);
        const auto answer = random_bytes(pair.random, 200000);
        pair.write(pair.client, question);
        pair.run();
        pair.write(pair.target, answer);
        pair.close(pair.target);
        pair.run();
        pair.close(pair.client);
        pair.run();
        CPPUNIT_ASSERT(!pair.is_broken);
        CPPUNIT_ASSERT(question == pair.target_received);
        CPPUNIT_ASSERT(answer == pair.client_received);
        CPPUNIT_ASSERT(pair.client.has_peer_fin && pair.client.fin_acked);
        CPPUNIT_ASSERT(pair.target.has_peer_fin && pair.target.fin_acked);
    }

    auto idle_longer_than_timestamp_wrap() -> void {
        auto pair = tcp_pair(1, 0, 0);
        pair.run();
        // After 30 days the millisecond clock appears to have gone back.
        pair.time_ms += 30 * day_ms;
        pair.write(pair.target, "push");
        pair.run();
        CPPUNIT_ASSERT_EQUAL(std::string("push"), pair.client_received);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, pair.client.paws_drops);
    }

    auto old_timestamp_is_dropped() -> void {
        auto pair = tcp_pair(1, 0, 0);
        pair.run();
        pair.time_ms += 5000;
        pair.write(pair.target, "first");
        pair.run();
        pair.target.timestamp_offset -= 2000;  // as if the segment were older
        auto out = tcp_output{};
        tcp_send(pair.target, "second", pair.time_ms, out);
        pair.deliver(false, out.packets.at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("first"), pair.client_received);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, pair.client.paws_drops);
    }

    auto only_the_exact_reset_ends_a_connection() -> void {
        auto pair = tcp_pair(1, 0, 0);
        pair.run();
        const auto reset = [&](std::uint32_t sequence) {
            return build_reset(at("192.0.2.1:80"), at("10.0.0.1:1234"), sequence);
        };
        pair.deliver(false, reset(pair.client.receive_next + 1));
        pair.run();
        CPPUNIT_ASSERT(pair.client.state == tcp_state::established);
        pair.deliver(false, reset(pair.client.receive_next));
        CPPUNIT_ASSERT(pair.client.state == tcp_state::closed);
        CPPUNIT_ASSERT(pair.is_broken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rig_tcp_test);

}  // namespace

}  // namespace agatepost::rig
