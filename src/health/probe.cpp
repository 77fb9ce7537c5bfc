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

constexpr auto probe_limit = std::chrono::milliseconds(500);
constexpr std::int64_t interval_ms = 1000;
constexpr std::size_t probers_per_target = 2;
constexpr std::size_t body_limit = 4096;
// A host of the design's size probes about 20 targets a second; if none answers, each takes 500 ms.
constexpr std::size_t worker_total = 10;
constexpr std::int64_t collect_ms = 200;  // verdicts of a pool that come within this are sent together
constexpr std::size_t verdicts_per_message = 16;  // with names of 50 bytes, below the limit of a datagram
constexpr auto step = std::chrono::milliseconds(50);
constexpr std::string_view report_message = "health.report";

// Returns, for each pool, whether a profile lets other zones' targets be used.
auto pools_across_zones(const snapshot& config) -> std::vector<bool> {
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
    // Runs one asynchronous step to its end. Only asynchronous operations obey the stream's time limit.
    const auto finish = [&] {
        loop.restart();
        loop.run();
        return !failure;
    };
    const auto note = [&](beast::error_code result, auto&&...) { failure = result; };
    stream.expires_after(probe_limit);
    stream.async_connect(to_asio(address), note);
    if (!finish()) {
        return std::nullopt;
    }
    auto request = http::request<http::empty_body>(http::verb::get, "/load", 11);
    request.set(http::field::host, to_text(address));
    request.set(http::field::connection, "close");
    http::async_write(stream, request, note);
    if (!finish()) {
        return std::nullopt;
    }
    auto buffer = beast::flat_buffer(2 * body_limit);
    auto parser = http::response_parser<http::string_body>();
    parser.body_limit(body_limit);
    // The header is read by itself because Beast 1.74 does not apply the body limit when it reads all at
    // once.
    http::async_read_header(stream, buffer, parser, note);
    if (!finish()) {
        return std::nullopt;
    }
    http::async_read(stream, buffer, parser, note);
    if (!finish() || parser.get().result() != http::status::ok) {
        return std::nullopt;
    }
    return parse_load(parser.get().body());
}

auto is_prober(const host_view& view, const target& probed) -> bool {
    const auto key = stable_hash(probed.pool + "/" + probed.name);
    const auto own = mix(key, stable_hash(view.self));
    auto before = std::size_t{0};
    auto is_listed = false;
    for (const auto& host : view.hosts) {
        is_listed = is_listed || host.name == view.self;
        if (host.name != view.self && mix(key, host.name_hash) > own && ++before >= probers_per_target) {
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
    for (auto i = std::size_t{0}; i < worker_total; ++i) {
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

// Recomputes what this host probes. Targets of a pool are probed at the same time of the second, so that
// their verdicts fit into one message.
auto prober::refresh() -> void {
    auto config = options_.config->load();
    auto view = options_.view->load();
    if (config == config_ && view == view_) {
        return;
    }
    config_ = std::move(config);
    view_ = std::move(view);
    auto next = std::map<std::string, std::shared_ptr<task>>{};
    const auto across = pools_across_zones(*config_);
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
            const auto phase = static_cast<std::int64_t>(stable_hash(pool.name) % interval_ms);
            const auto at = now().value;
            const auto wait = ((phase - at) % interval_ms + interval_ms) % interval_ms;
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
            changed_.wait_for(lock, step);
            continue;
        }
        due->is_running = true;
        lock.unlock();
        const auto load = probe_target(endpoint{due->probed.address, due->probed.health_port});
        lock.lock();
        due->is_running = false;
        // A probe that is late by more than an interval is not made up for.
        const auto at = now().value;
        due->next_ms +=
            std::max<std::int64_t>(1, (at - due->next_ms + interval_ms - 1) / interval_ms) * interval_ms;
        add_verdict(due->probed, load);
    }
}

auto prober::add_verdict(const target& probed, const std::optional<target_load>& load) -> void {
    if (!load) {
        count(counter::probes_failed);
    }
    auto& waiting = reports_[probed.pool];
    if (waiting.verdicts.empty()) {
        waiting.since_ms = now().value;
    }
    waiting.verdicts.push_back(verdict{probed.name, load});
}

auto prober::run_sender() -> void {
    auto lock = std::unique_lock(mutex_);
    while (!is_done_) {
        changed_.wait_for(lock, step);
        auto ready = std::map<std::string, report>{};
        for (auto i = reports_.begin(); i != reports_.end();) {
            if (now().value - i->second.since_ms >= collect_ms) {
                ready.insert(reports_.extract(i++));
            } else {
                ++i;
            }
        }
        lock.unlock();
        for (const auto& [pool, waiting] : ready) {
            send_report(pool, waiting.verdicts);
        }
        lock.lock();
    }
}

auto prober::send_report(const std::string& pool, const std::vector<verdict>& verdicts) -> void {
    const auto view = options_.view->load();
    const auto* chooser = host_of_rank(*view, stable_hash(pool), 0);
    if (chooser == nullptr) {
        return;
    }
    for (auto i = std::size_t{0}; i < verdicts.size(); i += verdicts_per_message) {
        auto rows = nlohmann::json::array();
        for (auto j = i; j < std::min(verdicts.size(), i + verdicts_per_message); ++j) {
            const auto load = verdicts[j].load.value_or(target_load{});
            rows.push_back(
                {verdicts[j].target, load.slots_busy, load.connections, verdicts[j].load.has_value()});
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
