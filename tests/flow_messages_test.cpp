// Tests of the flow messages between hosts against: counts lost when a chooser fails or stops, exceptions
// that do not reach the host that needs them, live flows reset as silent. Also tests counts under concurrent
// use.

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "flow_test_func.h"
#include "host/forward_messages_func.h"

namespace agatepost {

namespace {

// Hosts whose channels call each other's handlers synchronously. Bodies are encoded as CBOR, as on the wire.
struct message_zone {
    explicit message_zone(int total, const snapshot_ptr& config) {
        for (auto i = 0; i < total; ++i) {
            const auto name = "h" + std::to_string(i);
            auto options = read_settings({"--name", name, "--zone", "z"});
            hosts.push_back(std::make_unique<host_state>(std::move(*options)));
            hosts.back()->placement = plugin_registry<placement_plugin>::instance().find("carried");
            hosts.back()->config.store(config);
        }
        handlers.resize(hosts.size());
        for (auto i = std::size_t{0}; i < hosts.size(); ++i) {
            const auto send = [this, i](const host_record& to, std::string_view type,
                                        const nlohmann::json& body) {
                const auto encoded = nlohmann::json::to_cbor(body);
                largest = std::max(largest.load(), encoded.size());
                const auto receiver = static_cast<std::size_t>(to.name[1] - '0');
                if (alive[receiver]) {
                    handlers[receiver].at(std::string(type))("h" + std::to_string(i),
                                                             nlohmann::json::from_cbor(encoded));
                }
            };
            auto channel = peer_channel{};
            channel.subscribe = [this, i](std::string_view type, peer_handler handler) {
                handlers[i][std::string(type)] = std::move(handler);
            };
            channel.send = send;
            channel.send_reliable = send;
            channels.push_back(channel);
        }
        for (auto i = std::size_t{0}; i < hosts.size(); ++i) {
            register_flow_messages(*hosts[i], channels[i]);
        }
        publish_views();
    }

    ~message_zone() { stop(); }
    message_zone(const message_zone&) = delete;
    auto operator=(const message_zone&) -> message_zone& = delete;

    auto publish_views() -> void {
        ++version;
        for (auto i = std::size_t{0}; i < hosts.size(); ++i) {
            auto view = std::make_shared<host_view>();
            view->version = version;
            view->self = "h" + std::to_string(i);
            for (auto j = std::size_t{0}; j < hosts.size(); ++j) {
                if (alive[j]) {
                    const auto name = "h" + std::to_string(j);
                    const auto data = at("127.0.0." + std::to_string(j + 1) + ":6081");
                    view->hosts.push_back({name, "z", data, data, {}, 1, stable_hash(name)});
                }
            }
            hosts[i]->view.store(view);
        }
    }

    auto start() -> void {
        for (auto i = std::size_t{0}; i < hosts.size(); ++i) {
            timers.push_back(start_flow_timers(*hosts[i], channels[i]));
        }
    }

    auto stop() -> void {
        for (auto& host : hosts) {
            host->is_done = true;
        }
        for (auto& timer : timers) {
            timer.join();
        }
        timers.clear();
    }

    auto chooser() -> std::size_t {
        const auto view = hosts[0]->view.load();
        return static_cast<std::size_t>(host_of_rank(*view, stable_hash("p"), 0)->name[1] - '0');
    }

    auto owner(const flow_id& id, bool second = false) -> std::size_t {
        const auto buckets = build_buckets(*hosts[0]->view.load());
        return static_cast<std::size_t>((second ? buckets->second_ranked(id) : buckets->owner(id))->name[1] -
                                        '0');
    }

    auto counts(std::size_t host) -> pool_counts {
        const auto found = hosts[host]->flows.choosers.find("p");
        return found == nullptr ? pool_counts{} : found->counts();
    }

