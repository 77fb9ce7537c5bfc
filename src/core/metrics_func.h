// All counters, histograms and gauges in the Prometheus text format.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace agatepost {

// Registers a value that is read when metrics are rendered; a gauge of the same name is replaced. `read` is
// called on any thread and must stay callable until remove_gauge returns.
auto add_gauge(std::string_view name, std::string_view help, std::function<double()> read) -> void;

// Removes a gauge. No call of its function is in progress afterwards.
auto remove_gauge(std::string_view name) -> void;

// Renders one value as a gauge, for values that do not outlive their owner.
auto render_gauge(std::string_view name, std::string_view help, double value) -> std::string;

// Renders everything in the Prometheus text format, version 0.0.4. All names begin with agatepost_.
auto render_metrics() -> std::string;

}  // namespace agatepost
