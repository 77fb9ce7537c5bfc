// Guards membership: a dead host that stays in a view, a live host that is removed, views that stay different
// after a partition, and messages that are accepted twice or without the key.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

#include "core/history_func.h"
#include "peer_fleet.h"

namespace agatepost {

namespace {

auto contains(const host_view& view, const std::string& name) -> bool {
    return std::any_of(view.hosts.begin(), view.hosts.end(),
                       [&](const host_record& host) { return host.name == name; });
}

auto incarnation_in(const host_view& view, const std::string& name) -> std::uint64_t {
    for (const auto& host : view.hosts) {
        if (host.name == name) {
            return host.incarnation;
        }
    }
    return 0;
}

class peer_membership_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_membership_test);
    CPPUNIT_TEST(dead_host_leaves_all_views);
    CPPUNIT_TEST(false_suspicion_is_refuted);
    CPPUNIT_TEST(leaving_host_is_removed_while_it_runs);
    CPPUNIT_TEST(pause_raises_incarnation_and_no_host_is_presumed_dead);
    CPPUNIT_TEST(partition_heals);
    CPPUNIT_TEST(hosts_of_other_zones_are_only_contacts);
    CPPUNIT_TEST(hosts_join_during_key_rotation_and_others_are_rejected);
    CPPUNIT_TEST(hosts_without_keys_join);
    CPPUNIT_TEST(record_of_an_older_version_decodes);
    CPPUNIT_TEST(members_report_admin_addresses_and_states);
    CPPUNIT_TEST(datagram_is_accepted_once_in_time_by_its_receiver);
    CPPUNIT_TEST_SUITE_END();

public:
    auto dead_host_leaves_all_views() -> void {
        auto fleet = peer_fleet(5);
        CPPUNIT_ASSERT(fleet.start());
        CPPUNIT_ASSERT(await([&] { return fleet.agree({0, 1, 2, 3, 4}); }));
        fleet.hosts[2]->node->stop();
        CPPUNIT_ASSERT(await([&] { return fleet.agree({0, 1, 3, 4}); }));
        assert_versions_rise(fleet);
    }

    auto false_suspicion_is_refuted() -> void {
        auto fleet = peer_fleet(3);
        CPPUNIT_ASSERT(fleet.start());
        CPPUNIT_ASSERT(await([&] { return fleet.agree({0, 1, 2}); }));
        const auto view = fleet.hosts[0]->view.load();
        auto suspect = member_update{};
        auto sender = member_update{};
        for (const auto& host : view->hosts) {
            (host.name == "h1" ? suspect : sender).host = host.name == "h0" ? sender.host : host;
        }
        suspect.state = member_state::suspect;
        fleet.hosts[0]->node->members().on_message(
            sender.host.peer,
            {{"t", "records"}, {"f", to_json(sender)}, {"u", {to_json(suspect)}}, {"s", 0}});
        CPPUNIT_ASSERT(await([&] {
            return incarnation_in(*fleet.hosts[0]->view.load(), "h1") > suspect.host.incarnation &&
                   incarnation_in(*fleet.hosts[2]->view.load(), "h1") > suspect.host.incarnation;
        }));
        for (const auto i : {0U, 2U}) {
            auto was_seen = false;
            for (const auto& past : fleet.history_of(i)) {
                CPPUNIT_ASSERT(!was_seen || contains(past, "h1"));
                was_seen = was_seen || contains(past, "h1");
            }
        }
    }

    auto leaving_host_is_removed_while_it_runs() -> void {
        auto fleet = peer_fleet(5);
        CPPUNIT_ASSERT(fleet.start());
        CPPUNIT_ASSERT(await([&] { return fleet.agree({0, 1, 2, 3, 4}); }));
        fleet.hosts[0]->node->members().announce_leaving();
        CPPUNIT_ASSERT(await([&] {
            return fleet.agree({1, 2, 3, 4}) && fleet.names_seen_by(0).count("h0") == 0;
        }));
        // A host that is restarted under the same name has a higher incarnation and rejoins.
        fleet.hosts[0]->node->stop();
        fleet.open(0, {key_of(1), {}});
        CPPUNIT_ASSERT(fleet.hosts[0]->node->start());
        CPPUNIT_ASSERT(await([&] { return fleet.agree({0, 1, 2, 3, 4}); }));
    }

