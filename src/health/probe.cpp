#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <nlohmann/json.hpp>

#include "core/clock_type.h"
#include "core/counter_func.h"
#include "flow/hash_func.h"
#include "health/probe_base.h"
#include "peer/host_view_func.h"

namespace agatepost {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto probe_timeout = std::chrono::milliseconds(500);
constexpr std::int64_t probe_interval_ms = 1000;
constexpr std::size_t probers_per_target = 2;
constexpr std::size_t body_limit = 4096;
// For about 20 targets a second per host, of which each takes 500 ms if it does not answer.
constexpr std::size_t worker_threads = 10;
constexpr std::int64_t batch_ms = 200;           // results of a pool within this time are sent together
constexpr std::size_t results_per_message = 16;  // with names of 50 bytes, below the limit of a datagram
constexpr auto poll_interval = std::chrono::milliseconds(50);
constexpr std::string_view report_message = "health.report";

// Returns for each pool whether a profile allows targets of other zones.
auto pools_with_other_zones(const snapshot& config) -> std::vector<bool> {
    auto across = std::vector<bool>(config.pools.size(), false);
    for (const auto& each : config.services) {
        if (each.rules.zones == zone_rule::prefer_local) {
            across[each.pool] = true;
        }
    }
    return across;
}

auto parse_load(const std::string& body) -> std::optional<target_load> {
    const auto document = nlohmann::json::parse(body, nullptr, false);
    auto load = target_load{};
    for (const auto& [name, value] :
         {std::pair{"slots_busy", &load.slots_busy}, std::pair{"connections", &load.connections}}) {
        if (!document.is_object() || !document.contains(name) || !document[name].is_number_unsigned() ||
            document[name].get<std::uint64_t>() > UINT32_MAX) {
            return std::nullopt;
        }
        *value = document[name].get<std::uint32_t>();
    }
    return load;
}

auto to_asio(const endpoint& address) -> asio::ip::tcp::endpoint {
    if (address.address.is_v6) {
        auto bytes = asio::ip::address_v6::bytes_type{};
        std::copy_n(address.address.bytes.begin(), bytes.size(), bytes.begin());
        return {asio::ip::address_v6(bytes), address.port};
    }
    auto bytes = asio::ip::address_v4::bytes_type{};
    std::copy_n(address.address.bytes.begin(), bytes.size(), bytes.begin());
    return {asio::ip::address_v4(bytes), address.port};
}

}  // namespace

auto probe_target(const endpoint& address) -> std::optional<target_load> {
    auto loop = asio::io_context(1);
    auto stream = beast::tcp_stream(loop);
    auto failure = beast::error_code();
    // Runs one asynchronous operation to its end. The time limit of the stream applies only to these.
    const auto run_step = [&] {
        loop.restart();
        loop.run();
        return !failure;
    };
    const auto store_result = [&](beast::error_code result, auto&&...) { failure = result; };
    stream.expires_after(probe_timeout);
    stream.async_connect(to_asio(address), store_result);
    if (!run_step()) {
        return std::nullopt;
    }
    auto request = http::request<http::empty_body>(http::verb::get, "/load", 11);
    request.set(http::field::host, to_text(address));
    request.set(http::field::connection, "close");
    http::async_write(stream, request, store_result);
    if (!run_step()) {
        return std::nullopt;
    }
    auto buffer = beast::flat_buffer(2 * body_limit);
    auto parser = http::response_parser<http::string_body>();
    parser.body_limit(body_limit);
    // The header is read separately because Beast 1.74 ignores the body limit if header and body are read
    // at once.
    http::async_read_header(stream, buffer, parser, store_result);
    if (!run_step()) {
        return std::nullopt;
    }
    http::async_read(stream, buffer, parser, store_result);
    if (!run_step() || parser.get().result() != http::status::ok) {
        return std::nullopt;
    }
    return parse_load(parser.get().body());
}

auto is_prober(const host_view& view, const target& probed) -> bool {
    const auto key = stable_hash(probed.pool + "/" + probed.name);
    const auto own = mix(key, stable_hash(view.self));
    auto higher_ranked = std::size_t{0};
    auto is_listed = false;
    for (const auto& host : view.hosts) {
        is_listed = is_listed || host.name == view.self;
        if (host.name != view.self && mix(key, host.name_hash) > own &&
            ++higher_ranked >= probers_per_target) {
            return false;
        }
    }
    return is_listed;
}

prober::prober(prober_options options) : options_(std::move(options)) {
    options_.channel->subscribe(report_message,
                                [this](const std::string&, const nlohmann::json& body) { on_report(body); });
}

prober::~prober() {
    stop();
}

auto prober::start() -> void {
    for (auto i = std::size_t{0}; i < worker_threads; ++i) {
        threads_.emplace_back([this] { run_worker(); });
    }
    threads_.emplace_back([this] { run_sender(); });
}

