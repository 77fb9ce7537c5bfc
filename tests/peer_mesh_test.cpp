// Guards links and the distribution of configuration: lost, duplicated or reordered messages, hosts that a
// change does not reach, revisions that decrease, and peers that occupy a host's memory or threads.

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <map>
#include <random>

#include "peer/mesh_base.h"
#include "peer_fleet.h"

namespace agatepost {

namespace {

// A configuration that consists of its revision, with a history of applied revisions. `size` pads its
// encoding.
class revision_only_configuration {
public:
    explicit revision_only_configuration(std::size_t size) : size_(size) {}

    auto exchange() -> config_exchange {
        return {[this] { return revision_.load(); }, [this](std::uint64_t) { return encode(revision_); },
                [this](const std::vector<std::uint8_t>& bytes) { return apply(bytes); }};
    }

    auto set(std::uint64_t revision) -> bool {
        const auto lock = std::lock_guard(mutex_);
        if (revision <= revision_) {
            return false;
        }
        revision_ = revision;
        history_.push_back(revision);
        return true;
    }

    auto revision() const -> std::uint64_t { return revision_; }
    auto history() -> std::vector<std::uint64_t> {
        const auto lock = std::lock_guard(mutex_);
        return history_;
    }

private:
    auto encode(std::uint64_t revision) const -> std::vector<std::uint8_t> {
        auto text = std::to_string(revision);
        text.resize(std::max(text.size(), size_), ' ');
        return {text.begin(), text.end()};
    }

    auto apply(const std::vector<std::uint8_t>& bytes) -> bool {
        const auto revision = std::stoull(std::string(bytes.begin(), bytes.end()));
        CPPUNIT_ASSERT(bytes == encode(revision));
        return set(revision);
    }

    std::size_t size_;
    std::mutex mutex_;
    std::atomic<std::uint64_t> revision_{0};
    std::vector<std::uint64_t> history_;
};

// A fleet in which each host has a mesh.
struct mesh_fleet {
    explicit mesh_fleet(std::size_t total, std::size_t config_size = 0) : fleet(total) {
        for (auto& host : fleet.hosts) {
            configs.push_back(std::make_unique<revision_only_configuration>(config_size));
            meshes.push_back(std::make_unique<mesh>(*host->node, host->view, configs.back()->exchange()));
        }
    }
    ~mesh_fleet() {
        for (auto& each : meshes) {
            each->stop();
        }
        for (auto& host : fleet.hosts) {
            host->node->stop();
        }
    }

    auto start() -> bool {
        const auto is_started = fleet.start();
        for (auto& each : meshes) {
            each->start();
        }
        return is_started;
    }

    auto change(std::size_t host, std::uint64_t revision) -> void {
        configs[host]->set(revision);
        meshes[host]->announce();
    }

    auto all_have(std::uint64_t revision) const -> bool {
        return std::all_of(configs.begin(), configs.end(),
                           [&](const auto& config) { return config->revision() == revision; });
    }

    auto assert_revisions_rise() -> void {
        for (auto& config : configs) {
            const auto history = config->history();
            for (auto i = std::size_t{1}; i < history.size(); ++i) {
                CPPUNIT_ASSERT(history[i - 1] < history[i]);
            }
        }
    }

