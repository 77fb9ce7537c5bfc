// Tests of the packet parser and rewriter. They guard against wrong checksums after a rewrite, resets that a
// TCP stack ignores, ICMP errors that name the wrong endpoint, and out-of-bounds reads on damaged packets.

#include "net/packet_func.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "net/byte_order_func.h"
#include "net/checksum_func.h"
#include "net/geneve_func.h"
#include "packet_builder.h"

namespace agatepost {

namespace {

auto at(const char* text) -> endpoint {
    return *parse_endpoint(text);
}

auto drop_reason(const std::vector<std::uint8_t>& packet) -> counter {
    const auto headers = parse_packet(packet.data(), packet.size());
    return headers ? counter::end : headers.error();
}

// Generates arbitrary TCP and UDP packets.
auto arbitrary_spec() -> rc::Gen<test::packet_spec> {
    return rc::gen::exec([] {
        auto spec = test::packet_spec{};
        const auto is_v6 = *rc::gen::arbitrary<bool>();
        spec.source = at(is_v6 ? "[2001:db8::1]:0" : "10.0.0.1:0");
        spec.destination = at(is_v6 ? "[2001:db8::2]:0" : "10.9.0.1:0");
        spec.source.port = *rc::gen::arbitrary<std::uint16_t>();
        spec.destination.port = *rc::gen::arbitrary<std::uint16_t>();
        spec.protocol = *rc::gen::element(ip_protocol::tcp, ip_protocol::udp);
        spec.has_timestamp = *rc::gen::arbitrary<bool>();
        spec.timestamp_value = *rc::gen::arbitrary<std::uint32_t>();
        spec.timestamp_echo = *rc::gen::arbitrary<std::uint32_t>();
        spec.leading_nops = *rc::gen::inRange<std::size_t>(0, 6);
        spec.payload = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
        return spec;
    });
}

class packet_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(packet_test);
    CPPUNIT_TEST(rewritten_packet_equals_rebuilt_packet);
    CPPUNIT_TEST(damaged_packet_is_dropped_with_its_reason);
    CPPUNIT_TEST(reset_reply_is_acceptable_to_the_sender);
    CPPUNIT_TEST(icmp_error_is_translated_at_both_levels);
    CPPUNIT_TEST(random_and_mutated_packets_are_parsed_within_bounds);
    CPPUNIT_TEST(random_geneve_headers_are_parsed_within_bounds);
    CPPUNIT_TEST(geneve_options_are_checked);
    CPPUNIT_TEST_SUITE_END();

public:
    // Compares an incrementally rewritten packet with one that is built with the new values.
    auto rewritten_packet_equals_rebuilt_packet() -> void {
        const auto holds = rc::check("rewritten packet equals rebuilt packet", [] {
            auto spec = *arbitrary_spec();
            auto packet = test::build_packet(spec);
            const auto headers = parse_packet(packet.data(), packet.size());
            RC_ASSERT(headers.has_value());
            RC_ASSERT(headers->has_timestamp() == (spec.has_timestamp && spec.protocol == ip_protocol::tcp));
            const auto other = at(spec.source.address.is_v6 ? "[2001:db8::77]:99" : "172.16.5.77:99");
            if (*rc::gen::arbitrary<bool>()) {
                rewrite_source(packet.data(), *headers, other);
                spec.source = other;
            } else {
                rewrite_destination(packet.data(), *headers, other);
                spec.destination = other;
            }
            if (headers->has_timestamp()) {
                rewrite_timestamp_value_low(packet.data(), *headers, 0xa7);
                rewrite_timestamp_echo_low(packet.data(), *headers, 0);
                spec.timestamp_value = (spec.timestamp_value & ~0xffU) | 0xa7U;
                spec.timestamp_echo &= ~0xffU;
            }
            const auto rebuilt = test::build_packet(spec);
            const auto reparsed = parse_packet(packet.data(), packet.size());
            RC_ASSERT(reparsed.has_value());
            // The checksum fields are not compared: ones-complement arithmetic has two representations of
            // zero.
            RC_ASSERT(reparsed->source == spec.source);
            RC_ASSERT(reparsed->destination == spec.destination);
            RC_ASSERT(std::vector<std::uint8_t>(packet.begin() + reparsed->payload_offset, packet.end()) ==
                      std::vector<std::uint8_t>(rebuilt.begin() + reparsed->payload_offset, rebuilt.end()));
            if (headers->has_timestamp()) {
                RC_ASSERT(load_u32(packet.data() + headers->timestamp_offset) == spec.timestamp_value);
                RC_ASSERT(load_u32(packet.data() + headers->timestamp_offset + 4) == spec.timestamp_echo);
            }
        });
        CPPUNIT_ASSERT(holds);
    }

