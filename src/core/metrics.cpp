#include <absl/base/thread_annotations.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/synchronization/mutex.h>

#include <map>
#include <nlohmann/json.hpp>

#include "core/counter_func.h"
#include "core/histogram_func.h"
#include "core/metrics_func.h"

namespace agatepost {

namespace {

struct gauge_row {
    std::string help;
    std::function<double()> read;
};

struct gauge_table {
    absl::Mutex mutex;
    std::map<std::string, gauge_row> rows ABSL_GUARDED_BY(mutex);
};

auto gauges() -> gauge_table& {
    static gauge_table table;
    return table;
}

// Escapes a label value as the Prometheus text format requires.
auto escape_label(const std::string& value) -> std::string {
    return absl::StrReplaceAll(value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
}

auto to_absl(std::string_view text) -> absl::string_view {
    return {text.data(), text.size()};
}

auto append_header(std::string& out, const std::string& name, std::string_view help, std::string_view type)
    -> void {
    absl::StrAppend(&out, "# HELP ", name, " ", to_absl(help), "\n# TYPE ", name, " ", to_absl(type), "\n");
}

auto append_counters(std::string& out) -> void {
    for (auto i = std::size_t{0}; i < static_cast<std::size_t>(counter::end); ++i) {
        const auto which = static_cast<counter>(i);
        const auto name = absl::StrCat("agatepost_", to_absl(counter_name(which)), "_total");
        append_header(out, name, counter_help(which), "counter");
        absl::StrAppend(&out, name, " ", counter_value(which), "\n");
    }
}

// Omits values of 0: all counters of 1024 services would take several megabytes.
auto append_service_counters(std::string& out) -> void {
    const auto services = counted_services();
    for (auto i = std::size_t{0}; i < static_cast<std::size_t>(counter::end); ++i) {
        const auto which = static_cast<counter>(i);
        const auto name = absl::StrCat("agatepost_service_", to_absl(counter_name(which)), "_total");
        auto lines = std::string();
        for (const auto& service : services) {
            const auto value = counter_value(which, service);
            if (value != 0) {
                absl::StrAppend(&lines, name, "{service=\"", escape_label(service), "\"} ", value, "\n");
            }
        }
        if (!lines.empty()) {
            append_header(out, name, counter_help(which), "counter");
            out += lines;
        }
    }
}

auto append_histograms(std::string& out) -> void {
    for (auto i = std::size_t{0}; i < static_cast<std::size_t>(histogram_id::end); ++i) {
        const auto which = static_cast<histogram_id>(i);
        const auto name = absl::StrCat("agatepost_", to_absl(histogram_name(which)));
        const auto content = histogram_content(which);
        append_header(out, name, histogram_help(which), "histogram");
        auto cumulative = std::uint64_t{0};
        for (auto at = std::size_t{0}; at < content.bounds.size(); ++at) {
            cumulative += content.counts[at];
            absl::StrAppend(&out, name, "_bucket{le=\"", content.bounds[at], "\"} ", cumulative, "\n");
        }
        absl::StrAppend(&out, name, "_bucket{le=\"+Inf\"} ", content.total, "\n");
        absl::StrAppend(&out, name, "_sum ", content.sum, "\n", name, "_count ", content.total, "\n");
    }
}

auto append_gauges(std::string& out) -> void {
    auto& table = gauges();
    const auto lock = absl::MutexLock(&table.mutex);
    for (const auto& [name, row] : table.rows) {
        out += render_gauge(name, row.help, row.read());
    }
}

}  // namespace

auto add_gauge(std::string_view name, std::string_view help, std::function<double()> read) -> void {
    auto& table = gauges();
    const auto lock = absl::MutexLock(&table.mutex);
    table.rows[std::string(name)] = gauge_row{std::string(help), std::move(read)};
}

auto remove_gauge(std::string_view name) -> void {
    auto& table = gauges();
    const auto lock = absl::MutexLock(&table.mutex);
    table.rows.erase(std::string(name));
}

auto render_gauge(std::string_view name, std::string_view help, double value) -> std::string {
    const auto full_name = "agatepost_" + std::string(name);
    auto out = std::string();
    append_header(out, full_name, help, "gauge");
    // JSON numbers round-trip exactly; StrAppend writes only six significant digits.
    absl::StrAppend(&out, full_name, " ", nlohmann::json(value).dump(), "\n");
    return out;
}

auto render_gauge(std::string_view name, std::string_view help, const std::vector<gauge_sample>& samples)
    -> std::string {
    const auto full_name = "agatepost_" + std::string(name);
    auto out = std::string();
    append_header(out, full_name, help, "gauge");
    for (const auto& sample : samples) {
        auto labels = std::string();
        for (const auto& [label, value] : sample.labels) {
            absl::StrAppend(&labels, labels.empty() ? "" : ",", to_absl(label), "=\"", escape_label(value),
                            "\"");
        }
        absl::StrAppend(&out, full_name, "{", labels, "} ", nlohmann::json(sample.value).dump(), "\n");
    }
    return out;
}

auto render_metrics() -> std::string {
    auto out = std::string();
    append_counters(out);
    append_service_counters(out);
    append_histograms(out);
    append_gauges(out);
    return out;
}

}  // namespace agatepost
