#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

#include "store/etcd_message_func.h"

namespace agatepost {

auto to_base64(const std::string& text) -> std::string {
    return absl::Base64Escape(text);
}

auto from_base64(const std::string& text) -> std::string {
    auto decoded = std::string();
    return absl::Base64Unescape(text, &decoded) ? decoded : std::string();
}

auto number_field(const nlohmann::json& document, const char* field) -> std::int64_t {
    const auto found = document.find(field);
    if (found == document.end()) {
        return 0;
    }
    auto number = std::int64_t{0};
    if (found->is_string() && absl::SimpleAtoi(found->get_ref<const std::string&>(), &number)) {
        return number;
    }
    return found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

auto bytes_field(const nlohmann::json& document, const char* field) -> std::string {
    const auto found = document.find(field);
    return found != document.end() && found->is_string() ? from_base64(found->get<std::string>())
                                                         : std::string();
}

auto range_end_of(std::string prefix) -> std::string {
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xffU) {
        prefix.pop_back();
    }
    if (prefix.empty()) {
        return std::string(1, '\0');  // the whole key space
    }
    ++prefix.back();
    return prefix;
}

}  // namespace agatepost
