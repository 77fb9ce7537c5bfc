// Guards the parser and rewriter: wrong checksums after a rewrite, and resets that a TCP stack would ignore.

#include <cppunit/extensions/HelperMacros.h>

#include "net/packet_func.h"

namespace agatepost {

namespace {

auto at(const char* text) -> endpoint {
    return *parse_endpoint(text);
}

class packet_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(packet_test);
    CPPUNIT_TEST(rewritten_packet_has_valid_checksums);
    CPPUNIT_TEST(damaged_packet_is_dropped_with_its_reason);
    CPPUNIT_TEST_SUITE_END();

public:
    auto rewritten_packet_has_valid_checksums() -> void {
        auto packet = build_reset(at("10.0.0.1:1234"), at("10.9.0.1:80"), 77);
        const auto headers = parse_packet(packet.data(), packet.size());
        CPPUNIT_ASSERT(headers.has_value());
        rewrite_destination(packet.data(), *headers, at("10.1.0.5:8080"));
        const auto rewritten = parse_packet(packet.data(), packet.size());
        CPPUNIT_ASSERT(rewritten.has_value());
        CPPUNIT_ASSERT(rewritten->destination == at("10.1.0.5:8080"));
    }

    auto damaged_packet_is_dropped_with_its_reason() -> void {
        auto packet = build_reset(at("10.0.0.1:1234"), at("10.9.0.1:80"), 77);
        packet[25] ^= 1U;
        const auto headers = parse_packet(packet.data(), packet.size());
        CPPUNIT_ASSERT(!headers.has_value());
        CPPUNIT_ASSERT(headers.error() == counter::drop_bad_checksum);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(packet_test);

}  // namespace

}  // namespace agatepost
