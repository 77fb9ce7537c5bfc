// Guards against failures known from similar systems: packets of a former flow on a reused port, a malformed
// message or unexpected error that ends a process, hosts that accept an invalid revision, and running
// requests that are reset because their target was silent for a while. docs/hazards.md has a row for each.

#include <fcntl.h>
#include <rapidcheck.h>
#include <unistd.h>

#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

#include "core/cbor_func.h"
#include "core/counter_func.h"
#include "edge/event_loop_base.h"
#include "edge/http_base.h"
#include "edge/peer_group_base.h"
#include "edge_socket_test_func.h"
#include "edge_test_func.h"

namespace agatepost::edge {

namespace {

constexpr std::size_t deep_nesting = 100000;
constexpr std::int64_t test_limit_ms = 5000;

auto record_of(forwarding_state& state, std::uint16_t port) -> flow_record& {
    return state.flows.at(client_syn(port).flow);
}

auto heartbeat_bytes() -> std::string {
    auto beat = heartbeat{};
    beat.zone = "a";
    beat.revision = 7;
    beat.peers = {1, 2};
    beat.loads = {{1, 2, 3}};
    return encode_heartbeat(beat);
}

// A connection that sends nothing.
auto connect_to(const endpoint& server) -> file_descriptor {
    auto address = sockaddr_storage{};
    const auto length = to_socket_address(server, address);
    auto fd = file_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    CPPUNIT_ASSERT_EQUAL(0, connect(fd.value(), reinterpret_cast<const sockaddr*>(&address), length));
    return fd;
}

}  // namespace

class edge_hazard_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(edge_hazard_test);
    CPPUNIT_TEST(syn_from_a_reused_port_is_a_new_flow);
    CPPUNIT_TEST(late_retransmitted_syn_opens_no_flow);
    CPPUNIT_TEST(flow_on_a_reused_port_inherits_no_state);
    CPPUNIT_TEST(syn_ack_is_not_forwarded);
    CPPUNIT_TEST(syn_with_data_is_not_sent_again);
    CPPUNIT_TEST(deeply_nested_message_is_rejected);
    CPPUNIT_TEST(message_that_claims_more_items_than_it_has_is_rejected);
    CPPUNIT_TEST(valid_messages_are_read_as_the_library_reads_them);
    CPPUNIT_TEST(corrupted_messages_do_not_end_the_process);
    CPPUNIT_TEST(heartbeat_with_impossible_values_is_rejected);
    CPPUNIT_TEST(host_that_sends_less_than_it_reported_is_avoided_for_a_while);
    CPPUNIT_TEST(exception_of_a_handler_does_not_stop_the_event_loop);
    CPPUNIT_TEST(silent_connections_do_not_block_readiness_checks);
    CPPUNIT_TEST(connection_closed_without_an_answer_is_an_error);
    CPPUNIT_TEST(truncated_answer_is_an_error);
    CPPUNIT_TEST(filing_at_a_silent_target_is_kept);
    CPPUNIT_TEST(target_that_answers_without_registration_keeps_its_flows);
    CPPUNIT_TEST_SUITE_END();

public:
    // Each flow starts at a random sequence number, so the next one may start lower.
    auto syn_from_a_reused_port_is_a_new_flow() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        const auto before = open_flow(state, 1, test_start);
        handle_packet(state, data(1, before, 0), current_view, test_start);
        auto again = client_syn(1);
        again.sequence = 500;
        const auto verdict = handle_packet(state, again, current_view, test_start + 300);
        CPPUNIT_ASSERT(verdict.reason == packet_reason::opened);
        CPPUNIT_ASSERT(!record_of(state, 1).is_open);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{501}, record_of(state, 1).highest_sequence);
    }

    auto late_retransmitted_syn_opens_no_flow() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        const auto carrier = open_flow(state, 1, test_start);
        handle_packet(state, data(1, carrier, 0), current_view, test_start);
        auto retransmission = client_syn(1);
        retransmission.acknowledgement = 1;
        const auto verdict = handle_packet(state, retransmission, current_view, test_start + 200);
        CPPUNIT_ASSERT_EQUAL(carrier, carrier_of(state, verdict));
        CPPUNIT_ASSERT(record_of(state, 1).is_open);
    }

    // The new flow opened through another host. Guards against taking its first data for a retransmission of
    // the former flow, and against a reset with the former flow's acknowledgement.
    auto flow_on_a_reused_port_inherits_no_state() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        const auto before = open_flow(state, 1, test_start);
        handle_packet(state, data(1, before, 5000, 9000), current_view, test_start);
        const auto next = 3 - before;
        handle_packet(state, data(1, next, 0), current_view, test_start + 300);
        const auto& flow = record_of(state, 1);
        CPPUNIT_ASSERT(flow.is_busy);
        CPPUNIT_ASSERT_EQUAL(data(1, next, 0).acknowledgement, flow.acknowledgement);
        for (const auto& target : state.known.targets) {
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, target.load.stalled_flows);
            CPPUNIT_ASSERT_EQUAL(target.entry.carrier == next ? 1U : 0U, target.load.open_flows);
            CPPUNIT_ASSERT_EQUAL(target.entry.carrier == next ? 1U : 0U, target.load.busy_flows);
        }
    }

    auto syn_ack_is_not_forwarded() -> void {
        auto state = test_state({{"i-1"}});
        auto packet = client_syn(1);
        packet.is_ack = true;
        packet.carrier = 1;
        const auto verdict = handle_packet(state, packet, current_view, test_start);
        CPPUNIT_ASSERT(verdict.action == packet_action::drop);
        CPPUNIT_ASSERT(verdict.reason == packet_reason::not_of_a_client);
    }

    // Only SYNs without data are stored; a second target would get bytes that no client sent.
    auto syn_with_data_is_not_sent_again() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        auto packet = client_syn(1);
        packet.payload_bytes = 10;
        CPPUNIT_ASSERT(handle_packet(state, packet, current_view, test_start).action ==
                       packet_action::forward);
        CPPUNIT_ASSERT(collect_syn_retries(state, test_start + initial_syn_timeout_ms).empty());
    }

    // A recursive reader overflows the stack on a datagram of 16 KB.
    auto deeply_nested_message_is_rejected() -> void {
        const auto arrays = std::string(deep_nesting, '\x81') + '\x00';
        const auto maps = std::string(deep_nesting, '\xa1') + '\x00';
        for (const auto& bytes : {arrays, maps}) {
            CPPUNIT_ASSERT(read_cbor(bytes).is_discarded());
            CPPUNIT_ASSERT(!decode_heartbeat(bytes));
            CPPUNIT_ASSERT(!decode_changes(bytes));
        }
    }

    // The library throws for lengths that exceed the memory, even with its exceptions turned off.
    auto message_that_claims_more_items_than_it_has_is_rejected() -> void {
        for (const auto head : {'\x9b', '\xbb', '\x5b', '\x7b'}) {
            const auto bytes = std::string(1, head) + std::string(8, '\x7f');
            CPPUNIT_ASSERT(read_cbor(bytes).is_discarded());
            CPPUNIT_ASSERT(!decode_heartbeat(bytes));
            CPPUNIT_ASSERT(!decode_changes(bytes));
        }
    }

    auto valid_messages_are_read_as_the_library_reads_them() -> void {
        using nlohmann::json;
        const auto document = json{{"text", "abc"},
                                   {"list", {1, -2, 3.5, nullptr, true, json::array(), json::object()}},
                                   {"large", 1ULL << 60U},
                                   {"bytes", json::binary({1, 2, 3})},
                                   {"long", std::string(70000, 'x')}};
        const auto bytes = json::to_cbor(document);
        const auto text = std::string(bytes.begin(), bytes.end());
        CPPUNIT_ASSERT(read_cbor(text) == document);
        CPPUNIT_ASSERT(read_cbor(text + '\x00').is_discarded());
    }

    auto corrupted_messages_do_not_end_the_process() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        const auto valid = std::vector<std::string>{heartbeat_bytes(), encode_changes(state.known, {})};
        const auto ok = rc::check("changed messages", [&] {
            auto bytes = *rc::gen::elementOf(valid);
            const auto changes = *rc::gen::inRange(1, 6);
            for (auto i = 0; i < changes; ++i) {
                const auto where = *rc::gen::inRange(std::size_t{0}, bytes.size());
                bytes[where] = static_cast<char>(*rc::gen::inRange(0, 256));
            }
            static_cast<void>(decode_heartbeat(bytes));
            if (const auto changes_read = decode_changes(bytes)) {
                auto known = state.known;
                for (const auto& item : changes_read->items) {
                    static_cast<void>(apply_item(known, item, test_start));
                }
            }
        });
        CPPUNIT_ASSERT(ok);
    }

    // Hosts would ask its sender forever and take the store's real revisions for old.
    auto heartbeat_with_impossible_values_is_rejected() -> void {
        auto beat = heartbeat{};
        beat.zone = "a";
        beat.revision = 1ULL << 63U;
        CPPUNIT_ASSERT(!decode_heartbeat(encode_heartbeat(beat)));
        beat.revision = 5;
        beat.peers.resize(max_named_peers + 1, 9);
        CPPUNIT_ASSERT(!decode_heartbeat(encode_heartbeat(beat)));
    }

    auto host_that_sends_less_than_it_reported_is_avoided_for_a_while() -> void {
        auto known = directory{};
        auto group = peer_group{};
        group.own_address = 1;
        group.zone = "a";
        auto beat = heartbeat{};
        beat.zone = "a";
        beat.revision = 1ULL << 40U;
        record_heartbeat(group, known, 2, heartbeat(beat), test_start);
        beat.revision = 9;
        record_heartbeat(group, known, 3, heartbeat(beat), test_start);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, *newest_peer(group, {0, 5}, test_start));
        avoid_peer(group, 2, test_start);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, *newest_peer(group, {0, 5}, test_start));
        group.peers.at(2).heard = group.peers.at(3).heard = test_start + peer_avoid_ms;
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, *newest_peer(group, {0, 5}, test_start + peer_avoid_ms));
    }

    auto exception_of_a_handler_does_not_stop_the_event_loop() -> void {
        auto loop = *event_loop::open();
        int ends[2] = {-1, -1};
        CPPUNIT_ASSERT_EQUAL(0, pipe2(ends, O_CLOEXEC));
        const auto reader = file_descriptor(ends[0]);
        const auto writer = file_descriptor(ends[1]);
        auto calls = 0;
        CPPUNIT_ASSERT(loop.add(reader.value(), EPOLLIN,
                                [&](std::uint32_t) {
                                    ++calls;
                                    throw std::runtime_error("unexpected");
                                })
                           .has_value());
        const auto before = counter_value(counter::edge_handler_failures);
        CPPUNIT_ASSERT_EQUAL(ssize_t{1}, write(writer.value(), "x", 1));
        loop.wait(boot_now() + 10);
        loop.wait(boot_now() + 10);
        CPPUNIT_ASSERT_EQUAL(2, calls);
        CPPUNIT_ASSERT_EQUAL(before + 2, counter_value(counter::edge_handler_failures));
    }

    // Idle connections must not exhaust the server: 64 of them blocked the routers' readiness checks for 30
    // s.
    auto silent_connections_do_not_block_readiness_checks() -> void {
        auto loop = *event_loop::open();
        const auto address = loopback(free_port());
        auto server = http_server(loop, [](std::string_view) { return http_answer{200, "ready"}; });
        CPPUNIT_ASSERT(server.listen(address).has_value());
        auto silent = std::vector<file_descriptor>{};
        for (auto i = 0; i < 100; ++i) {
            silent.push_back(connect_to(address));
            loop.wait(boot_now());
        }
        auto client = http_client(loop);
        auto status = 0U;
        client.call(address, "/", boot_now() + test_limit_ms,
                    [&](const result<http_answer>& answer) { status = answer ? answer->status : 1; });
        for (const auto limit = boot_now() + test_limit_ms; status == 0 && boot_now() < limit;) {
            loop.wait(boot_now() + 5);
        }
        CPPUNIT_ASSERT_EQUAL(200U, status);
    }

    // Answers a call with these bytes and closes the connection. Returns what the caller gets.
    static auto answer_with(const std::string& bytes) -> result<http_answer> {
        auto loop = *event_loop::open();
        const auto address = loopback(free_port());
        const auto listener = open_listener(address);
        CPPUNIT_ASSERT(listener.has_value());
        auto client = http_client(loop);
        auto got = std::optional<result<http_answer>>{};
        client.call(address, "/", boot_now() + test_limit_ms,
                    [&](result<http_answer> answer) { got = std::move(answer); });
        auto server = file_descriptor();
        for (const auto limit = boot_now() + test_limit_ms; !got && boot_now() < limit;) {
            loop.wait(boot_now() + 5);
            if (server.value() < 0) {
                server = file_descriptor(accept4(listener->value(), nullptr, nullptr, SOCK_CLOEXEC));
            }
            auto request = std::array<char, 512>{};
            if (server.value() >= 0 &&
                recv(server.value(), request.data(), request.size(), MSG_DONTWAIT) > 0) {
                CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(bytes.size()),
                                     send(server.value(), bytes.data(), bytes.size(), MSG_NOSIGNAL));
                shutdown(server.value(), SHUT_WR);
            }
        }
        CPPUNIT_ASSERT(got.has_value());
        return *got;
    }

    auto connection_closed_without_an_answer_is_an_error() -> void { CPPUNIT_ASSERT(!answer_with("")); }

    auto truncated_answer_is_an_error() -> void {
        const auto whole = std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
        CPPUNIT_ASSERT(answer_with(whole).has_value());
        for (auto size = std::size_t{1}; size < whole.size(); size += 7) {
            CPPUNIT_ASSERT(!answer_with(whole.substr(0, size)));
        }
    }

    // The target's registration lapses, but the client cannot repeat the request.
    auto filing_at_a_silent_target_is_kept() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}}, {{443, "desk", "non_idempotent"}});
        const auto carrier = open_flow(state, 1, test_start);
        const auto request = data(1, carrier, 0);
        handle_packet(state, request, current_view, test_start);
        apply_item(state.known, removal_item("i-" + std::to_string(carrier), 50), test_start + 100);
        for (const auto at : {200, 600, 1400, 3000}) {
            CPPUNIT_ASSERT(handle_packet(state, request, current_view, test_start + at).action ==
                           packet_action::forward);
        }
    }

    auto target_that_answers_without_registration_keeps_its_flows() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        const auto carrier = open_flow(state, 1, test_start);
        handle_packet(state, handshake_ack(2, carrier), current_view, test_start);
        handle_packet(state, data(1, carrier, 0), current_view, test_start);
        handle_packet(state, data(2, carrier, 0), current_view, test_start);
        apply_item(state.known, removal_item("i-" + std::to_string(carrier), 50), test_start + 100);
        handle_packet(state, data(2, carrier, 100, 500), current_view, test_start + 150);
        CPPUNIT_ASSERT(handle_packet(state, data(1, carrier, 0), current_view, test_start + 200).action ==
                       packet_action::forward);
        // Without any further answer of the target, the flow is reset.
        CPPUNIT_ASSERT(handle_packet(state, data(1, carrier, 0), current_view, test_start + 3000).action ==
                       packet_action::reset);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_hazard_test);

}  // namespace agatepost::edge