auto prober::stop() -> void {
    {
        const auto lock = std::lock_guard(mutex_);
        is_done_ = true;
    }
    changed_.notify_all();
    for (auto& thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

// Updates the probe tasks of this host. Targets of a pool are probed at the same time of the second, so that
// their results fit into one message.
auto prober::refresh() -> void {
    auto config = options_.config->load();
    auto view = options_.view->load();
    if (config == config_ && view == view_) {
        return;
    }
    config_ = std::move(config);
    view_ = std::move(view);
    auto next = std::map<std::string, std::shared_ptr<task>>{};
    const auto across = pools_with_other_zones(*config_);
    for (auto i = std::size_t{0}; i < config_->pools.size(); ++i) {
        const auto& pool = config_->pools[i];
        for (const auto& candidate : pool.targets) {
            const auto is_used = candidate.zone == options_.zone || across[i];
            if (candidate.health_port == 0 || !is_used || !is_prober(*view_, candidate)) {
                continue;
            }
            const auto key = candidate.pool + "/" + candidate.name;
            const auto known = tasks_.find(key);
            if (known != tasks_.end() && known->second->probed == candidate) {
                next.emplace(key, known->second);
                continue;
            }
            const auto phase = static_cast<std::int64_t>(stable_hash(pool.name) % probe_interval_ms);
            const auto at = now().value;
            const auto wait = ((phase - at) % probe_interval_ms + probe_interval_ms) % probe_interval_ms;
            next.emplace(key, std::make_shared<task>(task{candidate, at + wait, false}));
        }
    }
    tasks_ = std::move(next);
}

auto prober::next_due(std::int64_t at) -> std::shared_ptr<task> {
    auto first = std::shared_ptr<task>();
    for (const auto& [key, candidate] : tasks_) {
        if (!candidate->is_running && candidate->next_ms <= at &&
            (first == nullptr || candidate->next_ms < first->next_ms)) {
            first = candidate;
        }
    }
    return first;
}

auto prober::run_worker() -> void {
    auto lock = std::unique_lock(mutex_);
    while (!is_done_) {
        refresh();
        const auto due = next_due(now().value);
        if (due == nullptr) {
            changed_.wait_for(lock, poll_interval);
            continue;
        }
        due->is_running = true;
        lock.unlock();
        const auto load = probe_target(endpoint{due->probed.address, due->probed.health_port});
        lock.lock();
        due->is_running = false;
        // Missed intervals are skipped.
        const auto at = now().value;
        due->next_ms +=
            std::max<std::int64_t>(1, (at - due->next_ms + probe_interval_ms - 1) / probe_interval_ms) *
            probe_interval_ms;
        add_result(due->probed, load);
    }
}

auto prober::add_result(const target& probed, const std::optional<target_load>& load) -> void {
    if (!load) {
        count(counter::probes_failed);
    }
    auto& waiting = reports_[probed.pool];
    if (waiting.results.empty()) {
        waiting.since_ms = now().value;
    }
    waiting.results.push_back(probe_result{probed.name, load});
}

auto prober::run_sender() -> void {
    auto lock = std::unique_lock(mutex_);
    while (!is_done_) {
        changed_.wait_for(lock, poll_interval);
        auto ready = std::map<std::string, report>{};
        for (auto i = reports_.begin(); i != reports_.end();) {
            if (now().value - i->second.since_ms >= batch_ms) {
                ready.insert(reports_.extract(i++));
            } else {
                ++i;
            }
        }
        lock.unlock();
        for (const auto& [pool, waiting] : ready) {
            send_report(pool, waiting.results);
        }
        lock.lock();
    }
}

auto prober::send_report(const std::string& pool, const std::vector<probe_result>& results) -> void {
    const auto view = options_.view->load();
    const auto* chooser = host_of_rank(*view, stable_hash(pool), 0);
    if (chooser == nullptr) {
        return;
    }
    for (auto i = std::size_t{0}; i < results.size(); i += results_per_message) {
        auto rows = nlohmann::json::array();
        for (auto j = i; j < std::min(results.size(), i + results_per_message); ++j) {
            const auto load = results[j].load.value_or(target_load{});
            rows.push_back(
                {results[j].target, load.slots_busy, load.connections, results[j].load.has_value()});
        }
        const auto body = nlohmann::json{{"p", pool}, {"r", std::move(rows)}};
        if (chooser->name == view->self) {
            on_report(body);
        } else {
            options_.channel->send(*chooser, report_message, body);
        }
    }
}

auto prober::on_report(const nlohmann::json& body) -> void {
    if (!options_.apply_load_report) {
        return;
    }
    const auto pool = body.at("p").get<std::string>();
    for (const auto& row : body.at("r")) {
        options_.apply_load_report(pool, row.at(0).get<std::string>(), row.at(1).get<std::uint32_t>(),
                                   row.at(2).get<std::uint32_t>(), row.at(3).get<bool>());
    }
}

}  // namespace agatepost
