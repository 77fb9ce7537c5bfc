// Guards against changes that config_keeper reverts or skips when listings, events and deltas arrive late,
// twice, out of order or from peers, and against snapshots that differ from one built from the whole
// configuration.

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <atomic>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "config/config_func.h"
#include "config/config_keeper_base.h"
#include "config/snapshot_func.h"
#include "store_fixture.h"

namespace agatepost {

namespace {

using nlohmann::json;

// Reference model: replays all changes from the start for each query.
struct naive_store {
    std::vector<store_event> events;

    auto at(std::uint64_t revision) const -> store_listing {
        auto listing = store_listing{revision, {}};
        for (const auto& event : events) {
            if (event.revision > revision) {
                break;
            }
            listing.values.erase(event.key);
            if (event.value) {
                listing.values[event.key] = {*event.value, event.revision};
            }
        }
        return listing;
    }

    auto between(std::uint64_t from, std::uint64_t to) const -> std::vector<store_event> {
        auto found = std::vector<store_event>{};
        for (const auto& event : events) {
            if (event.revision > from && event.revision <= to) {
                found.push_back(event);
            }
        }
        return found;
    }
};

auto configuration_at(const naive_store& store, std::uint64_t revision) -> configuration {
    auto config = configuration{revision, {}};
    for (const auto& [key, stored] : store.at(revision).values) {
        const auto name = key.substr(config_prefix.size());
        auto parsed = *parse_object(name.substr(0, name.find('/')), json::parse(stored.value));
        parsed.revision = stored.revision;
        config.entries[name] = parsed;
    }
    return config;
}

// Returns what the data path can observe of a snapshot, independent of positions.
auto observable(const snapshot& snap) -> std::set<std::string> {
    auto seen = std::set<std::string>{std::to_string(snap.revision) + " " +
                                      std::to_string(snap.service_by_address.size()) + " " +
                                      std::to_string(snap.service_by_target.size())};
    const auto* no_service = "none";
    for (const auto& s : snap.services) {
        const auto* by_address = snap.find_service(s.object.address, s.object.protocol);
        seen.insert("service " + to_json({0, s.object}).dump() + to_json({0, s.rules}).dump() +
                    snap.pools[s.pool].name + (by_address == nullptr ? no_service : by_address->object.name));
        for (const auto& t : snap.pools[s.pool].targets) {
            const auto* reverse =
                snap.service_by_target.find({endpoint{t.address, s.object.target_port}, s.object.protocol});
            const auto& owner = snap.services[reverse->second.service];
            seen.insert("reverse " + s.object.name + " " + t.name + " " + owner.object.name + " " +
                        snap.pools[owner.pool].targets[reverse->second.target].name);
        }
    }
    for (const auto& pool : snap.pools) {
        for (const auto& t : pool.targets) {
            seen.insert("target " + to_json({0, t}).dump() + pool.target_of_index(t.index)->name);
        }
    }
    return seen;
}

auto draw(int end) -> int {
    return *rc::gen::inRange(0, end);
}

// Draws from few names and addresses, so that objects are created, removed and conflict in address and index.
auto draw_event(std::uint64_t revision) -> store_event {
    const auto number = std::to_string(draw(4));
    const auto kind = std::vector<std::string>{"profile", "service", "target"}[draw(3)];
    const auto key = std::string(config_prefix) + kind + "/" + number;
    if (draw(4) == 0) {
        return {key, {}, revision};
    }
    auto document = json{{"name", number}};
    if (kind == "profile") {
        document["priority"] = draw(8);
    } else if (kind == "service") {
        document.update({{"address", "10.0.0." + std::to_string(draw(6))},
                         {"port", 80},
                         {"pool", "pool" + std::to_string(draw(3))},
                         {"target_port", 8000 + draw(2)},
                         {"profile", std::to_string(draw(3))}});
    } else {
        document.update({{"address", "10.1.0." + std::to_string(draw(6))},
                         {"zone", "z"},
                         {"pool", "pool" + std::to_string(draw(3))},
                         {"index", 1 + draw(5)},
                         {"state", draw(5) == 0 ? "gone" : "ready"}});
    }
    return {key, document.dump(), revision};
}

auto draw_store(int length) -> naive_store {
    auto store = naive_store{};
    auto revision = std::uint64_t{1};
    for (auto i = 0; i < length; ++i) {
        revision += i == 0 ? 1U : static_cast<unsigned>(draw(3));  // several changes may share a revision
        auto event = draw_event(revision);
        const auto is_same = [&](const auto& other) {
            return other.revision == event.revision && other.key == event.key;
        };
        if (std::none_of(store.events.begin(), store.events.end(), is_same)) {
            store.events.push_back(std::move(event));
        }
    }
    return store;
}

class config_keeper_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(config_keeper_test);
    CPPUNIT_TEST(any_order_of_updates_converges_and_never_reverts);
    CPPUNIT_TEST(unreadable_object_keeps_the_last_valid_one);
    CPPUNIT_TEST(malformed_delta_is_refused);
    CPPUNIT_TEST(followers_converge_through_store_faults);
    CPPUNIT_TEST_SUITE_END();

public:
    auto any_order_of_updates_converges_and_never_reverts() -> void {
        CPPUNIT_ASSERT(rc::check("keepers agree with a replay of the store", [] {
            const auto store = draw_store(40);
            const auto last = store.events.back().revision;
            auto keepers = std::vector<std::unique_ptr<config_keeper>>{};
            for (auto i = 0; i < 3; ++i) {
                keepers.push_back(std::make_unique<config_keeper>(static_cast<std::size_t>(6)));
            }
            auto sent = std::vector<std::vector<std::uint8_t>>{to_cbor(config_delta{})};
            const auto draw_revision = [&] {
                return static_cast<std::uint64_t>(draw(static_cast<int>(last) + 1));
            };
            for (auto step = 0; step < 60; ++step) {
                auto& keeper = *keepers[draw(3)];
                const auto before = keeper.revision();
                switch (draw(4)) {
                    case 0:
                        keeper.apply_listing(store.at(draw_revision()));
                        break;
                    case 1: {
                        const auto from = draw_revision();
                        keeper.apply_events(from, store.between(from, from + 1 + draw(8)));
                        break;
                    }
                    case 2:
                        sent.push_back(
                            to_cbor(keepers[draw(3)]->delta_since(draw(2) == 0 ? before : draw_revision())));
                        break;
                    default:
                        break;
                }
                // Old deltas are repeated at random.
                keeper.apply_delta(*parse_delta_cbor(
                    sent[draw(2) == 0 ? sent.size() - 1 : draw(static_cast<int>(sent.size()))]));
                RC_ASSERT(keeper.revision() >= before);
                const auto expected = configuration_at(store, keeper.revision());
                RC_ASSERT(keeper.all().entries == expected.entries);
                RC_ASSERT(observable(*keeper.current()) == observable(*build_snapshot(expected)));
            }
            keepers[0]->apply_listing(store.at(last));
            for (auto& keeper : keepers) {
                keeper->apply_delta(keepers[0]->delta_since(keeper->revision()));
                RC_ASSERT(keeper->all() == configuration_at(store, last));
            }
        }));
    }

