// Rendering of all counters, histograms and gauges in the Prometheus text format.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace agatepost {

// Registers a gauge whose value is read when metrics are rendered. Replaces a gauge of the same name. `read`
// may be called from any thread and must stay valid until remove_gauge returns.
auto add_gauge(std::string_view name, std::string_view help, std::function<double()> read) -> void;

// Removes a gauge. When it returns, no call of the gauge's function is in progress.
auto remove_gauge(std::string_view name) -> void;

// Renders one value as a gauge without registering it, for values whose owner may be destroyed.
auto render_gauge(std::string_view name, std::string_view help, double value) -> std::string;

// A value of a gauge with labels, by name.
struct gauge_sample {
    std::vector<std::pair<std::string_view, std::string>> labels;
    double value = 0;
};

// Renders a gauge that has a value for each set of labels.
auto render_gauge(std::string_view name, std::string_view help, const std::vector<gauge_sample>& samples)
    -> std::string;

// Renders all metrics in the Prometheus text format, version 0.0.4. All names begin with agatepost_.
auto render_metrics() -> std::string;

}  // namespace agatepost
