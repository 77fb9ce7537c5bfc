// Changes of the store that hosts pass on to each other: a host that takes over a position has all changes up
// to it, in whatever way the sender gained them.

#include "edge/peer_changes_func.h"

#include <rapidcheck.h>

#include <map>

#include "edge/store_era_func.h"
#include "edge_test_func.h"

namespace agatepost::edge {

namespace {

// A store that keeps all its states, and hosts that read it and each other.
class change_model {
public:
    change_model() : hosts_(4), states_(1) {
        for (auto& host : hosts_) {
            host.platform = &test_platform();
        }
        for (auto key = 0U; key < 6; ++key) {
            write(key);
        }
    }

    auto write(unsigned key) -> void {
        auto next = states_.back();
        next[name(key)] = states_.size();
        record(std::move(next), target_item({name(key)}, states_.size()));
    }

    auto remove(unsigned key) -> void {
        auto next = states_.back();
        if (next.erase(name(key)) != 0) {
            record(std::move(next), removal_item(name(key), states_.size()));
        }
    }

    // Reads a page of up to two items. Other changes may come between the pages.
    auto list_page(std::size_t index) -> void {
        auto& host = hosts_[index];
        auto& listing = listings_[index];
        if (listing.after.empty()) {
            listing = {{}, newest(), {}};
        }
        auto read = 0;
        for (const auto& [id, revision] : states_.back()) {
            if (id <= listing.after) {
                continue;
            }
            if (read++ == 2) {
                return;
            }
            listing.after = id;
            listing.listed["servers/" + id] = true;
            apply_item(host, target_item({id}, revision), test_start);
        }
        finish_listing(host, listing.listed, listing.revision, test_start);
        listing = {};
    }

    auto watch(std::size_t index) -> void {
        auto& host = hosts_[index];
        if (position_of(host).revision == 0) {
            return;
        }
        for (const auto& change : changes_) {
            if (change.revision > host.revision) {
                apply_item(host, change, test_start);
            }
        }
        host.revision = newest();
    }

    auto restart(std::size_t index) -> void {
        hosts_[index] = directory{};
        hosts_[index].platform = &test_platform();
        listings_.erase(index);
        answers_.erase(index);
    }

    // The host asks another one; the answer arrives later.
    auto ask(std::size_t index, std::size_t other) -> void {
        const auto own = position_of(hosts_[index]);
        if (own < position_of(hosts_[other])) {
            answers_[index] = {own, encode_changes(hosts_[other], own)};
        }
    }

    auto take_answer(std::size_t index) -> void {
        const auto answer = answers_.find(index);
        if (answer != answers_.end()) {
            const auto [asked, bytes] = answer->second;
            answers_.erase(answer);
            apply_changes(hosts_[index], decode_changes(bytes).value(), asked, test_start);
        }
    }

    // The host finds out that its revision was invalid, lowers it and lists again.
    auto discard(std::size_t index, unsigned revision) -> void {
        discard_invalid_revisions(hosts_[index], revision % states_.size());
        listings_.erase(index);
    }

    // Checks that a host with a position knows the store's state at that position. Pages of a listing may
    // show later changes, so items that have changed since are left out.
    auto check() const -> void {
        for (const auto& host : hosts_) {
            const auto position = position_of(host).revision;
            if (position == 0) {
                continue;
            }
            const auto& expected = states_[position];
            for (auto key = 0U; key < 6; ++key) {
                const auto found = host.items.find("servers/" + name(key));
                const auto item = found == host.items.end() ? known_item{"", 0, true} : found->second;
                if (last_change_.at("servers/" + name(key)) <= position) {
                    RC_ASSERT(item.is_removed == (expected.count(name(key)) == 0));
                    RC_ASSERT((item.is_removed || item.revision == expected.at(name(key))));
                }
            }
        }
    }

    auto host_count() const -> std::size_t { return hosts_.size(); }

private:
    struct listing_in_progress {
        std::string after;
        std::uint64_t revision = 0;
        absl::flat_hash_map<std::string, bool> listed;
    };

    static auto name(unsigned key) -> std::string { return "i-" + std::to_string(key + 1); }

    auto newest() const -> std::uint64_t { return states_.size() - 1; }