    auto damaged_packet_is_dropped_with_its_reason() -> void {
        auto spec = test::packet_spec{};
        spec.source = at("10.0.0.1:1234");
        spec.destination = at("10.9.0.1:80");
        spec.payload = {1, 2, 3};
        const auto good = test::build_packet(spec);
        CPPUNIT_ASSERT(drop_reason(good) == counter::end);

        auto flipped = good;
        flipped.back() ^= 1U;
        CPPUNIT_ASSERT(drop_reason(flipped) == counter::drop_bad_checksum);
        auto wrong_header = good;
        wrong_header[8] ^= 1U;
        CPPUNIT_ASSERT(drop_reason(wrong_header) == counter::drop_bad_checksum);
        const auto cut = std::vector<std::uint8_t>(good.begin(), good.end() - 1);
        CPPUNIT_ASSERT(drop_reason(cut) == counter::drop_short_packet);
        CPPUNIT_ASSERT(drop_reason({}) == counter::drop_short_packet);
        CPPUNIT_ASSERT(drop_reason({0x15, 0}) == counter::drop_bad_header);

        auto fragment = good;
        fragment[6] = 0x20;
        store_u16(fragment.data() + 10, 0);
        store_u16(fragment.data() + 10,
                  static_cast<std::uint16_t>(~checksum_fold(checksum_add(0, fragment.data(), 20))));
        CPPUNIT_ASSERT(drop_reason(fragment) == counter::drop_fragment);

        auto bad_option = good;
        bad_option[20 + 20 + 3] = 60;  // length of the timestamp option extends beyond the header
        CPPUNIT_ASSERT(drop_reason(bad_option) == counter::drop_bad_header);
    }

    auto reset_reply_is_acceptable_to_the_sender() -> void {
        auto spec = test::packet_spec{};
        spec.source = at("10.0.0.1:1234");
        spec.destination = at("10.9.0.1:80");
        const auto check = [&](std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgment) {
            spec.tcp_flags = flags;
            const auto packet = test::build_packet(spec);
            const auto reset = build_reset_reply(*parse_packet(packet.data(), packet.size()));
            const auto headers = parse_packet(reset.data(), reset.size());
            CPPUNIT_ASSERT(headers.has_value());
            CPPUNIT_ASSERT(headers->source == spec.destination);
            CPPUNIT_ASSERT(headers->destination == spec.source);
            CPPUNIT_ASSERT(headers->has_flags(tcp_flag::rst));
            CPPUNIT_ASSERT_EQUAL(sequence, headers->tcp_sequence);
            CPPUNIT_ASSERT_EQUAL(acknowledgment, headers->tcp_acknowledgment);
        };
        check(tcp_flag::syn, 0, 1001);  // refused SYN: RFC 9293 requires ACK = SEG.SEQ + SEG.LEN
        check(tcp_flag::ack, 2000, 0);  // within a connection: SEQ = SEG.ACK
        check(tcp_flag::fin, 0, 1001);  // a FIN occupies one sequence number
    }