    std::vector<std::unique_ptr<host_state>> hosts;
    std::vector<peer_channel> channels;
    std::vector<std::map<std::string, peer_handler>> handlers;
    std::vector<std::thread> timers;
    std::array<std::atomic<bool>, 8> alive{true, true, true, true, true, true, true, true};
    std::atomic<std::size_t> largest{0};
    std::uint64_t version = 0;
};

// Waits until a condition holds, at most 20 s.
template <typename Condition>
auto await(Condition condition) -> bool {
    const auto limit = now() + 20000;
    while (!condition()) {
        if (now() > limit) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

auto open_flows(pool_chooser& chooser, int begin, int end) -> void {
    const auto syn = std::vector<std::uint8_t>(40);
    for (auto n = begin; n < end; ++n) {
        const auto opened = chooser.open(id_of_number(n), "f", 1, syn.data(), syn.size(), now());
        chooser.answer(id_of_number(n), opened.target, "f", now());
    }
}

class flow_messages_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(flow_messages_test);
    CPPUNIT_TEST(counts_survive_the_failure_of_a_chooser);
    CPPUNIT_TEST(role_taken_up_between_parts_of_the_counts_keeps_all);
    CPPUNIT_TEST(stopping_host_hands_counts_and_exceptions_over);
    CPPUNIT_TEST(exception_reaches_the_second_ranked_host);
    CPPUNIT_TEST(owner_counts_reach_the_chooser);
    CPPUNIT_TEST(silent_flow_is_reset_only_if_no_host_saw_an_answer);
    CPPUNIT_TEST(malformed_messages_are_rejected);
    CPPUNIT_TEST(concurrent_flows_are_counted_exactly);
    CPPUNIT_TEST_SUITE_END();

public:
    auto counts_survive_the_failure_of_a_chooser() -> void {
        auto zone = message_zone(3, test_pool(200).build());
        zone.start();
        const auto first = zone.chooser();
        CPPUNIT_ASSERT(await([&] { return zone.hosts[first]->flows.choosers.find("p") != nullptr; }));
        open_flows(*zone.hosts[first]->flows.choosers.find("p"), 0, 500);
        const auto before = zone.counts(first);
        const auto rank1 = host_of_rank(*zone.hosts[0]->view.load(), stable_hash("p"), 1)->name;
        const auto second = static_cast<std::size_t>(rank1[1] - '0');
        CPPUNIT_ASSERT(await([&] {
            auto& flows = zone.hosts[second]->flows;
            const auto lock = std::lock_guard(flows.received_mutex);
            return flows.received["p"].counts == before;
        }));
        zone.alive[first] = false;
        zone.publish_views();
        CPPUNIT_ASSERT_EQUAL(second, zone.chooser());
        CPPUNIT_ASSERT(await([&] { return zone.counts(second) == before; }));
        CPPUNIT_ASSERT(zone.largest <= 1100);  // a datagram holds 1200 bytes with its envelope
    }

    // Counts of a large pool arrive in several messages. The next chooser may start between two of them.
    auto role_taken_up_between_parts_of_the_counts_keeps_all() -> void {
        const auto pool = test_pool(200).build();
        auto zone = message_zone(2, pool);
        const auto first = zone.chooser();
        const auto next = 1 - first;
        open_flows(*chooser_of(zone.hosts[first]->flows, *pool, 0, now()), 0, 500);
        const auto before = zone.counts(first);
        auto& handler = zone.handlers[next]["flow-counts"];
        const auto handle = handler;
        auto parts = 0;
        handler = [&](const std::string& sender, const nlohmann::json& body) {
            handle(sender, body);
            ++parts;
            chooser_of(zone.hosts[next]->flows, *pool, 0, now());
        };
        zone.alive[first] = false;
        zone.publish_views();
        hand_over_flows(*zone.hosts[first], zone.channels[first]);
        CPPUNIT_ASSERT(parts > 1);
        CPPUNIT_ASSERT(zone.counts(next) == before);
    }

    auto stopping_host_hands_counts_and_exceptions_over() -> void {
        const auto pool = test_pool(5).build();
        auto zone = message_zone(3, pool);
        const auto first = zone.chooser();
        const auto chooser = chooser_of(zone.hosts[first]->flows, *pool, 0, now());
        open_flows(*chooser, 0, 50);
        auto rules = test_pool(1).request;
        auto moved = std::vector<int>{};
        for (auto n = 0; n < 300; ++n) {
            const auto id = id_of_number(n);
            const auto pure = pure_pick(pool->pools[0], "z", id)->index;
            if (zone.owner(id) == first) {
                zone.hosts[first]->flows.owned.insert(id, "p", rules, ip_protocol::tcp,
                                                      static_cast<std::uint8_t>(pure % 5 + 1), now());
                moved.push_back(n);
            }
        }
        const auto before = zone.counts(first);
        zone.alive[first] = false;  // announced as leaving
        zone.publish_views();
        hand_over_flows(*zone.hosts[first], zone.channels[first]);
        const auto next = chooser_of(zone.hosts[zone.chooser()]->flows, *pool, 0, now());
        CPPUNIT_ASSERT(next->counts() == before);
        CPPUNIT_ASSERT(!moved.empty());
        for (const auto n : moved) {
            const auto id = id_of_number(n);
            const auto expected = pure_pick(pool->pools[0], "z", id)->index % 5 + 1;
            CPPUNIT_ASSERT_EQUAL(expected, int{zone.hosts[zone.owner(id)]->flows.owned.peek(id)});
        }
    }

    auto exception_reaches_the_second_ranked_host() -> void {
        auto pool = test_pool(5);
        auto zone = message_zone(4, pool.build());
        zone.start();
        const auto id = id_of_number(1);
        const auto config = zone.hosts[0]->config.load();
        const auto pure = pure_pick(config->pools[0], "z", id)->index;
        zone.hosts[zone.owner(id)]->flows.owned.insert(id, "p", pool.request, ip_protocol::tcp, pure, now());
        // The target drains, so the flow's target differs from the pick of the new configuration.
        pool.targets[pure - 1U].state = target_state::draining;
        const auto next = pool.build();
        for (auto& host : zone.hosts) {
            host->config.store(next);
        }
        auto& flows = zone.hosts[zone.owner(id, true)]->flows;
        CPPUNIT_ASSERT(await([&] { return flows.owned.peek(id) == pure; }));
    }

    auto owner_counts_reach_the_chooser() -> void {
        auto zone = message_zone(3, test_pool(5).build());
        zone.start();
        const auto rules = test_pool(1).request;
        for (auto i = std::size_t{0}; i < 3; ++i) {
            zone.hosts[i]->flows.owned.insert(id_of_number(static_cast<int>(i)), "p", rules, ip_protocol::tcp,
                                              2, now());
        }
        const auto first = zone.chooser();
        CPPUNIT_ASSERT(await([&] {
            const auto status = flow_status(zone.hosts[first]->flows, now());
            return !status.empty() && status[0].targets.at(1).outside.slots_busy == 3;
        }));
    }

    auto silent_flow_is_reset_only_if_no_host_saw_an_answer() -> void {
        for (const auto is_alive : {true, false}) {
            auto zone = message_zone(3, test_pool(5).build());
            auto suspect = silent_suspect{};
            suspect.key = flow_key{at("10.0.0.3:1001"), at("10.9.0.1:80"), ip_protocol::tcp};
            suspect.id = id_of(suspect.key);
            suspect.target = at("10.1.0.1:8080");
            suspect.index = 1;
            suspect.pool = "p";
            suspect.since = now() + -10000;
            if (is_alive) {
                zone.hosts[2]->flows.notes.record_reverse(suspect.id, now() + -5000);
            }
            const auto cleared = counter_value(counter::silent_cleared);
            const auto reset = counter_value(counter::silent_reset);
            zone.hosts[0]->flows.suspects.add(suspect);
            zone.start();
            CPPUNIT_ASSERT(await([&] {
                return counter_value(is_alive ? counter::silent_cleared : counter::silent_reset) >
                       (is_alive ? cleared : reset);
            }));
            CPPUNIT_ASSERT_EQUAL(reset + (is_alive ? 0 : 1), counter_value(counter::silent_reset));
        }
    }

    auto malformed_messages_are_rejected() -> void {
        auto zone = message_zone(2, test_pool(2).build());
        const auto bad = std::vector<nlohmann::json>{
            nlohmann::json::object(),
            nlohmann::json::array({1}),
            {{"p", "p"}, {"b", 0}, {"u", 0}, {"c", {0, 1, 1}}},
            {{"p", "p"}, {"b", 0}, {"u", 0}, {"c", {1, -1, 1}}},
            {{"p", "p"}, {"c", {1, 1}}},
            {{"p", "p"}, {"e", nlohmann::json::binary({1, 2, 3})}, {"q", nlohmann::json::binary({1})}},
        };
        for (const auto& [type, handler] : zone.handlers[0]) {
            for (const auto& body : bad) {
                const auto before = counter_value(counter::flow_messages_rejected);
                handler("h1", body);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(type + body.dump(), before + 1,
                                             counter_value(counter::flow_messages_rejected));
            }
        }
        const auto before = counter_value(counter::flow_messages_rejected);
        zone.handlers[0].at("flow-counts")("h1", {{"p", "p"}, {"b", 256}, {"u", 0}, {"c", {1, 1, 1}}});
        zone.handlers[0].at("flow-counts")("h1", {{"p", "other"}, {"b", 0}, {"u", 0}, {"c", {1, 1, 1}}});
        CPPUNIT_ASSERT_EQUAL(before + 2, counter_value(counter::flow_messages_rejected));
    }

    // Each thread works on its own flows and records what it did; the counts must agree with the records.
    auto concurrent_flows_are_counted_exactly() -> void {
        constexpr auto threads = 4;
        constexpr auto steps = 5000;
        const auto seed = test_seed();
        const auto text = "seed " + std::to_string(seed);
        auto chooser = pool_chooser("p", "z", 1);
        chooser.configure(*test_pool(8, 100000).build(), 0, {1000});
        auto records = std::vector<std::map<int, std::uint8_t>>(threads);
        auto running = std::vector<std::thread>{};
        auto finished = std::atomic<int>{0};
        for (auto t = 0; t < threads; ++t) {
            running.emplace_back([&, t] {
                auto random = std::mt19937(seed + static_cast<unsigned>(t));
                const auto syn = std::vector<std::uint8_t>(40);
                for (auto i = 0; i < steps; ++i) {
                    const auto n = t * 1000 + static_cast<int>(random() % 200);
                    auto& open = records[static_cast<std::size_t>(t)];
                    if (open.count(n) == 0) {
                        open[n] =
                            chooser.open(id_of_number(n), "r", 1, syn.data(), syn.size(), {1000}).target;
                    } else {
                        chooser.close(id_of_number(n), flow_end::client, true, open[n], true, "r", {1000});
                        open.erase(n);
                    }
                }
                ++finished;
            });
        }
        while (finished < threads) {
            chooser.expire({1000});
            chooser.status({1000});
        }
        for (auto& thread : running) {
            thread.join();
        }
        auto expected = pool_counts{};
        for (const auto& open : records) {
            for (const auto& [n, index] : open) {
                ++expected[index].slots_busy;
            }
        }
        CPPUNIT_ASSERT_MESSAGE(text, chooser.own_counts() == expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(flow_messages_test);

}  // namespace

}  // namespace agatepost