    auto record(std::map<std::string, std::uint64_t>&& next, store_item&& change) -> void {
        states_.push_back(std::move(next));
        last_change_[change.key] = change.revision;
        changes_.push_back(std::move(change));
    }

    std::vector<directory> hosts_;
    std::vector<std::map<std::string, std::uint64_t>> states_;  // by revision: items with their revisions
    std::vector<store_item> changes_;
    std::map<std::string, std::uint64_t> last_change_;  // by key
    std::map<std::size_t, listing_in_progress> listings_;
    std::map<std::size_t, std::pair<store_position, std::string>> answers_;
};

}  // namespace

class edge_peer_changes_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(edge_peer_changes_test);
    CPPUNIT_TEST(removal_before_the_start_reaches_a_host_behind);
    CPPUNIT_TEST(removal_before_a_new_listing_reaches_a_host_behind);
    CPPUNIT_TEST(removal_before_a_whole_copy_reaches_a_host_behind);
    CPPUNIT_TEST(whole_copy_repeats_no_known_value);
    CPPUNIT_TEST(increments_after_a_position_that_was_invalid_are_unusable);
    CPPUNIT_TEST(whole_copy_after_a_position_that_was_invalid_is_unusable);
    CPPUNIT_TEST(host_that_may_lack_changes_passes_none_on);
    CPPUNIT_TEST(increments_make_no_directory_complete);
    CPPUNIT_TEST(older_whole_copy_is_unusable);
    CPPUNIT_TEST(host_at_a_position_has_all_changes_up_to_it);
    CPPUNIT_TEST_SUITE_END();

    // Passes the changes after the position of `to` on to it, as hosts do.
    static auto pass_on(const directory& from, directory& to) -> changes_outcome {
        const auto asked = position_of(to);
        const auto changes = decode_changes(encode_changes(from, asked)).value();
        return apply_changes(to, changes, asked, test_start).outcome;
    }

    static auto is_usable(const directory& known, const std::string& name) -> bool {
        return known.targets[known.by_name.at(name)].state != presence::gone;
    }

