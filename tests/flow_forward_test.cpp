// Tests of the packet path over several hosts against: packets at a wrong target or service, relay loops,
// split connections, lost closes.

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "core/histogram_func.h"
#include "flow_test_func.h"
#include "net/byte_order_func.h"

namespace agatepost {

namespace {

using packets = std::vector<std::vector<std::uint8_t>>;

const auto client = at("10.0.0.7:4000");
const auto web = at("10.9.0.1:80");

auto target_address(int index, int port = 8080) -> endpoint {
    return at("10.1.0." + std::to_string(index) + ":" + std::to_string(port));
}

// The target index that a packet to a target has as its last address byte.
auto index_of(const packet_headers& headers) -> int {
    return headers.destination.address.bytes[3];
}

auto with_flags(std::uint8_t flags, std::uint32_t echo = 0) -> tcp_options {
    auto options = tcp_options{};
    options.flags = flags;
    options.echo = echo;
    return options;
}

auto without_timestamp(std::uint8_t flags) -> tcp_options {
    auto options = with_flags(flags);
    options.has_timestamp = false;
    return options;
}

auto counts_at(test_zone& zone, int index) -> target_counts {
    const auto chooser = zone.flows[zone.chooser()]->choosers.find("p");
    return chooser == nullptr ? target_counts{} : chooser->own_counts()[static_cast<std::size_t>(index)];
}

// Opens a flow through random hosts and returns the index that the client is to echo.
auto open_flow(test_zone& zone, const endpoint& from, std::size_t host) -> std::uint8_t {
    const auto sent = zone.deliver(host, make_tcp(from, web, with_flags(tcp_flag::syn)));
    const auto index = index_of(headers_of(sent.at(0)));
    const auto answer =
        zone.deliver((host + 1) % zone.flows.size(),
                     make_tcp(target_address(index), from, with_flags(tcp_flag::syn | tcp_flag::ack)));
    const auto headers = headers_of(answer.at(0));
    CPPUNIT_ASSERT(headers.source == web);
    return answer.at(0)[headers.timestamp_offset + 3U];
}

class flow_forward_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(flow_forward_test);
    CPPUNIT_TEST(random_flows_stay_at_their_targets_over_any_hosts);
    CPPUNIT_TEST(close_is_counted_once_whatever_hosts_see_it);
    CPPUNIT_TEST(fin_passes_through_the_chooser_without_control_traffic);
    CPPUNIT_TEST(relayed_packets_of_unknown_senders_are_dropped);
    CPPUNIT_TEST(unknown_index_is_refused_and_never_placed);
    CPPUNIT_TEST(refusal_is_counted_for_its_service_and_recorded);
    CPPUNIT_TEST(full_pool_refuses_before_payload);
    CPPUNIT_TEST(late_syn_ack_is_answered_with_a_reset_to_its_target);
    CPPUNIT_TEST(owner_flow_keeps_its_target_when_targets_and_hosts_change);
    CPPUNIT_TEST(syn_ack_without_timestamps_binds_the_flow_at_its_owner);
    CPPUNIT_TEST(reset_without_timestamps_reaches_the_target_of_a_carried_flow);
    CPPUNIT_TEST(icmp_error_about_a_reverse_packet_reaches_its_target);
    CPPUNIT_TEST(silent_flow_is_reset_at_both_ends);
    CPPUNIT_TEST_SUITE_END();

public:
    auto random_flows_stay_at_their_targets_over_any_hosts() -> void {
        const auto has_passed = rc::check("packets of a flow reach one target", [] {
            auto zone = test_zone(5, test_pool(6, 50).build());
            auto indexes = std::map<int, std::uint8_t>{};
            const auto steps = *rc::gen::inRange(1, 80);
            for (auto i = 0; i < steps; ++i) {
                const auto n = *rc::gen::inRange(0, 20);
                const auto from = at("10.0.0.7:" + std::to_string(4000 + n));
                const auto host = *rc::gen::inRange<std::size_t>(0, 5);
                if (indexes.count(n) == 0) {
                    indexes[n] = open_flow(zone, from, host);
                    RC_ASSERT(indexes[n] != 0);
                    continue;
                }
                const auto out =
                    zone.deliver(host, make_tcp(from, web, with_flags(tcp_flag::ack, indexes[n])));
                RC_ASSERT(out.size() == 1U);
                const auto headers = headers_of(out[0]);
                RC_ASSERT(headers.destination == target_address(indexes[n]));
                RC_ASSERT(headers.timestamp_echo_low == 0);
            }
            RC_ASSERT(zone.longest_relay_path <= 1U);
        });
        CPPUNIT_ASSERT(has_passed);
    }

