// Simulates the peer groups of many hosts of one zone with a simulated clock. Guards against control traffic
// that grows with the fleet, several hosts that watch the store, and revisions that do not reach all hosts.

#include <map>

#include "edge/peer_group_base.h"
#include "edge_test_func.h"

namespace agatepost::edge {

namespace {

constexpr std::int64_t step_ms = 25;
constexpr std::size_t seed_count = 3;

// One simulated host. Reading a newer revision from another host takes one step.
struct model_host {
    std::uint32_t address = 0;
    peer_group group;
    directory known;
    std::minstd_rand random;
    bool is_alive = true;
    bool reaches_store = true;
    bool watches = false;
    std::uint64_t revision = 1;
    time_ms last_answer;
    time_ms next_heartbeat;
    std::uint64_t sent_bytes = 0;
};

class fleet_model {
public:
    fleet_model(std::size_t count, unsigned seed) {
        for (auto i = std::size_t{0}; i < count; ++i) {
            auto& host = hosts_.emplace_back();
            host.address = static_cast<std::uint32_t>(0x0a010001 + 3 * i);
            host.group.own_address = host.address;
            host.group.zone = "a";
            host.random.seed(seed * 1000 + static_cast<unsigned>(i));
            host.next_heartbeat = at_ + static_cast<std::int64_t>(host.random() % heartbeat_ms);
            host.last_answer = at_;
            by_address_[host.address] = i;
        }
    }

    // Advances the clock. Returns the largest number of hosts that watched at the same time.
    auto run(std::int64_t ms) -> std::size_t {
        auto most = std::size_t{0};
        for (const auto end = at_ + ms; at_ < end; at_ = at_ + step_ms) {
            for (auto& host : hosts_) {
                if (host.is_alive) {
                    turn(host);
                }
            }
            most = std::max(most, watching());
        }
        return most;
    }

    auto watching() const -> std::size_t {
        return static_cast<std::size_t>(std::count_if(
            hosts_.begin(), hosts_.end(), [](const auto& host) { return host.is_alive && host.watches; }));
    }

    auto knowing(std::uint64_t revision) const -> std::size_t {
        return static_cast<std::size_t>(std::count_if(
            hosts_.begin(), hosts_.end(), [&](const auto& host) { return host.revision >= revision; }));
    }

    auto bytes_per_s(std::int64_t ms) -> std::uint64_t {
        auto before = std::vector<std::uint64_t>{};
        for (const auto& host : hosts_) {
            before.push_back(host.sent_bytes);
        }
        run(ms);
        auto most = std::uint64_t{0};
        for (auto i = std::size_t{0}; i < hosts_.size(); ++i) {
            most = std::max(most, hosts_[i].sent_bytes - before[i]);
        }
        return most * 1000 / static_cast<std::uint64_t>(ms);
    }

    auto members(std::size_t index) const -> std::size_t {
        return zone_members(hosts_[index].group, at_).size();
    }

    auto host(std::size_t index) -> model_host& { return hosts_[index]; }

    std::uint64_t store_revision = 1;

private:
    auto turn(model_host& host) -> void {
        host.watches = should_watch(host.group, at_);
        if (host.watches && host.reaches_store) {
            host.last_answer = at_;
            if (host.revision < store_revision) {
                host.revision = store_revision;
                host.next_heartbeat = at_;
            }
        }
        if (const auto peer = newest_peer(host.group, host.revision, at_)) {
            const auto& from = hosts_[by_address_.at(*peer)];
            if (from.is_alive && from.revision > host.revision) {
                host.revision = from.revision;
                host.next_heartbeat = at_;
            }
        }
        if (at_ >= host.next_heartbeat) {
            host.next_heartbeat = at_ + heartbeat_ms;
            auto receivers = heartbeat_receivers(host.group, at_, host.random);
            if (!is_large_fleet(host.group)) {
                for (auto i = std::size_t{0}; i < std::min(seed_count, hosts_.size()); ++i) {
                    receivers.push_back(hosts_[i].address);
                }
            }
            for (const auto address : receivers) {
                send(host, address);
            }
        }
        if ((at_ - test_start) % 500 == 0) {
            expire_peers(host.group, host.known, at_);
        }
    }