    peer_fleet fleet;
    std::vector<std::unique_ptr<revision_only_configuration>> configs;
    std::vector<std::unique_ptr<mesh>> meshes;
};

// Opens a TCP connection to a peer address without any handshake.
auto connect_to(const endpoint& peer) -> file_descriptor {
    auto fd = file_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    auto address = sockaddr_storage{};
    const auto length = to_socket_address(peer, address);
    CPPUNIT_ASSERT_EQUAL(0, ::connect(fd.value(), reinterpret_cast<const sockaddr*>(&address), length));
    return fd;
}

class peer_mesh_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_mesh_test);
    CPPUNIT_TEST(messages_sent_both_ways_arrive_once_in_order);
    CPPUNIT_TEST(link_used_in_one_direction_stays_open);
    CPPUNIT_TEST(silent_and_malformed_connections_are_closed);
    CPPUNIT_TEST(host_with_wrong_key_gets_no_link);
    CPPUNIT_TEST(link_to_peer_that_does_not_read_is_closed);
    CPPUNIT_TEST(change_reaches_hosts_without_link_to_its_source);
    CPPUNIT_TEST(configuration_larger_than_a_frame_arrives_complete);
    CPPUNIT_TEST(revisions_never_decrease_during_partitions);
    CPPUNIT_TEST_SUITE_END();

public:
    auto messages_sent_both_ways_arrive_once_in_order() -> void {
        constexpr auto total = 500;
        auto fleet = peer_fleet(2);
        auto mutex = std::mutex{};
        auto received = std::vector<std::vector<int>>(2);
        for (auto i = std::size_t{0}; i < 2; ++i) {
            fleet.hosts[i]->node->channel().subscribe(
                "number", [&, i](const std::string& sender, const nlohmann::json& body) {
                    const auto lock = std::lock_guard(mutex);
                    CPPUNIT_ASSERT_EQUAL(peer_fleet::name_of(1 - i), sender);
                    received[i].push_back(body.get<int>());
                });
        }
        CPPUNIT_ASSERT(fleet.start());
        CPPUNIT_ASSERT(await([&] { return fleet.agree({0, 1}); }));
        const auto hosts = fleet.hosts[0]->view.load()->hosts;
        // Both open a link at the same time: messages are lost if either link is closed as a duplicate.
        auto senders = std::vector<std::thread>{};
        for (auto i = std::size_t{0}; i < 2; ++i) {
            senders.emplace_back([&, i] {
                for (auto number = 0; number < total; ++number) {
                    fleet.hosts[i]->node->channel().send_reliable(hosts[1 - i], "number", number);
                }
            });
        }
        for (auto& sender : senders) {
            sender.join();
        }
        const auto size_of = [&](std::size_t i) {
            const auto lock = std::lock_guard(mutex);
            return received[i].size();
        };
        const auto arrived = await([&] { return size_of(0) >= total && size_of(1) >= total; });
        for (auto i = std::size_t{0}; i < 2; ++i) {
            const auto lock = std::lock_guard(mutex);
            auto sorted = received[i];
            std::sort(sorted.begin(), sorted.end());
            CPPUNIT_ASSERT_MESSAGE("a message was received twice",
                                   std::adjacent_find(sorted.begin(), sorted.end()) == sorted.end());
            CPPUNIT_ASSERT_MESSAGE("messages were received out of order", sorted == received[i]);
        }
        CPPUNIT_ASSERT_MESSAGE("a message was lost", arrived);
    }

    // Guards against a link that is closed as silent although the peer has no messages to send on it.
    auto link_used_in_one_direction_stays_open() -> void {
        constexpr std::int64_t duration_ms =
            11000;  // longer than the 9.5 s after which a silent link is cut off
        auto fleet = peer_fleet(2);
        auto mutex = std::mutex{};
        auto received = std::vector<int>{};
        fleet.hosts[0]->node->channel().subscribe("number",
                                                  [&](const std::string&, const nlohmann::json& body) {
                                                      const auto lock = std::lock_guard(mutex);
                                                      received.push_back(body.get<int>());
                                                  });
        CPPUNIT_ASSERT(fleet.start());
        auto to = host_record{};
        to.name = "h0";
        to.peer = fleet.hosts[0]->peer;
        const auto silent = counter_value(counter::peer_link_silent);
        auto sent = std::vector<int>{};
        const auto end = now() + duration_ms;
        while (now() < end) {
            sent.push_back(static_cast<int>(sent.size()));
            fleet.hosts[1]->node->channel().send_reliable(to, "number", sent.back());
            CPPUNIT_ASSERT_MESSAGE("a message was lost", await([&] {
                                       const auto lock = std::lock_guard(mutex);
                                       return received == sent;
                                   }));
        }
        CPPUNIT_ASSERT_EQUAL(silent, counter_value(counter::peer_link_silent));
    }

    auto silent_and_malformed_connections_are_closed() -> void {
        auto fleet = peer_fleet(1);
        CPPUNIT_ASSERT(fleet.start());
        const auto silent = connect_to(fleet.hosts[0]->peer);
        const auto garbage = connect_to(fleet.hosts[0]->peer);
        const auto text = std::string("GET / HTTP/1.1\r\nno websocket\r\n\r\n");
        CPPUNIT_ASSERT(::send(garbage.value(), text.data(), text.size(), MSG_NOSIGNAL) > 0);
        for (const auto* fd : {&garbage, &silent}) {
            // The host closes the connection: recv returns what it sent, then 0 or a reset.
            CPPUNIT_ASSERT(await([&] {
                char buffer[512];
                const auto size = ::recv(fd->value(), buffer, sizeof(buffer), MSG_DONTWAIT);
                return size == 0 || (size < 0 && errno == ECONNRESET);
            }));
        }
    }