    auto close_is_counted_once_whatever_hosts_see_it() -> void {
        auto zone = test_zone(4, test_pool(1).build());
        const auto index = open_flow(zone, client, 0);
        const auto second = at("10.0.0.7:4001");
        open_flow(zone, second, 1);
        CPPUNIT_ASSERT_EQUAL(2U, counts_at(zone, 1).slots_busy);
        for (auto host = std::size_t{0}; host < 4; ++host) {
            auto fin = with_flags(tcp_flag::fin | tcp_flag::ack, index);
            fin.payload = 100;  // the notice carries headers alone
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zone.deliver(host, make_tcp(client, web, fin)).size());
            CPPUNIT_ASSERT_EQUAL(2U, counts_at(zone, 1).slots_busy);
        }
        for (auto host = std::size_t{0}; host < 4; ++host) {
            const auto fin = with_flags(tcp_flag::fin | tcp_flag::ack);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                                 zone.deliver(host, make_tcp(target_address(1), client, fin)).size());
            CPPUNIT_ASSERT_EQUAL(1U, counts_at(zone, 1).slots_busy);
        }
        const auto out = zone.deliver(2, make_tcp(second, web, with_flags(tcp_flag::rst, index)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, out.size());
        CPPUNIT_ASSERT_EQUAL(0U, counts_at(zone, 1).slots_busy);
    }