    // Returns a host that started after the second target was removed, at revision 4.
    static auto started_host() -> directory {
        auto host = directory{};
        host.platform = &test_platform();
        apply_item(host, routes_item({test_route{}}, 1, 1), test_start);
        apply_item(host, target_item({"i-1"}, 2), test_start);
        finish_listing(host, {{"op/config", true}, {"servers/i-1", true}}, 4, test_start);
        return host;
    }

public:
    // review/11: hosts that nothing had happened to used removed targets for good.
    auto removal_before_the_start_reaches_a_host_behind() -> void {
        auto behind = test_state({{"i-1"}, {"i-2"}});
        CPPUNIT_ASSERT(pass_on(started_host(), behind.known) == changes_outcome::applied);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, behind.known.revision);
        CPPUNIT_ASSERT(!is_usable(behind.known, "i-2"));
        CPPUNIT_ASSERT(is_usable(behind.known, "i-1"));
    }

    // The target registered and was removed while the host had no watch, and the history is discarded.
    auto removal_before_a_new_listing_reaches_a_host_behind() -> void {
        auto lister = test_state({{"i-1"}});
        auto behind = test_state({{"i-1"}, {"i-2"}});
        finish_listing(lister.known, {{"op/config", true}, {"servers/i-1", true}}, 4, test_start);
        pass_on(lister.known, behind.known);
        CPPUNIT_ASSERT(!is_usable(behind.known, "i-2"));
    }

    auto removal_before_a_whole_copy_reaches_a_host_behind() -> void {
        auto copied = directory{};
        copied.platform = &test_platform();
        CPPUNIT_ASSERT(pass_on(started_host(), copied) == changes_outcome::applied);
        auto behind = test_state({{"i-1"}, {"i-2"}});
        pass_on(copied, behind.known);
        CPPUNIT_ASSERT(!is_usable(behind.known, "i-2"));
    }

    // After starts, each host of a zone may get all items from a host that has just started.
    auto whole_copy_repeats_no_known_value() -> void {
        const auto started = started_host();
        const auto changes = decode_changes(encode_changes(started, {0, 3})).value();
        CPPUNIT_ASSERT(changes.is_whole);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.items.size());
        CPPUNIT_ASSERT(changes.items[0].value.empty() && changes.items[1].value.empty());
        const auto all = decode_changes(encode_changes(started, {0, 0})).value();
        CPPUNIT_ASSERT(!all.items[0].value.empty() && !all.items[1].value.empty());
    }

    // The host asked for changes after 90, which no store had given out. The answer lacks those before.
    auto increments_after_a_position_that_was_invalid_are_unusable() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        auto ahead = test_state({{"i-1"}});
        ahead.known.revision = 95;
        state.known.revision = 90;
        const auto changes = decode_changes(encode_changes(ahead.known, {0, 90})).value();
        discard_invalid_revisions(state.known, 3);
        CPPUNIT_ASSERT(apply_changes(state.known, changes, {0, 90}, test_start).outcome ==
                       changes_outcome::unusable);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, state.known.revision);
    }

    // The copy leaves out values that a host at the position 90 has.
    auto whole_copy_after_a_position_that_was_invalid_is_unusable() -> void {
        auto state = test_state({{"i-1"}});
        state.known.revision = 90;
        auto ahead = test_state({{"i-1"}});
        ahead.known.items.at("servers/i-1").revision = 60;
        finish_listing(ahead.known, {{"op/config", true}, {"servers/i-1", true}}, 95, test_start);
        const auto changes = decode_changes(encode_changes(ahead.known, {0, 90})).value();
        CPPUNIT_ASSERT(changes.is_whole);
        discard_invalid_revisions(state.known, 1);
        CPPUNIT_ASSERT(apply_changes(state.known, changes, {0, 90}, test_start).outcome ==
                       changes_outcome::unusable);
        CPPUNIT_ASSERT(is_usable(state.known, "i-1"));
    }

    // Its watch began after an invalid revision, so it may lack changes before the store's newest one.
    auto host_that_may_lack_changes_passes_none_on() -> void {
        auto state = test_state({{"i-1"}});
        state.known.revision = 90;
        discard_invalid_revisions(state.known, 50);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, position_of(state.known).revision);
        CPPUNIT_ASSERT(can_place(state.known));
        auto behind = test_state({{"i-1"}});
        CPPUNIT_ASSERT(pass_on(state.known, behind.known) == changes_outcome::unusable);
        finish_listing(state.known, {{"op/config", true}, {"servers/i-1", true}}, 51, test_start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{51}, position_of(state.known).revision);
    }

    auto increments_make_no_directory_complete() -> void {
        auto state = forwarding_state{};
        state.known.platform = &test_platform();
        const auto changes = peer_changes{9, false, {target_item({"i-1"}, 9)}, 0};
        CPPUNIT_ASSERT(apply_changes(state.known, changes, {0, 0}, test_start).outcome ==
                       changes_outcome::unusable);
        CPPUNIT_ASSERT(!state.known.is_complete);
    }

    auto older_whole_copy_is_unusable() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        const auto older = peer_changes{2, true, {target_item({"i-1"}, 2)}, 0};
        CPPUNIT_ASSERT(apply_changes(state.known, older, {0, 0}, test_start).outcome ==
                       changes_outcome::unusable);
        CPPUNIT_ASSERT(is_usable(state.known, "i-2"));
    }

    auto host_at_a_position_has_all_changes_up_to_it() -> void {
        const auto holds = rc::check([] {
            auto model = change_model{};
            const auto steps = *rc::gen::container<std::vector<unsigned>>(rc::gen::arbitrary<unsigned>());
            for (const auto step : steps) {
                const auto host = step / 16 % model.host_count();
                const auto rest = step / 64;
                switch (step % 16) {
                    case 0:
                    case 1:
                        model.write(rest % 6);
                        break;
                    case 2:
                    case 3:
                        model.remove(rest % 6);
                        break;
                    case 4:
                        model.restart(host);
                        break;
                    case 5:
                        model.discard(host, rest);
                        break;
                    case 6:
                    case 7:
                    case 8:
                        model.list_page(host);
                        break;
                    case 9:
                        model.watch(host);
                        break;
                    case 10:
                    case 11:
                    case 12:
                        model.ask(host, rest % model.host_count());
                        break;
                    default:
                        model.take_answer(host);
                }
                model.check();
            }
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_peer_changes_test);

}  // namespace agatepost::edge