    auto send(model_host& from, std::uint32_t to) -> void {
        auto beat = heartbeat{};
        beat.zone = "a";
        beat.revision = from.revision;
        beat.store_age_ms = zone_store_age_ms(from.group, at_ - from.last_answer, at_);
        beat.peers = named_peers(from.group, at_, from.random);
        from.sent_bytes += encode_heartbeat(beat).size() + udp_header_bytes;
        auto& receiver = hosts_[by_address_.at(to)];
        if (receiver.is_alive && receiver.address != from.address &&
            record_heartbeat(receiver.group, receiver.known, from.address, std::move(beat), at_)) {
            send(receiver, from.address);
        }
    }

    std::vector<model_host> hosts_;
    std::map<std::uint32_t, std::size_t> by_address_;
    time_ms at_ = test_start;
};

}  // namespace

class edge_fleet_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(edge_fleet_test);
    CPPUNIT_TEST(fleet_of_any_size_converges_on_one_watching_host);
    CPPUNIT_TEST(new_revision_reaches_all_hosts);
    CPPUNIT_TEST(watch_is_taken_over_by_few_hosts);
    CPPUNIT_TEST(watch_passes_on_from_a_host_cut_from_the_store);
    CPPUNIT_TEST(dead_hosts_stop_being_members);
    CPPUNIT_TEST(control_traffic_does_not_grow_with_the_fleet);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::int64_t convergence_ms = 12000;

public:
    auto fleet_of_any_size_converges_on_one_watching_host() -> void {
        for (const auto count : {std::size_t{2}, std::size_t{5}, std::size_t{12}, std::size_t{60}}) {
            auto fleet = fleet_model(count, 1);
            fleet.run(convergence_ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.run(20000));
            CPPUNIT_ASSERT_EQUAL(count - 1, fleet.members(count / 2));
        }
    }

    // A change must be in force within 6 s, most of which the store and the watch may use.
    auto new_revision_reaches_all_hosts() -> void {
        for (const auto count : {std::size_t{5}, std::size_t{60}, std::size_t{300}}) {
            auto fleet = fleet_model(count, 2);
            fleet.run(convergence_ms);
            fleet.store_revision = 2;
            fleet.run(1000);
            CPPUNIT_ASSERT_EQUAL(count, fleet.knowing(2));
        }
    }

    auto watch_is_taken_over_by_few_hosts() -> void {
        for (const auto count : {std::size_t{5}, std::size_t{60}}) {
            auto fleet = fleet_model(count, 3);
            fleet.run(convergence_ms);
            fleet.host(0).is_alive = false;
            fleet.host(1).is_alive = false;
            const auto most = fleet.run(2500);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most <= 3);
            CPPUNIT_ASSERT(fleet.watching() >= 1);
            fleet.run(convergence_ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.run(5000));
        }
    }

    // The host with the lowest address stays alive and keeps trying.
    auto watch_passes_on_from_a_host_cut_from_the_store() -> void {
        for (const auto count : {std::size_t{5}, std::size_t{60}}) {
            auto fleet = fleet_model(count, 4);
            fleet.run(convergence_ms);
            fleet.host(0).reaches_store = false;
            fleet.run(store_reachable_ms + 1000);
            fleet.store_revision = 2;
            fleet.run(1000);
            CPPUNIT_ASSERT_EQUAL(count, fleet.knowing(2));
            const auto most = fleet.run(10000);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most <= 4);
        }
    }

    auto dead_hosts_stop_being_members() -> void {
        auto fleet = fleet_model(60, 5);
        fleet.run(convergence_ms);
        for (auto i = std::size_t{10}; i < 30; ++i) {
            fleet.host(i).is_alive = false;
        }
        fleet.run(membership_timeout_ms + 2 * peer_silent_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{39}, fleet.members(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{39}, fleet.members(59));
    }

    auto control_traffic_does_not_grow_with_the_fleet() -> void {
        for (const auto count : {std::size_t{13}, std::size_t{60}, std::size_t{300}}) {
            auto fleet = fleet_model(count, 6);
            fleet.run(convergence_ms);
            const auto bytes = fleet.bytes_per_s(5000);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes),
                                   bytes <= static_cast<std::uint64_t>(control_bytes_per_s));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_fleet_test);

}  // namespace agatepost::edge
