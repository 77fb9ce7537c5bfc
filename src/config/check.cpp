#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "config/check_func.h"
#include "config/config_func.h"

namespace agatepost {

namespace {

using nlohmann::json;

// Iterates over a text and counts its lines. All copies share the count, because the parser copies its
// iterator.
class counting_iterator {
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    counting_iterator(const char* at, int* line) : at_(at), line_(line) {}

    auto operator*() const -> const char& { return *at_; }
    auto operator++() -> counting_iterator& {
        *line_ += *at_ == '\n' ? 1 : 0;
        ++at_;
        return *this;
    }
    friend auto operator==(const counting_iterator& a, const counting_iterator& b) -> bool {
        return a.at_ == b.at_;
    }
    friend auto operator!=(const counting_iterator& a, const counting_iterator& b) -> bool {
        return a.at_ != b.at_;
    }

private:
    const char* at_;
    int* line_;
};

// Records the line of each object and field of the lists, under paths such as "services/2" and
// "services/2/port".
class position_reader : public json::json_sax_t {
public:
    explicit position_reader(const int& line) : line_(line) {}

    auto null() -> bool override { return true; }
    auto boolean(bool /*value*/) -> bool override { return true; }
    auto number_integer(number_integer_t /*value*/) -> bool override { return true; }
    auto number_unsigned(number_unsigned_t /*value*/) -> bool override { return true; }
    auto number_float(number_float_t /*value*/, const string_t& /*text*/) -> bool override { return true; }
    auto string(string_t& /*value*/) -> bool override { return true; }
    auto binary(binary_t& /*value*/) -> bool override { return true; }

    auto start_object(std::size_t /*size*/) -> bool override {
        ++depth_;
        if (depth_ == 3) {
            lines_[absl::StrCat(list_, "/", position_)] = line_;
        }
        return true;
    }
    auto key(string_t& name) -> bool override {
        if (depth_ == 1) {
            list_ = name;
            position_ = 0;
            lines_[name] = line_;
        } else if (depth_ == 3) {
            lines_[absl::StrCat(list_, "/", position_, "/", name)] = line_;
        }
        return true;
    }
    auto end_object() -> bool override {
        position_ += depth_ == 3 ? 1 : 0;
        --depth_;
        return true;
    }
    auto start_array(std::size_t /*size*/) -> bool override {
        ++depth_;
        return true;
    }
    auto end_array() -> bool override {
        --depth_;
        return true;
    }
    auto parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& e) -> bool override {
        fault_ = e.what();
        return false;
    }

    auto fault() const -> const std::string& { return fault_; }

    // Returns the line of a field, or of its object if the field is absent.
    auto line_of(const std::string& object, const std::string& field) const -> int {
        auto found = lines_.find(object + "/" + field);
        found = found == lines_.end() ? lines_.find(object) : found;
        return found == lines_.end() ? 1 : found->second;
    }

private:
    const int& line_;
    int depth_ = 0;
    std::string list_;
    int position_ = 0;
    std::map<std::string, int> lines_;
    std::string fault_;
};

// The document's objects, each with its path, and the faults found so far.
struct document_check {
    const position_reader& positions;
    std::vector<config_fault> faults;
    std::map<std::string, std::pair<profile, std::string>> profiles;  // by name, with the path
    std::vector<std::pair<service, std::string>> services;
    std::vector<std::pair<target, std::string>> targets;