    // A control message for each FIN would exceed the control traffic limit of a host.
    auto fin_passes_through_the_chooser_without_control_traffic() -> void {
        auto zone = test_zone(4, test_pool(1).build());
        const auto index = open_flow(zone, client, 0);
        const auto fin = with_flags(tcp_flag::fin | tcp_flag::ack, index);
        const auto before = counter_value(counter::control_bytes_sent);
        for (auto host = std::size_t{0}; host < 4; ++host) {
            const auto forward = zone.deliver(host, make_tcp(client, web, fin));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forward.size());
            CPPUNIT_ASSERT(headers_of(forward[0]).destination == target_address(index));
            const auto reverse = zone.deliver(host, make_tcp(target_address(index), client, fin));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reverse.size());
            CPPUNIT_ASSERT(headers_of(reverse[0]).destination == client);
        }
        CPPUNIT_ASSERT_EQUAL(before, counter_value(counter::control_bytes_sent));
        CPPUNIT_ASSERT_EQUAL(0U, counts_at(zone, 1).slots_busy);
    }

    auto relayed_packets_of_unknown_senders_are_dropped() -> void {
        auto zone = test_zone(2, test_pool(1).build());
        const auto syn = make_tcp(client, web, with_flags(tcp_flag::syn));
        const auto before = counter_value(counter::drop_unknown_peer);
        CPPUNIT_ASSERT(zone.deliver_relayed(0, syn, relay_reason::open, at("127.0.0.9:6081")).empty());
        CPPUNIT_ASSERT_EQUAL(before + 1, counter_value(counter::drop_unknown_peer));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             zone.deliver_relayed(0, syn, relay_reason::open, zone.address(1)).size());
        // A leaving host still forwards after the others removed it from the list of live hosts.
        zone.views[0].departed.push_back(at("127.0.0.8:6081"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             zone.deliver_relayed(0, syn, relay_reason::open, at("127.0.0.8:6081")).size());
    }

    auto unknown_index_is_refused_and_never_placed() -> void {
        auto zone = test_zone(2, test_pool(3).build());
        for (const auto index : {0U, 4U, 255U}) {
            const auto out = zone.deliver(0, make_tcp(client, web, with_flags(tcp_flag::ack, index)));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, out.size());
            CPPUNIT_ASSERT(headers_of(out[0]).has_flags(tcp_flag::rst));
            CPPUNIT_ASSERT(headers_of(out[0]).destination == client);
        }
    }

    auto refusal_is_counted_for_its_service_and_recorded() -> void {
        auto zone = test_zone(2, test_pool(3).build());
        const auto from = at("10.77.0.1:77");
        const auto before = counter_value(counter::refuse_unknown_index, "r");
        const auto other = counter_value(counter::refuse_unknown_index, "f");
        auto sent = std::uint64_t{0};
        CPPUNIT_ASSERT(is_recorded(history_kind::refusal, to_text(from), [&] {
            zone.deliver(0, make_tcp(from, web, with_flags(tcp_flag::ack, 255U)));
            ++sent;
        }));
        CPPUNIT_ASSERT_EQUAL(before + sent, counter_value(counter::refuse_unknown_index, "r"));
        CPPUNIT_ASSERT_EQUAL(other, counter_value(counter::refuse_unknown_index, "f"));
    }

    auto full_pool_refuses_before_payload() -> void {
        auto zone = test_zone(3, test_pool(2, 1).build());
        open_flow(zone, at("10.0.0.7:1"), 0);
        open_flow(zone, at("10.0.0.7:2"), 1);
        const auto before = counter_value(counter::refuse_no_capacity);
        const auto out = zone.deliver(2, make_tcp(client, web, with_flags(tcp_flag::syn)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, out.size());
        CPPUNIT_ASSERT(headers_of(out[0]).has_flags(tcp_flag::rst));
        CPPUNIT_ASSERT_EQUAL(before + 1, counter_value(counter::refuse_no_capacity));
    }

    auto late_syn_ack_is_answered_with_a_reset_to_its_target() -> void {
        auto zone = test_zone(3, test_pool(2).build());
        const auto sent = zone.deliver(0, make_tcp(client, web, with_flags(tcp_flag::syn)));
        const auto first = index_of(headers_of(sent.at(0)));
        const auto retries = counter_value(counter::retry_syn_timeout, "r");
        const auto late_answers = counter_value(counter::drop_late_answer, "r");
        const auto observed = histogram_content(histogram_id::syn_ack_time_ms);
        zone.now = zone.now + 800;
        const auto retried = zone.expire();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, retried.size());
        const auto second = index_of(headers_of(retried[0]));
        CPPUNIT_ASSERT(first != second);
        CPPUNIT_ASSERT_EQUAL(retries + 1, counter_value(counter::retry_syn_timeout, "r"));
        zone.now = zone.now + 7;
        const auto answer = with_flags(tcp_flag::syn | tcp_flag::ack);
        const auto connected = zone.deliver(1, make_tcp(target_address(second), client, answer));
        CPPUNIT_ASSERT(headers_of(connected.at(0)).destination == client);
        const auto late = zone.deliver(2, make_tcp(target_address(first), client, answer));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late.size());
        CPPUNIT_ASSERT(headers_of(late[0]).has_flags(tcp_flag::rst));
        CPPUNIT_ASSERT(headers_of(late[0]).destination == target_address(first));
        CPPUNIT_ASSERT_EQUAL(late_answers + 1, counter_value(counter::drop_late_answer, "r"));
        // The time counts from the SYN to the answering target, not from the first SYN.
        const auto after = histogram_content(histogram_id::syn_ack_time_ms);
        CPPUNIT_ASSERT_EQUAL(observed.total + 1, after.total);
        CPPUNIT_ASSERT_EQUAL(observed.sum + 7, after.sum);
    }

    auto owner_flow_keeps_its_target_when_targets_and_hosts_change() -> void {
        auto pool = test_pool(5);
        auto zone = test_zone(4, pool.build());
        const auto dns = at("10.9.0.1:53");
        auto before = std::map<int, int>{};
        const auto send = [&](int n, std::size_t host) {
            const auto out = zone.deliver(host, make_udp(at("10.0.0.8:" + std::to_string(2000 + n)), dns));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, out.size());
            return index_of(headers_of(out[0]));
        };
        for (auto n = 0; n < 200; ++n) {
            before[n] = send(n, static_cast<std::size_t>(n % 4));
        }
        pool.targets.push_back(test_pool(6).targets[5]);
        pool.targets[0].state = target_state::draining;
        zone.config = pool.build();
        zone.set_alive(3, false);
        zone.now = zone.now + 10;
        for (auto n = 0; n < 200; ++n) {
            const auto id =
                id_of(flow_key{at("10.0.0.8:" + std::to_string(2000 + n)), dns, ip_protocol::udp});
            const auto sent_to = send(n, static_cast<std::size_t>(n % 3));
            if (zone.flows[3]->owned.peek(id) == 0) {
                CPPUNIT_ASSERT_EQUAL(before[n], sent_to);
            }
            before[n] = sent_to;  // flows of the dead owner have their pure pick
        }
        // A host joins and takes over buckets while another target drains: previous owners forward by entry.
        zone.flows[3] = std::make_unique<flow_state>("z");
        zone.flows[3]->buckets.of_view(zone.views[3], zone.now);
        pool.targets[1].state = target_state::draining;
        zone.config = pool.build();
        zone.set_alive(3, true);
        const auto relayed = counter_value(counter::flow_previous_owner);
        for (auto n = 0; n < 200; ++n) {
            CPPUNIT_ASSERT_EQUAL(before[n], send(n, static_cast<std::size_t>(n % 4)));
        }
        CPPUNIT_ASSERT(counter_value(counter::flow_previous_owner) > relayed);
        CPPUNIT_ASSERT(zone.longest_relay_path <= 2);
    }

    auto syn_ack_without_timestamps_binds_the_flow_at_its_owner() -> void {
        for (auto n = 0; n < 20; ++n) {
            auto zone = test_zone(4, test_pool(5).build());
            const auto from = at("10.0.0.9:" + std::to_string(3000 + n));
            const auto sent = zone.deliver(0, make_tcp(from, web, with_flags(tcp_flag::syn)));
            const auto index = index_of(headers_of(sent.at(0)));
            const auto answer = without_timestamp(tcp_flag::syn | tcp_flag::ack);
            const auto out = zone.deliver(1, make_tcp(target_address(index), from, answer));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, out.size());
            CPPUNIT_ASSERT(headers_of(out[0]).destination == from);
            for (auto host = std::size_t{0}; host < 4; ++host) {
                const auto data = zone.deliver(host, make_tcp(from, web, without_timestamp(tcp_flag::ack)));
                CPPUNIT_ASSERT_EQUAL(index, index_of(headers_of(data.at(0))));
            }
            zone.now = zone.now + 800;
            CPPUNIT_ASSERT(zone.expire().empty());  // the SYN was answered
            zone.deliver(2, make_tcp(from, web, without_timestamp(tcp_flag::rst)));
            CPPUNIT_ASSERT_EQUAL(0U, counts_at(zone, index).slots_busy);
        }
    }

    auto reset_without_timestamps_reaches_the_target_of_a_carried_flow() -> void {
        auto zone = test_zone(4, test_pool(5).build());
        const auto index = open_flow(zone, client, 0);
        const auto out = zone.deliver(3, make_tcp(client, web, without_timestamp(tcp_flag::rst)));
        auto reached = std::set<int>{};
        for (const auto& packet : out) {
            reached.insert(index_of(headers_of(packet)));
        }
        CPPUNIT_ASSERT(reached.count(index) == 1);
        CPPUNIT_ASSERT_EQUAL(0U, counts_at(zone, index).slots_busy);
    }

    auto icmp_error_about_a_reverse_packet_reaches_its_target() -> void {
        auto zone = test_zone(4, test_pool(5).build());
        const auto index = open_flow(zone, client, 0);
        auto options = with_flags(tcp_flag::ack);
        options.timestamp = 0x01020300U + index;  // as the client's network saw the reverse packet
        const auto reverse = make_tcp(web, client, options);
        for (const auto quoted : {reverse.size(), std::size_t{28}}) {
            // build_icmp_prohibited quotes 8 bytes; the longer quotation is appended behind them.
            auto icmp = build_icmp_prohibited(reverse.data(), headers_of(reverse));
            icmp.insert(icmp.end(), reverse.begin() + 28,
                        reverse.begin() + static_cast<std::ptrdiff_t>(quoted));
            store_u16(&icmp[2], static_cast<std::uint16_t>(icmp.size()));
            auto parsed = packet_headers{};
            parsed.protocol = ip_protocol::icmp;
            parsed.source = client;
            parsed.destination = web;
            parsed.transport_offset = 20;
            parsed.payload_offset = 28;
            parsed.size = static_cast<std::uint16_t>(icmp.size());
            rewrite_icmp_error(icmp.data(), parsed, headers_of(reverse), {});  // recomputes the checksums
            for (auto host = std::size_t{0}; host < 4; ++host) {
                const auto out = zone.deliver(host, icmp);
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, out.size());
                CPPUNIT_ASSERT(headers_of(out[0]).destination.address == target_address(index).address);
            }
        }
    }

    auto silent_flow_is_reset_at_both_ends() -> void {
        auto zone = test_zone(3, test_pool(3).build());
        const auto index = open_flow(zone, client, 0);
        auto data = with_flags(tcp_flag::ack, index);
        data.sequence = 5000;
        data.acknowledgment = 7000;
        data.payload = 10;
        zone.deliver(1, make_tcp(client, web, data));
        zone.now = zone.now + 10000;
        zone.deliver(1, make_tcp(client, web, data));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             zone.flows[1]->suspects.collect_queries({}, 16, zone.now).size());
        const auto silent = zone.flows[1]->suspects.collect_silent({}, zone.now + 1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, silent.size());
        auto sink = packet_sink{};
        reset_silent_flow(zone.context(1), silent[0], sink);
        auto sequences = std::map<std::string, std::uint32_t>{};
        for (const auto& sent : sink.packets()) {
            const auto headers = *parse_packet(sent.inner, sent.size);
            CPPUNIT_ASSERT(headers.has_flags(tcp_flag::rst));
            if (sent.relay == relay_reason::none) {
                sequences[to_text(headers.destination)] = headers.tcp_sequence;
            }
        }
        CPPUNIT_ASSERT_EQUAL(7000U, sequences[to_text(client)]);
        CPPUNIT_ASSERT_EQUAL(5000U, sequences[to_text(target_address(index))]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(flow_forward_test);

}  // namespace

}  // namespace agatepost