    auto icmp_error_is_translated_at_both_levels() -> void {
        auto spec = test::packet_spec{};
        spec.source = at("10.0.0.1:1234");
        spec.destination = at("127.10.1.5:8080");
        const auto sent = test::build_packet(spec);
        auto error = build_icmp_prohibited(sent.data(), *parse_packet(sent.data(), sent.size()));
        const auto headers = parse_packet(error.data(), error.size());
        CPPUNIT_ASSERT(headers.has_value());
        const auto quoted = parse_quoted_packet(error.data() + headers->payload_offset,
                                                headers->size - headers->payload_offset);
        CPPUNIT_ASSERT(quoted.has_value());
        CPPUNIT_ASSERT(quoted->destination == spec.destination);
        const auto service = at("10.9.0.1:80");
        auto change = icmp_rewrite{};
        change.outer_source = &service;
        change.quoted_destination = &service;
        rewrite_icmp_error(error.data(), *headers, *quoted, change);
        const auto after = parse_packet(error.data(), error.size());
        CPPUNIT_ASSERT(after.has_value());
        CPPUNIT_ASSERT(after->source.address == service.address);
        const auto inner =
            parse_quoted_packet(error.data() + after->payload_offset, after->size - after->payload_offset);
        CPPUNIT_ASSERT(inner->destination == service);
    }

    // CI runs this under the address sanitizer, which reports reads beyond the buffer.
    auto random_and_mutated_packets_are_parsed_within_bounds() -> void {
        const auto holds = rc::check("mutated packets are parsed within bounds", [] {
            auto packet = test::build_packet(*arbitrary_spec());
            const auto changes = *rc::gen::container<std::vector<std::pair<std::uint16_t, std::uint8_t>>>(
                rc::gen::arbitrary<std::pair<std::uint16_t, std::uint8_t>>());
            for (const auto& [position, value] : changes) {
                packet[position % packet.size()] = value;
            }
            packet.resize(packet.size() - *rc::gen::inRange<std::size_t>(0, packet.size() + 1));
            const auto check = [&](const auto& headers) {
                if (headers && !headers->embedded) {
                    RC_ASSERT(headers->size <= packet.size());
                    RC_ASSERT(headers->payload_offset <= headers->size);
                    RC_ASSERT(headers->timestamp_offset + 8U <= headers->payload_offset);
                }
                if (headers && headers->timestamp_offset != 0) {
                    RC_ASSERT(headers->timestamp_offset + 8U <= packet.size());
                }
            };
            check(parse_packet(packet.data(), packet.size()));
            check(parse_quoted_packet(packet.data(), packet.size()));
            const auto noise = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
            (void)parse_packet(noise.data(), noise.size());
            (void)parse_quoted_packet(noise.data(), noise.size());
        });
        CPPUNIT_ASSERT(holds);
    }

    auto random_geneve_headers_are_parsed_within_bounds() -> void {
        const auto holds = rc::check("geneve headers are parsed within bounds", [] {
            auto noise = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
            if (noise.size() > 4) {
                noise[0] &= 0x3fU;  // version 0, so that the options are parsed
                noise[1] = 0;
                store_u16(noise.data() + 2, 0x0800);
            }
            const auto header = parse_geneve(noise.data(), noise.size());
            RC_ASSERT(!header || header->inner_offset <= noise.size());
        });
        CPPUNIT_ASSERT(holds);
    }

    auto geneve_options_are_checked() -> void {
        auto buffer = std::vector<std::uint8_t>(geneve_headroom + 20);
        auto* inner = buffer.data() + geneve_headroom;
        inner[0] = 0x45;
        auto* header = write_geneve(inner, 0xabcdef, relay_reason::owner);
        const auto size = static_cast<std::size_t>(buffer.data() + buffer.size() - header);
        const auto parsed = parse_geneve(header, size);
        CPPUNIT_ASSERT(parsed.has_value());
        CPPUNIT_ASSERT_EQUAL(0xabcdefU, parsed->vni);
        CPPUNIT_ASSERT(parsed->relay == relay_reason::owner);
        header[10] = 0x82;  // another critical type
        CPPUNIT_ASSERT(parse_geneve(header, size).error() == counter::drop_unknown_option);
        header[10] = 0x02;  // not critical: skipped
        CPPUNIT_ASSERT(parse_geneve(header, size)->relay == relay_reason::none);
        header[11] = 31;  // longer than the options
        CPPUNIT_ASSERT(parse_geneve(header, size).error() == counter::drop_bad_geneve);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(packet_test);

}  // namespace

}  // namespace agatepost