    auto unreadable_object_keeps_the_last_valid_one() -> void {
        auto keeper = config_keeper{};
        const auto key = std::string(config_prefix) + "profile/p";
        keeper.apply_listing({5, {{key, {R"({"name": "p", "priority": 2})", 5}}}});
        for (const auto* text : {"null", "{", R"({"name": "q"})", R"({"name": "p", "priority": 99})"}) {
            CPPUNIT_ASSERT(keeper.apply_events(5, {{key, text, keeper.revision() + 1}}));
            CPPUNIT_ASSERT_EQUAL(2, std::get<profile>(keeper.find("profile/p")->object).priority);
            keeper.apply_listing({keeper.revision() + 1, {{key, {text, keeper.revision()}}}});
            CPPUNIT_ASSERT_EQUAL(2, std::get<profile>(keeper.find("profile/p")->object).priority);
        }
    }

    auto malformed_delta_is_refused() -> void {
        const auto valid =
            to_cbor(config_delta{1, 3, false, {{"profile/p", {2, profile{}}, true}}, {{1, 3}}});
        CPPUNIT_ASSERT(parse_delta_cbor(valid).has_value());
        for (auto cut = std::size_t{0}; cut < valid.size(); ++cut) {
            const auto part =
                std::vector<std::uint8_t>(valid.begin(), valid.begin() + static_cast<std::ptrdiff_t>(cut));
            CPPUNIT_ASSERT(!parse_delta_cbor(part).has_value());
        }
        CPPUNIT_ASSERT(!parse_delta(json{{"from", 0},
                                         {"revision", 1},
                                         {"full", true},
                                         {"gaps", json::array()},
                                         {"entries", {{"k", 9, nullptr}}}})
                            .has_value());
    }

    // Objects change during a stale listing, watches without events, an outage and a compaction.
    auto followers_converge_through_store_faults() -> void {
        auto store = running_store{};
        const auto client = store.client({"--store-watch-renewal=200"});
        auto keeper = config_keeper{};
        auto is_done = std::atomic<bool>{false};
        auto history = std::vector<std::uint64_t>{};
        keeper.on_change([&](const snapshot_ptr& snap) { history.push_back(snap->revision); });
        const auto write = [&](int number, int priority) {
            const auto name = std::to_string(number);
            const auto text = json{{"name", name}, {"priority", priority}}.dump();
            return *client.transact({}, {{std::string(config_prefix) + "profile/" + name, text, 0}});
        };
        const auto old = write(0, 1);
        write(0, 2);
        store.set([&](auto& faults) { faults.stale_revision = old; });
        auto follower = std::thread([&] { follow_store(client, keeper, [&] { return is_done.load(); }); });
        auto last = write(1, 3);
        CPPUNIT_ASSERT(eventually([&] { return keeper.revision() == last; }));
        store.set([](auto& faults) { faults.are_watches_silent = true; });
        last = write(1, 4);
        CPPUNIT_ASSERT(eventually([&] { return keeper.revision() == last; }));
        store.set([](auto& faults) { faults.is_down = true; });
        CPPUNIT_ASSERT(client.read("/x").error().kind == error_kind::store_unavailable);
        store.set([](auto& faults) {
            faults.is_down = false;
            faults.stale_revision = 0;
        });
        last = write(2, 5);
        store.standin.compact(last);
        CPPUNIT_ASSERT(eventually([&] { return keeper.revision() == last; }));
        is_done = true;
        follower.join();
        CPPUNIT_ASSERT_EQUAL(4, std::get<profile>(keeper.find("profile/1")->object).priority);
        CPPUNIT_ASSERT(std::is_sorted(history.begin(), history.end()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_keeper_test);

}  // namespace

}  // namespace agatepost
