// Guards the check of documents against missed faults and faults reported for the wrong line.

#include <cppunit/extensions/HelperMacros.h>

#include "config/check_func.h"

namespace agatepost {

namespace {

class config_check_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(config_check_test);
    CPPUNIT_TEST(each_fault_is_reported_with_its_line);
    CPPUNIT_TEST(invalid_json_is_reported_with_its_line);
    CPPUNIT_TEST_SUITE_END();

public:
    auto each_fault_is_reported_with_its_line() -> void {
        const auto faults = check_document(R"({"profiles": [
{"name": "f", "reserve_percent": 60},
{"name": "g", "reserve_percent": 40}],
"services": [
{"name": "s", "address": "10.9.0.1", "port": 80, "pool": "p", "target_port": 1, "profile": "f"},
{"name": "t", "address": "10.9.0.2", "port": 80, "pool": "p", "target_port": 2,
 "profile": "g"},
{"name": "u", "address": "10.9.0.3", "port": 80,
 "pool": "empty", "target_port": 1,
 "profile": "none"}],
"targets": [
{"name": "a", "pool": "p", "address": "10.0.0.1", "zone": "z"},
{"name": "b", "pool": "p", "zone": "z",
 "address": "fd00::1"},
{"name": "c", "pool": "p", "address": "10.0.0.3", "zone": "z",
 "slots": 0}]})");
        auto lines = std::vector<int>{};
        for (const auto& fault : faults) {
            lines.push_back(fault.line);
            CPPUNIT_ASSERT(!fault.message.empty() && !fault.remedy.empty());
        }
        // Reserves, empty pool, unknown profile, address family for each of two services, slots out of range.
        CPPUNIT_ASSERT(lines == (std::vector<int>{7, 9, 10, 14, 14, 16}));
        CPPUNIT_ASSERT(faults[1].severity == fault_severity::warning);
    }

    auto invalid_json_is_reported_with_its_line() -> void {
        const auto faults = check_document("{\n\"profiles\": [\n{\"name\" 1}]}");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, faults.size());
        CPPUNIT_ASSERT_EQUAL(3, faults[0].line);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_check_test);

}  // namespace

}  // namespace agatepost