    auto host_with_wrong_key_gets_no_link() -> void {
        auto fleet = peer_fleet(2);
        fleet.open(1, {key_of(9), {}});
        auto is_reached = std::atomic<bool>{false};
        fleet.hosts[0]->node->channel().subscribe(
            "text", [&](const std::string&, const nlohmann::json&) { is_reached = true; });
        CPPUNIT_ASSERT(fleet.start());
        const auto rejected = counter_value(counter::peer_link_rejected);
        auto to = host_record{};
        to.name = "h0";
        to.peer = fleet.hosts[0]->peer;
        fleet.hosts[1]->node->channel().send_reliable(to, "text", "hello");
        CPPUNIT_ASSERT(await([&] { return counter_value(counter::peer_link_rejected) > rejected; }));
        CPPUNIT_ASSERT(await([&] { return fleet.hosts[1]->node->links().open_names().empty(); }));
        CPPUNIT_ASSERT(!is_reached);
    }

    auto link_to_peer_that_does_not_read_is_closed() -> void {
        auto fleet = peer_fleet(1);
        CPPUNIT_ASSERT(fleet.start());
        // A listener that never accepts: the kernel completes the connection, nothing answers.
        auto to = host_record{};
        to.name = "mute";
        to.peer = free_address(9);
        const auto listener = file_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        auto address = sockaddr_storage{};
        const auto length = to_socket_address(to.peer, address);
        CPPUNIT_ASSERT_EQUAL(0, ::bind(listener.value(), reinterpret_cast<sockaddr*>(&address), length));
        CPPUNIT_ASSERT_EQUAL(0, ::listen(listener.value(), 1));
        const auto slow = counter_value(counter::peer_link_slow);
        const auto block = std::string(1U << 20U, 'x');
        for (auto i = 0; i < 9; ++i) {
            fleet.hosts[0]->node->channel().send_reliable(to, "block", block);
        }
        CPPUNIT_ASSERT(counter_value(counter::peer_link_slow) > slow);
    }

    auto change_reaches_hosts_without_link_to_its_source() -> void {
        // 12 hosts with 4 links each: most have no link to host 0, at which the change is made.
        auto meshes = mesh_fleet(12);
        CPPUNIT_ASSERT(meshes.start());
        CPPUNIT_ASSERT(await([&] { return meshes.fleet.names_seen_by(0).size() == 12; }));
        for (auto revision = std::uint64_t{1}; revision <= 5; ++revision) {
            meshes.change(0, revision);
            CPPUNIT_ASSERT(await([&] { return meshes.all_have(revision); }, 6000));
        }
        const auto& view = *meshes.fleet.hosts[0]->view.load();
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, mesh_peers(view, {}).size());
        meshes.assert_revisions_rise();
    }

    auto configuration_larger_than_a_frame_arrives_complete() -> void {
        auto meshes = mesh_fleet(3, 9U << 20U);
        CPPUNIT_ASSERT(meshes.start());
        meshes.change(2, 7);
        CPPUNIT_ASSERT(await([&] { return meshes.all_have(7); }));
    }

    auto revisions_never_decrease_during_partitions() -> void {
        const auto* given = std::getenv("RC_PARAMS");
        const auto seed =
            given != nullptr ? std::stoul(std::string(given).substr(5)) : std::random_device{}();
        std::cout << " seed " << seed << std::flush;
        auto random = std::mt19937(static_cast<std::mt19937::result_type>(seed));
        auto meshes = mesh_fleet(5);
        CPPUNIT_ASSERT(meshes.start());
        CPPUNIT_ASSERT(await([&] { return meshes.fleet.agree({0, 1, 2, 3, 4}); }));
        auto revision = std::uint64_t{0};
        for (auto round = 0; round < 3; ++round) {
            auto sides = std::vector<std::size_t>{};
            for (auto i = 0; i < 5; ++i) {
                sides.push_back(random() % 2);
            }
            meshes.fleet.cut(sides);
            const auto source = random() % 5;
            meshes.change(source, ++revision);
            CPPUNIT_ASSERT(await([&] {
                for (auto i = std::size_t{0}; i < 5; ++i) {
                    if (sides[i] == sides[source] && meshes.configs[i]->revision() != revision) {
                        return false;
                    }
                }
                return true;
            }));
            meshes.fleet.heal();
            CPPUNIT_ASSERT(await([&] { return meshes.all_have(revision); }));
        }
        meshes.assert_revisions_rise();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_mesh_test);

}  // namespace

}  // namespace agatepost
