// Tests the translation of the platform's formats: packets, settings, store answers, registrations and
// configurations. Errors must name the malformed field, and no input may cause a crash.

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <absl/strings/escaping.h>

#include <limits>

#include "edge_test_func.h"
#include "platform/store_messages_func.h"

namespace agatepost::edge {

namespace {

// The example in the platform's documentation: SYN from 100.64.0.7:40001 to 198.18.0.1:443, sequence
// 0x11223344.
const auto example_syn =
    absl::HexStringToBytes("443322110000000007004064419c010012c6bb01010000000000d5c3b2a100000000");
const auto example_reset =
    absl::HexStringToBytes("0000000000000000010012c6bb0107004064419c8000000000000000000000000000");

auto bytes_of(const std::string& text) -> const std::uint8_t* {
    return reinterpret_cast<const std::uint8_t*>(text.data());
}

const auto example_settings = std::string(
    "node-name=edge-a-1\nzone=a\nbind-addresses.datagram-address=10.1.0.10:8172\n"
    "bind-addresses.ready-address=10.1.0.10:8167\nbind-addresses.control=10.1.0.10:8166\n"
    "internal-port-range=7720,7735\nseeds=10.1.0.10:8166,10.2.0.40:8166\n"
    "bounds.grace-s=6\nbounds.max-flow-s=60\nplatform.address=10.200.1.7:8169\nsome-new.field=1\n");

auto without_line(std::string text, const std::string& field) -> std::string {
    const auto start = text.find(field);
    text.erase(start, text.find('\n', start) - start + 1);
    return text;
}

auto page_body(const std::string& list, const std::string& value) -> std::string {
    return R"({")" + list + R"(":[{"key":"servers/i-1","value":")" + absl::Base64Escape(value) +
           R"(","revision":7,"created-at":7,"lease":0}],"has-more":false,"store-revision":9})";
}

// Applies a registration with one field changed and returns the fault's message.
auto fault_of_target(const std::string& field, const nlohmann::json& value) -> std::string {
    auto item = target_item({"i-7f3a91c2"}, 1);
    auto object = nlohmann::json::parse(item.value);
    if (value.is_null()) {
        object.erase(field);
    } else {
        object[field] = value;
    }
    const auto read = test_platform().read_item(item.key, object.dump());
    return read ? "" : read.error().message;
}

}  // namespace

class edge_platform_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(edge_platform_test);
    CPPUNIT_TEST(example_packet_is_read);
    CPPUNIT_TEST(example_reset_is_written);
    CPPUNIT_TEST(reset_of_an_open_flow_is_within_the_clients_window);
    CPPUNIT_TEST(packet_with_a_wrong_length_is_rejected);
    CPPUNIT_TEST(arbitrary_bytes_cause_no_crash);
    CPPUNIT_TEST(prefix_is_big_endian);
    CPPUNIT_TEST(carrier_is_the_only_change_to_a_packet);
    CPPUNIT_TEST(settings_are_read_and_unknown_fields_ignored);
    CPPUNIT_TEST(error_names_the_missing_setting);
    CPPUNIT_TEST(error_names_the_invalid_setting);
    CPPUNIT_TEST(registration_is_read);
    CPPUNIT_TEST(error_names_the_field_of_an_invalid_registration);
    CPPUNIT_TEST(registration_that_no_target_can_have_is_rejected);
    CPPUNIT_TEST(oversized_registration_is_rejected_unparsed);
    CPPUNIT_TEST(key_with_more_than_an_id_registers_no_target);
    CPPUNIT_TEST(longer_id_keeps_its_tag_and_has_a_carrier);
    CPPUNIT_TEST(configuration_is_read);
    CPPUNIT_TEST(error_names_route_and_field_of_an_invalid_configuration);
    CPPUNIT_TEST(foreign_keys_are_ignored);
    CPPUNIT_TEST(store_answers_are_read);
    CPPUNIT_TEST(malformed_store_answers_are_errors);
    CPPUNIT_TEST_SUITE_END();