    auto pause_raises_incarnation_and_no_host_is_presumed_dead() -> void {
        auto view = published<host_view>();
        auto options = membership_options{};
        options.self.name = "h0";
        options.self.zone = "z";
        options.self.incarnation = 5;
        auto members = membership(options, view, [](const endpoint&, const nlohmann::json&) {});
        auto other = member_update{};
        other.host.name = "h1";
        other.host.zone = "z";
        other.host.peer = *parse_endpoint("127.0.0.1:1");
        const auto message = nlohmann::json{{"t", "records"}, {"f", to_json(other)}};
        members.on_message(other.host.peer, message);
        // The host suspects h1, which does not answer, and is then paused for longer than the suspicion
        // timeout.
        auto at = now();
        const auto suspected = counter_value(counter::hosts_suspected);
        while (counter_value(counter::hosts_suspected) == suspected) {
            members.run_due(at);
            at = at + 50;
        }
        at = at + 60000;
        members.run_due(at);
        CPPUNIT_ASSERT(contains(*view.load(), "h1"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, incarnation_in(*view.load(), "h0"));
        for (auto passed = 0; passed < 3000; passed += 50) {
            members.run_due(at = at + 50);
        }
        CPPUNIT_ASSERT(!contains(*view.load(), "h1"));
    }

    auto partition_heals() -> void {
        auto fleet = peer_fleet(5);
        CPPUNIT_ASSERT(fleet.start());
        CPPUNIT_ASSERT(await([&] { return fleet.agree({0, 1, 2, 3, 4}); }));
        fleet.cut({0, 0, 1, 1, 1});
        CPPUNIT_ASSERT(await([&] { return fleet.agree({0, 1}) && fleet.agree({2, 3, 4}); }));
        fleet.heal();
        CPPUNIT_ASSERT(await([&] { return fleet.agree({0, 1, 2, 3, 4}); }));
        assert_versions_rise(fleet);
    }

    auto hosts_of_other_zones_are_only_contacts() -> void {
        auto fleet = peer_fleet(4);
        fleet.open(3, {key_of(1), {}}, "y");
        CPPUNIT_ASSERT(fleet.start());
        CPPUNIT_ASSERT(await([&] {
            const auto contacts = fleet.hosts[1]->node->members().contacts();
            return fleet.agree({0, 1, 2}) && contacts.size() == 1 && contacts[0].name == "h3" &&
                   !fleet.hosts[3]->node->members().contacts().empty();
        }));
        for (const auto& past : fleet.history_of(0)) {
            CPPUNIT_ASSERT(!contains(past, "h3"));
        }
    }

    auto hosts_join_during_key_rotation_and_others_are_rejected() -> void {
        auto fleet = peer_fleet(4, {key_of(1), key_of(2)});
        fleet.open(1, {key_of(2), key_of(1)});
        fleet.open(2, {key_of(3), {}});
        fleet.open(3, {});
        const auto dropped = counter_value(counter::drop_peer_mac);
        CPPUNIT_ASSERT(fleet.start());
        CPPUNIT_ASSERT(await([&] {
            return fleet.agree({0, 1}) && counter_value(counter::drop_peer_mac) >= dropped + 8;
        }));
        for (const auto i : {0U, 1U}) {
            for (const auto& past : fleet.history_of(i)) {
                CPPUNIT_ASSERT(!contains(past, "h2") && !contains(past, "h3"));
            }
        }
    }

    auto hosts_without_keys_join() -> void {
        auto fleet = peer_fleet(3, {});
        CPPUNIT_ASSERT(fleet.start());
        CPPUNIT_ASSERT(await([&] { return fleet.agree({0, 1, 2}); }));
    }

    auto record_of_an_older_version_decodes() -> void {
        auto update = member_update{};
        update.host.name = "h";
        update.host.zone = "z";
        update.host.data = update.host.peer = *parse_endpoint("127.0.0.1:1");
        update.host.admin = parse_endpoint("127.0.0.1:2").value();
        auto document = to_json(update);
        CPPUNIT_ASSERT(parse_member_update(document) == update);
        document.erase(6);
        CPPUNIT_ASSERT(!parse_member_update(document).host.admin);
    }

    auto members_report_admin_addresses_and_states() -> void {
        auto fleet = peer_fleet(3);
        CPPUNIT_ASSERT(fleet.start());
        CPPUNIT_ASSERT(await([&] { return fleet.agree({0, 1, 2}); }));
        fleet.hosts[2]->node->members().announce_leaving();
        CPPUNIT_ASSERT(await([&] { return fleet.agree({0, 1}); }));
        auto states = std::map<std::string, member_state>{};
        for (const auto& record : fleet.hosts[0]->node->members().records()) {
            states[record.host.name] = record.state;
            CPPUNIT_ASSERT(record.host.admin == record.host.peer);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, states.size());
        CPPUNIT_ASSERT(states["h0"] == member_state::live && states["h2"] != member_state::live);
        auto events = std::set<std::string>{};
        for (const auto& entry : recent_history(history_kind::membership)) {
            events.insert(entry.fields.at(0).second);
        }
        CPPUNIT_ASSERT(events.count("joined") == 1 && events.count("leaving") == 1);
    }

    auto datagram_is_accepted_once_in_time_by_its_receiver() -> void {
        const auto keys = auth_keys{key_of(1), key_of(2)};
        const auto at = std::int64_t{1700000000000};
        auto checker = datagram_checker(keys, "here");
        const auto datagram = seal_datagram({key_of(2), {}}, "here", at, "text");
        CPPUNIT_ASSERT(*checker.open(datagram, at) == "text");
        CPPUNIT_ASSERT(checker.open(datagram, at).error() == counter::drop_peer_replay);
        // The code is stored for as long as the datagram's time is accepted.
        CPPUNIT_ASSERT(checker.open(datagram, at + datagram_window_ms).error() == counter::drop_peer_replay);
        CPPUNIT_ASSERT(checker.open(datagram, at + datagram_window_ms + 1).error() ==
                       counter::drop_peer_stale);
        CPPUNIT_ASSERT(checker.open(seal_datagram(keys, "elsewhere", at, "text"), at).error() ==
                       counter::drop_peer_mac);
        auto changed = seal_datagram(keys, "here", at, "text");
        changed[changed.size() - mac_size - 1] ^= 1;
        CPPUNIT_ASSERT(checker.open(changed, at).error() == counter::drop_peer_mac);
        CPPUNIT_ASSERT(checker.open(seal_datagram({}, "here", at, "text"), at).error() ==
                       counter::drop_peer_mac);
    }

private:
    static auto assert_versions_rise(peer_fleet& fleet) -> void {
        for (auto i = std::size_t{0}; i < fleet.hosts.size(); ++i) {
            const auto history = fleet.history_of(i);
            for (auto j = std::size_t{1}; j < history.size(); ++j) {
                CPPUNIT_ASSERT(history[j - 1].version < history[j].version);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_membership_test);

}  // namespace

}  // namespace agatepost