    auto add(const std::string& object_path, const std::string& field, const std::string& message,
             const std::string& remedy, fault_severity severity = fault_severity::error) -> void {
        faults.push_back({positions.line_of(object_path, field), severity, message, remedy});
    }
};

// Returns the field that a message of parse_object quotes.
auto quoted_field(const std::string& message) -> std::string {
    const auto word = message.find("field '");
    if (word == std::string::npos) {
        return {};
    }
    const auto start = word + 7;
    return message.substr(start, message.find('\'', start) - start);
}

auto read_objects(document_check& check, const json& document) -> void {
    auto names = std::set<std::string>{};
    for (const auto& list : document.items()) {
        const auto kind = list.key().substr(0, list.key().size() - (list.key().empty() ? 0U : 1U));
        if ((kind != "profile" && kind != "service" && kind != "target") || list.key() != kind + "s" ||
            !list.value().is_array()) {
            check.add(list.key(), "", "'" + list.key() + "' is not a list of objects",
                      "use the lists profiles, services and targets");
            continue;
        }
        for (auto i = std::size_t{0}; i < list.value().size(); ++i) {
            const auto object_path = absl::StrCat(list.key(), "/", i);
            const auto parsed = parse_object(kind, list.value()[i]);
            if (!parsed) {
                check.add(object_path, quoted_field(parsed.error().message), parsed.error().message,
                          parsed.error().remedy);
                continue;
            }
            const auto name = list.value()[i]["name"].get<std::string>();
            const auto key = absl::StrCat(kind, "/", name);
            if (!names.insert(key).second) {
                check.add(object_path, "name", absl::StrCat(key, " appears twice"), "remove one of them");
            }
            if (const auto* p = std::get_if<profile>(&parsed->object)) {
                check.profiles[name] = {*p, object_path};
            } else if (const auto* s = std::get_if<service>(&parsed->object)) {
                check.services.emplace_back(*s, object_path);
            } else if (const auto* t = std::get_if<target>(&parsed->object)) {
                check.targets.emplace_back(*t, object_path);
            }
        }
    }
}

auto check_services(document_check& check) -> void {
    auto addresses = std::map<std::pair<endpoint, ip_protocol>, std::string>{};
    auto ports = std::map<std::tuple<std::string, std::uint16_t, ip_protocol>, std::string>{};
    auto pools = std::set<std::string>{};
    for (const auto& [t, object_path] : check.targets) {
        pools.insert(t.state == target_state::gone ? std::string() : t.pool);
    }
    for (const auto& [s, object_path] : check.services) {
        const auto key = "service/" + s.name;
        if (check.profiles.count(s.profile_name) == 0) {
            check.add(object_path, "profile", key + ": profile '" + s.profile_name + "' does not exist",
                      "add the profile or correct the name");
        }
        const auto [holder, is_own] = addresses.emplace(std::pair(s.address, s.protocol), s.name);
        if (!is_own) {
            check.add(object_path, "address",
                      key + ": address " + to_text(s.address) + " belongs to service " + holder->second,
                      "give each service its own address, port and protocol");
        }
        const auto [user, is_free] = ports.emplace(std::tuple(s.pool, s.target_port, s.protocol), s.name);
        if (!is_free) {
            check.add(object_path, "target_port",
                      absl::StrCat(key, ": target port ", s.target_port, " of pool ", s.pool,
                                   " is used by service ", user->second),
                      "give each service of a pool its own target port");
        }
        if (pools.count(s.pool) == 0) {
            check.add(object_path, "pool", key + ": pool '" + s.pool + "' has no targets",
                      "add targets to the pool or correct the name", fault_severity::warning);
        }
    }
}

auto check_targets(document_check& check) -> void {
    auto indexes = std::map<std::pair<std::string, int>, std::string>{};
    auto addresses = std::map<std::pair<std::string, ip_address>, std::string>{};
    auto reverse = std::map<std::tuple<ip_address, std::uint16_t, ip_protocol>, std::string>{};
    for (const auto& [t, object_path] : check.targets) {
        const auto key = "target/" + t.name;
        const auto [holder, is_own] = indexes.emplace(std::pair(t.pool, static_cast<int>(t.index)), t.name);
        if (t.index != 0 && !is_own) {
            check.add(object_path, "index",
                      absl::StrCat(key, ": index ", t.index, " of pool ", t.pool, " belongs to target ",
                                   holder->second),
                      "leave 'index' out to get a free one");
        }
        if (t.state == target_state::gone) {
            continue;
        }
        const auto [user, is_free] = addresses.emplace(std::pair(t.pool, t.address), t.name);
        if (!is_free) {
            check.add(object_path, "address",
                      key + ": address " + to_text(t.address) + " belongs to target " + user->second +
                          " of the pool",
                      "give each target of a pool its own address");
            continue;
        }
        for (const auto& [s, service_place] : check.services) {
            if (s.pool != t.pool) {
                continue;
            }
            if (s.address.address.is_v6 != t.address.is_v6) {
                check.add(object_path, "address",
                          key + ": address " + to_text(t.address) + " and address " +
                              to_text(s.address.address) + " of service " + s.name +
                              " are of different families",
                          "use IPv4 for both or IPv6 for both");
            }
            const auto [owner, is_first] =
                reverse.emplace(std::tuple(t.address, s.target_port, s.protocol), s.name);
            if (!is_first) {
                check.add(object_path, "address",
                          absl::StrCat(key, ": port ", s.target_port, " at ", to_text(t.address),
                                       " serves both service ", owner->second, " and service ", s.name),
                          "give each service its own target port at this address");
            }
        }
    }
}

// The reserves of a pool's profiles share the same slots and connections.
auto check_reserves(document_check& check) -> void {
    auto profiles_of_pool = std::map<std::string, std::set<std::string>>{};
    for (const auto& [s, object_path] : check.services) {
        auto& names = profiles_of_pool[s.pool];
        const auto found = check.profiles.find(s.profile_name);
        if (found == check.profiles.end() || !names.insert(s.profile_name).second) {
            continue;
        }
        auto total = 0;
        for (const auto& name : names) {
            total += check.profiles[name].first.reserve_percent;
        }
        if (total >= 100) {
            check.add(object_path, "profile",
                      absl::StrCat("service/", s.name, ": the profiles of pool ", s.pool, " reserve ", total,
                                   "% together, so nothing is left for others"),
                      "lower 'reserve_percent' so that the sum is below 100");
        }
    }
}

}  // namespace

auto check_document(const std::string& text) -> std::vector<config_fault> {
    auto line = 1;
    auto positions = position_reader(line);
    const auto is_json = json::sax_parse(counting_iterator(text.data(), &line),
                                         counting_iterator(text.data() + text.size(), &line), &positions);
    if (!is_json) {
        return {{line, fault_severity::error, "not JSON: " + positions.fault(), "correct the syntax"}};
    }
    const auto document = json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return {{1, fault_severity::error, "the document is not a JSON object",
                 R"(write {"profiles": [...], "services": [...], "targets": [...]})"}};
    }
    auto check = document_check{positions, {}, {}, {}, {}};
    read_objects(check, document);
    check_services(check);
    check_targets(check);
    check_reserves(check);
    std::stable_sort(check.faults.begin(), check.faults.end(),
                     [](const auto& a, const auto& b) { return a.line < b.line; });
    return check.faults;
}

}  // namespace agatepost