public:
    auto example_packet_is_read() -> void {
        const auto packet = test_platform().read_packet(bytes_of(example_syn), example_syn.size());
        CPPUNIT_ASSERT(packet.has_value());
        auto expected = client_packet{};
        expected.flow = {0x64400007, 0xc6120001, 40001, 443};
        expected.sequence = 0x11223344;
        expected.is_syn = true;
        CPPUNIT_ASSERT(expected == *packet);
    }

    auto example_reset_is_written() -> void {
        const auto packet = test_platform().read_packet(bytes_of(example_syn), example_syn.size());
        auto out = std::string(bare_packet_bytes, 'x');
        test_platform().write_reset(reinterpret_cast<std::uint8_t*>(out.data()), *packet, false);
        CPPUNIT_ASSERT_EQUAL(absl::BytesToHexString(example_reset), absl::BytesToHexString(out));
    }

    // A client ignores a reset whose sequence number is far from its last acknowledgement.
    auto reset_of_an_open_flow_is_within_the_clients_window() -> void {
        auto packet = handshake_ack(1, 5);
        packet.acknowledgement = 0x01020304;
        auto out = std::string(bare_packet_bytes, 'x');
        test_platform().write_reset(reinterpret_cast<std::uint8_t*>(out.data()), packet, true);
        CPPUNIT_ASSERT_EQUAL(std::string("04030201"), absl::BytesToHexString(out.substr(0, 4)));
    }

    auto packet_with_a_wrong_length_is_rejected() -> void {
        const auto& read = test_platform().read_packet;
        CPPUNIT_ASSERT(!read(bytes_of(example_syn), example_syn.size() - 1));
        const auto longer = example_syn + "x";
        CPPUNIT_ASSERT(!read(bytes_of(longer), longer.size()));
        auto declared = example_syn;
        declared[24] = 1;
        CPPUNIT_ASSERT(!read(bytes_of(declared), declared.size()));
    }

    auto arbitrary_bytes_cause_no_crash() -> void {
        const auto ok = rc::check("any bytes", [](const std::string& bytes) {
            const auto packet = test_platform().read_packet(bytes_of(bytes), bytes.size());
            RC_ASSERT(!packet || bytes.size() == bare_packet_bytes + packet->payload_bytes);
            static_cast<void>(test_platform().read_page(bytes));
            static_cast<void>(test_platform().read_item("servers/i-1", bytes));
            static_cast<void>(test_platform().read_item("op/config", bytes));
            static_cast<void>(test_platform().read_settings(bytes));
        });
        CPPUNIT_ASSERT(ok);
    }

    auto prefix_is_big_endian() -> void {
        auto out = std::string(forward_prefix_bytes, 'x');
        test_platform().write_prefix(reinterpret_cast<std::uint8_t*>(out.data()), 0x7f3a91c2);
        CPPUNIT_ASSERT_EQUAL(std::string("000000007f3a91c2"), absl::BytesToHexString(out));
    }

    // The packet's checksum covers all but the carrier, so a receiver drops a packet with any other change.
    auto carrier_is_the_only_change_to_a_packet() -> void {
        auto changed = example_syn;
        test_platform().write_carrier(reinterpret_cast<std::uint8_t*>(changed.data()), 0x7f3a91c2);
        CPPUNIT_ASSERT_EQUAL(example_syn.substr(0, 30), changed.substr(0, 30));
        const auto read = test_platform().read_packet(bytes_of(changed), changed.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0x7f3a91c2}, read->carrier);
    }

    auto settings_are_read_and_unknown_fields_ignored() -> void {
        const auto read =
            test_platform().read_settings(example_settings + "zones.b=r1\nzones.a=r1\nzones.=r1\n");
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT(read->zones == std::vector<std::string>({"a", "b"}));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), read->zone);
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.10:8172"), to_text(read->data_address));
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.10:7720"), to_text(read->peer_address));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{60000}, read->max_flow_ms);
        // Cold targets are limited only if both bounds are there.
        const auto read_with = [](const std::string& lines) {
            return test_platform().read_settings(example_settings + lines)->cold;
        };
        CPPUNIT_ASSERT(!read->cold && !read_with("bounds.cold-slack=5\n"));
        CPPUNIT_ASSERT(read_with("bounds.cold-overage=1.5\nbounds.cold-slack=5\n") == (cold_bounds{1.5, 5}));
        // The own address is no seed, and seeds get the heartbeat port.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read->seeds.size());
        CPPUNIT_ASSERT_EQUAL(std::string("10.2.0.40:7720"), to_text(read->seeds.front()));
        // The shortest of the bounds for changes applies.
        const auto bound_with = [](const std::string& lines) {
            return test_platform().read_settings(example_settings + lines)->change_bound_ms;
        };
        CPPUNIT_ASSERT_EQUAL(default_change_bound_ms, bound_with(""));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4000}, bound_with("bounds.drain-ms=5000\nbounds.config-ms=4000\n"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2500},
                             bound_with("bounds.drain-ms=5000\nbounds.evacuation-ms=2500\n"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3600000}, bound_with("bounds.drain-ms=1e300\n"));
        // Without the interval of registrations, any outage of the store may let them lapse.
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, read->registration_interval_ms);
        const auto with_interval = test_platform().read_settings(example_settings + "heartbeat-ms=770\n");
        CPPUNIT_ASSERT_EQUAL(std::int64_t{770}, with_interval->registration_interval_ms);
        CPPUNIT_ASSERT(!test_platform().read_settings(example_settings + "heartbeat-ms=often\n"));
    }

    auto error_names_the_missing_setting() -> void {
        for (const auto* field : {"zone", "bind-addresses.datagram-address", "platform.address",
                                  "bounds.grace-s", "internal-port-range", "bounds.max-flow-s"}) {
            const auto read = test_platform().read_settings(without_line(example_settings, field));
            CPPUNIT_ASSERT(!read);
            CPPUNIT_ASSERT(read.error().message.find(field) != std::string::npos);
        }
        CPPUNIT_ASSERT(test_platform().read_settings(without_line(example_settings, "seeds")).has_value());
    }

    auto error_names_the_invalid_setting() -> void {
        for (const auto* line : {"platform.address=nowhere", "bounds.grace-s=-1",
                                 "internal-port-range=7720,7721", "bounds.cold-overage=nan",
                                 "bounds.cold-slack=-1", "bounds.drain-ms=inf", "bounds.config-ms=x"}) {
            const auto read = test_platform().read_settings(example_settings + line + "\n");
            CPPUNIT_ASSERT(!read);
            const auto field = std::string(line).substr(0, std::string(line).find('='));
            CPPUNIT_ASSERT(read.error().message.find(field) != std::string::npos);
        }
    }

    auto registration_is_read() -> void {
        const auto item =
            target_item({"i-7f3a91c2", "desk", "b", "10.2.64.3:8080", "draining", 3, 1500, 77}, 1);
        const auto read = test_platform().read_item(item.key, item.value);
        CPPUNIT_ASSERT(read.has_value());
        auto expected = target_entry{};
        expected.name = "i-7f3a91c2";
        expected.tag = 0x7f3a91c2;
        expected.carrier = 0x7f3a91c2;
        expected.service = "desk";
        expected.zone = "b";
        expected.address = 0x0a024003;
        expected.port = 8080;
        expected.slots = 3;
        expected.state = target_state::draining;
        expected.cold_ms = 1500;
        expected.started_ms = 77;
        CPPUNIT_ASSERT(std::get<target_entry>(*read) == expected);
    }

    auto error_names_the_field_of_an_invalid_registration() -> void {
        for (const auto* field : {"service", "address", "zone", "state", "slots", "cold-remaining-ms",
                                  "version", "call-seq", "born"}) {
            CPPUNIT_ASSERT(fault_of_target(field, nullptr).find(field) != std::string::npos);
            CPPUNIT_ASSERT(fault_of_target(field, nlohmann::json::array()).find(field) != std::string::npos);
        }
        CPPUNIT_ASSERT(fault_of_target("state", "resting").find("state") != std::string::npos);
        CPPUNIT_ASSERT(fault_of_target("slots", 0).find("slots") != std::string::npos);
        CPPUNIT_ASSERT(fault_of_target("slots", -1).find("slots") != std::string::npos);
        CPPUNIT_ASSERT(fault_of_target("address", "10.0.0.1:99999").find("address") != std::string::npos);
        CPPUNIT_ASSERT(fault_of_target("call-seq", "3").find("call-seq") != std::string::npos);
        CPPUNIT_ASSERT(fault_of_target("born", 1.5).find("born") != std::string::npos);
    }

    // Another writer's entry was used as a target: flows were sent to port 0, and the end of a cold start
    // overflowed.
    auto registration_that_no_target_can_have_is_rejected() -> void {
        for (const auto* address : {"10.0.0.1:0", "0.0.0.0:8000", "224.0.0.1:8000", "255.255.255.255:8000"}) {
            CPPUNIT_ASSERT(fault_of_target("address", address).find("address") != std::string::npos);
        }
        constexpr auto highest = std::numeric_limits<std::int64_t>::max();
        CPPUNIT_ASSERT(fault_of_target("cold-remaining-ms", highest).find("cold-") != std::string::npos);
        CPPUNIT_ASSERT(fault_of_target("slots", 1U << 31U).find("slots") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string(), fault_of_target("cold-remaining-ms", 3600000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fault_of_target("address", "10.0.0.1:65535"));
    }

    // Parsing 1 MB of nested arrays takes more memory than some machines have.
    auto oversized_registration_is_rejected_unparsed() -> void {
        const auto valid = target_item({"i-1"}, 1).value;
        const auto padded = valid + std::string(platform::max_registration_bytes - valid.size(), ' ');
        CPPUNIT_ASSERT(test_platform().read_item("servers/i-1", padded).has_value());
        const auto read = test_platform().read_item("servers/i-1", padded + " ");
        CPPUNIT_ASSERT(!read);
        CPPUNIT_ASSERT(read.error().message.find("servers/i-1") != std::string::npos);
    }

    // Another writer's entry took over the carrier of a target, so its flows were led elsewhere.
    auto key_with_more_than_an_id_registers_no_target() -> void {
        const auto item = target_item({"a/i-1"}, 1);
        CPPUNIT_ASSERT(!test_platform().read_item(item.key, item.value));
    }

    auto longer_id_keeps_its_tag_and_has_a_carrier() -> void {
        const auto item = target_item({"i-4c85b43683"}, 1);
        const auto read = test_platform().read_item(item.key, item.value);
        const auto& entry = std::get<target_entry>(*read);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x4c85b43683}, entry.tag);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0x85b43683}, entry.carrier);
    }

    auto configuration_is_read() -> void {
        const auto value =
            R"({"version":7,"routes":[{"name":"r","hostname":"198.18.0.1","prefix":"/8443/",)"
            R"("route-type":"download","timeout-ms":1500,"target-latency-ms":250,"priority":2,"backends":)"
            R"([{"service":"x","weight":90},{"service":"y","weight":10}]}],)"
            R"("limits":{"idle-timeout-ms":15000}})";
        const auto read = test_platform().read_item("op/config", value);
        CPPUNIT_ASSERT(read.has_value());
        const auto& table = std::get<route_table>(*read);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, table.version);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{15000}, table.idle_timeout_ms);
        const auto expected =
            route_entry{0xc6120001, 8443, {{"x", 90}, {"y", 10}}, request_kind::download, 1500, 250, 2};
        CPPUNIT_ASSERT(table.routes.at(0) == expected);
    }

    auto error_names_route_and_field_of_an_invalid_configuration() -> void {
        const auto fault = [](const std::string& from, const std::string& to) {
            auto value = routes_item({test_route{}}, 1, 1).value;
            value.replace(value.find(from), from.size(), to);
            const auto read = test_platform().read_item("op/config", value);
            CPPUNIT_ASSERT(!read);
            return read.error().message;
        };
        CPPUNIT_ASSERT(fault("198.18.0.1", "example").find("route r-443: field 'hostname'") !=
                       std::string::npos);
        CPPUNIT_ASSERT(fault("/443/", "/0/").find("'prefix'") != std::string::npos);
        CPPUNIT_ASSERT(fault("\"idempotent\"", "3").find("'route-type'") != std::string::npos);
        CPPUNIT_ASSERT(fault("\"version\":1", "\"version\":\"1\"").find("'version'") != std::string::npos);
    }

    auto foreign_keys_are_ignored() -> void {
        const auto read = test_platform().read_item("somebody/else", "not json");
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT(std::holds_alternative<std::monostate>(*read));
    }

    auto store_answers_are_read() -> void {
        for (const auto* list : {"items", "events"}) {
            const auto page = test_platform().read_page(page_body(list, "hello"));
            CPPUNIT_ASSERT(page.has_value());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, page->revision);
            CPPUNIT_ASSERT(page->items.at(0) == (store_item{"servers/i-1", "hello", 7, false}));
        }
        const auto removal = test_platform().read_page(
            R"({"events":[{"key":"servers/i-1","revision":8,"removed":true}],"store-revision":8})");
        CPPUNIT_ASSERT(removal->items.at(0) == (store_item{"servers/i-1", "", 8, true}));
    }

    auto malformed_store_answers_are_errors() -> void {
        for (const auto* body : {"", "[]", "{}", R"({"items":[]})", R"({"items":{},"store-revision":1})",
                                 R"({"items":[{"key":"k","revision":1,"value":"%%%"}],"store-revision":1})",
                                 R"({"items":[{"key":"k","revision":"1","value":""}],"store-revision":1})",
                                 R"({"items":[7],"store-revision":1})"}) {
            CPPUNIT_ASSERT(!test_platform().read_page(body));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_platform_test);

}  // namespace agatepost::edge
