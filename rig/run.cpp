#include "run_base.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "core/clock_type.h"
#include "host/admin_client_func.h"
#include "metric_func.h"
#include "mix_func.h"
#include "net/geneve_func.h"
#include "scenario_base.h"

namespace agatepost::rig {

namespace {

constexpr std::uint32_t vni = 1;
constexpr std::int64_t max_poll_ms = 2;  // limit per poll, so that signals and timers are handled
constexpr std::int64_t probe_interval_ms = 50;
constexpr std::int64_t sample_interval_ms = 100;
constexpr std::int64_t start_limit_ms = 20000;  // until all hosts forward packets
constexpr std::int64_t ramp_limit_ms = 30000;   // until all feeds are open
constexpr double feeds_opened_per_s = 4000;
constexpr std::size_t feeds_verified_per_step = 20;
constexpr double recovery_limit = 0.03;  // avoidable wait of the design's `burst` target
constexpr int address_attempts = 16;
constexpr std::int64_t drain_limit_ms = 3000;  // limit of the design, an invariant
constexpr int store_attempts = 100;
constexpr auto store_retry_pause = std::chrono::milliseconds(100);

std::atomic<bool> is_interrupted{false};

auto loopback(std::uint32_t number, std::uint16_t port) -> endpoint {
    auto e = endpoint{};
    e.address.bytes = {127, static_cast<std::uint8_t>(64 + ((number >> 16U) & 63U)),
                       static_cast<std::uint8_t>(number >> 8U), static_cast<std::uint8_t>(number)};
    e.port = port;
    return e;
}

// Returns the address that receives host `i`'s probe answers; no client uses it.
auto probe_endpoint(std::size_t i) -> endpoint {
    auto e = endpoint{};
    e.address.bytes = {10, 255, 255, 1};
    e.port = static_cast<std::uint16_t>(1000 + i);
    return e;
}

auto zone_names(int total) -> std::vector<std::string> {
    auto names = std::vector<std::string>{};
    for (auto i = 1; i <= total; ++i) {
        names.push_back("zone-" + std::to_string(i));
    }
    return names;
}

// Returns the targets of all zones, before the port of their load endpoints is known.
auto targets_of_all_zones(const run_options& options) -> std::vector<mix_target> {
    return targets_of(*options.workload, zone_names(options.plan->zones), 0);
}

}  // namespace

auto request_interrupt() -> void {
    is_interrupted = true;
}

rig_run::rig_run(run_options wanted)
    : options(std::move(wanted)),
      shared(*options.workload, options.seed),
      specs(targets_of_all_zones(options)),
      servers(shared, specs),
      callers(shared) {
    shared.zones = zone_names(options.plan->zones);
    shared.net.faults = options.faults;
    shared.net.deliver = [this](const fabric_packet& packet) { deliver(packet); };
    shared.net.latency_ms = [this](const ip_address& end) {
        return end.bytes[0] == 10 ? options.client_latency_ms : 0;
    };
    servers.zone_of_client = [this](const ip_address& client) { return callers.zone_of(client); };
    servers.flow_of_client = [this](const endpoint& client) { return callers.flow_number(client); };
}

rig_run::~rig_run() {
    for (auto& operation : operator_threads_) {
        operation.join();
    }
    hosts.clear();
    if (failures_.empty() && !options.keeps_logs && !directory_.empty()) {
        auto failed = std::error_code{};
        std::filesystem::remove_all(directory_, failed);
    }
}

auto rig_run::duration_s() const -> double {
    return options.duration_s.value_or(options.plan->duration_s);
}

auto rig_run::fail(std::string reason) -> void {
    failures_.push_back(std::move(reason));
}

auto rig_run::log_path(const run_host& host) const -> std::string {
    return directory_ + "/" + host.name + ".log";
}

// The fabric binds its port exclusively, so its address is unique among the rigs of this machine. The hosts
// use other ports of the same address.
auto rig_run::find_addresses() -> result<endpoint> {
    auto failed = result<void>();
    for (auto attempt = 0; attempt < address_attempts; ++attempt) {
        const auto number =
            static_cast<std::uint32_t>(::getpid()) + static_cast<std::uint32_t>(attempt) * 40009U;
        const auto at = loopback(number, 6080);
        failed = shared.net.open(at, vni);
        if (failed) {
            return at;
        }
    }
    return tl::unexpected<error>(failed.error());
}

auto rig_run::prepare() -> result<void> {
    const auto fabric_address = find_addresses();
    if (!fabric_address) {
        return tl::unexpected<error>(fabric_address.error());
    }
    // The hosts inherit the key for their messages and admin ports.
    auto key = std::string(64, '0');
    for (auto& digit : key) {
        digit = "0123456789abcdef"[shared.random() % 16];
    }
    ::setenv("AGATEPOST_KEY", key.c_str(), 1);
    directory_ = std::filesystem::temp_directory_path() / ("agatepost-rig-" + std::to_string(::getpid()));
    std::filesystem::create_directories(directory_);
    if (options.has_store) {
        auto store = start_store(fabric_address->address);
        if (!store) {
            return store;
        }
    }
    auto addresses = std::vector<ip_address>{};
    auto reports = std::vector<std::shared_ptr<load_report>>{};
    for (const auto& server : servers.all) {
        addresses.push_back(server->spec.object.address);
        reports.push_back(server->report);
    }
    const auto port = load_endpoint_.open(addresses);
    if (!port) {
        return tl::unexpected<error>(port.error());
    }
    load_endpoint_.start(std::move(reports));
    for (auto& spec : specs) {
        spec.object.health_port = *port;
    }
    for (const auto& zone : shared.zones) {
        for (auto i = 0; i < options.hosts; ++i) {
            const auto base = static_cast<std::uint16_t>(6100 + hosts.size() * 10);
            auto host = run_host{};
            host.zone = zone;
            host.name = zone + "-host-" + std::to_string(i + 1);
            host.data = endpoint{fabric_address->address, base};
            host.peer = endpoint{fabric_address->address, static_cast<std::uint16_t>(base + 1)};
            host.admin = endpoint{fabric_address->address, static_cast<std::uint16_t>(base + 2)};
            shared.net.hosts.push_back(fabric_host{host.name, zone, host.data});
            hosts.push_back(std::move(host));
        }
    }
    return {};
}

auto rig_run::start_store(const ip_address& address) -> result<void> {
    const auto listening = store_.start(endpoint{address, 0});
    if (!listening) {
        return tl::unexpected<error>(listening.error());
    }
    store_address_ = *listening;
    const auto settings = read_settings({"--store-address=" + to_text(store_address_)});
    auto client = plugin_registry<store_plugin>::instance().find("etcd")->open(*settings);
    if (!client) {
        return tl::unexpected<error>(client.error());
    }
    operator_client_ = std::move(*client);
    return {};
}

auto rig_run::write_configuration() -> void {
    const auto document = configuration_document(shared.workload, specs, zone_rule::local);
    if (options.has_store) {
        for (const auto& list : document.items()) {
            const auto kind = list.key().substr(0, list.key().size() - 1);
            for (const auto& object : list.value()) {
                const auto key = std::string(config_prefix) + kind + "/" + object["name"].get<std::string>();
                const auto written = operator_client_.write(key, 0, object.dump());
                if (!written) {
                    fail(key + ": " + to_text(written.error()));
                }
            }
        }
        return;
    }
    const auto path = directory_ + "/configuration.json";
    // Written to a temporary file and renamed, so that a starting host never reads a partial document.
    std::ofstream(path + ".new") << document.dump(1);
    std::filesystem::rename(path + ".new", path);
}

auto rig_run::change_document(const std::string& key, const std::function<void(nlohmann::json&)>& change)
    -> void {
    operator_threads_.emplace_back([this, key, change] {
        for (auto attempt = 0; attempt < store_attempts && !is_interrupted; ++attempt) {
            const auto current = operator_client_.read(key);
            if (current && *current) {
                auto document = nlohmann::json::parse((*current)->value);
                const auto before = document;
                change(document);
                // Equal after a lost answer or the same change by another operator.
                if (document == before ||
                    operator_client_.write(key, (*current)->revision, document.dump())) {
                    return;
                }
            }
            std::this_thread::sleep_for(store_retry_pause);
        }
        ++failed_operations_;
    });
}

auto rig_run::change_profile(const std::string& name, const std::function<void(nlohmann::json&)>& change)
    -> void {
    change_document(std::string(config_prefix) + "profile/" + name, change);
}

auto rig_run::launch(std::size_t i) -> result<void> {
    auto& host = hosts[i];
    auto peers = std::string();
    for (const auto& other : hosts) {
        if (other.name != host.name) {
            peers += (peers.empty() ? "" : ",") + to_text(other.peer);
        }
    }
    auto fabric_address = host.data;
    fabric_address.port = 6080;
    host.is_forwarding = false;
    host.should_run = true;
    const auto store = options.has_store ? "--store-address=" + to_text(store_address_)
                                         : "--config-file=" + directory_ + "/configuration.json";
    return host.process->start(
        {options.binary, "serve", "--name=" + host.name, "--zone=" + host.zone,
         "--data-address=" + to_text(host.data), "--peer-address=" + to_text(host.peer),
         "--admin-address=" + to_text(host.admin), "--fabric-address=" + to_text(fabric_address),
         "--peers=" + peers, "--placement=" + options.placement, "--vni=" + std::to_string(vni),
         options.has_store ? "--store=etcd" : "--store=file", store},
        log_path(host));
}

auto rig_run::set_listed(std::size_t i, bool is_listed) -> void {
    shared.net.hosts[i].is_listed = is_listed;
}

// Sends a reverse packet through each running host that has not answered a probe: forwarding it requires the
// configuration, but opens no flow.
auto rig_run::probe_hosts() -> void {
    for (auto i = std::size_t{0}; i < hosts.size(); ++i) {
        if (!hosts[i].is_forwarding && hosts[i].should_run) {
            auto fields = segment_fields{};
            fields.source = endpoint{specs.front().object.address, service_target_port(0)};
            fields.destination = probe_endpoint(i);
            fields.flags = tcp_flag::ack;
            shared.net.send_to(shared.net.hosts[i], build_segment(fields, {}));
        }
    }
}

auto rig_run::list_when_forwarding(std::size_t i) -> void {
    shared.timers.add(shared.now_ms + probe_interval_ms, [this, i] {
        if (hosts[i].is_forwarding) {
            set_listed(i, true);
        } else if (hosts[i].should_run) {
            list_when_forwarding(i);
        }
    });
}

auto rig_run::deliver(const fabric_packet& packet) -> void {
    shared.now_ms = now().value;
    if (packet.headers.destination.address == probe_endpoint(0).address) {
        const auto i = static_cast<std::size_t>(packet.headers.destination.port) - probe_endpoint(0).port;
        if (i < hosts.size() && packet.headers.source == service_address(0)) {
            hosts[i].is_forwarding = true;
        }
        return;
    }
    if (!servers.receive(packet) && !callers.receive(packet)) {
        ++stray_packets_;
    }
}

auto rig_run::step() -> void {
    const auto begin = now();
    shared.now_ms = begin.value;
    shared.timers.run_due(shared.now_ms);
    shared.net.flush();
    if (has_traffic_) {
        longest_step_ms_ = std::max(longest_step_ms_, now() - begin);
    }
    const auto wait = std::min(shared.timers.next_due_ms() - now().value, max_poll_ms);
    shared.net.poll(std::max(wait, std::int64_t{0}));
    shared.net.flush();
}

auto rig_run::step_until(std::int64_t limit_ms, const std::function<bool()>& is_done) -> bool {
    const auto limit = now() + limit_ms;
    while (!is_done()) {
        if (now() > limit || is_interrupted) {
            return false;
        }
        step();
    }
    return true;
}

auto rig_run::at(double seconds, std::function<void()> action) -> void {
    if (!has_traffic_) {
        planned_actions_.emplace_back(seconds, std::move(action));
        return;
    }
    shared.timers.add(start_ms_ + static_cast<std::int64_t>(seconds * 1000), std::move(action));
}

auto rig_run::every(double from_s, double interval_s, std::function<void()> action) -> void {
    at(from_s, [this, from_s, interval_s, action = std::move(action)] {
        if (from_s < duration_s()) {
            action();
            every(from_s + interval_s, interval_s, action);
        }
    });
}

auto rig_run::mark_fault() -> void {
    fault_ms_ = fault_ms_.value_or(shared.now_ms);
}

auto rig_run::kill_host(std::size_t i) -> void {
    collect_reasons(hosts[i]);
    hosts[i].should_run = false;
    hosts[i].process->signal(SIGKILL);
    shared.timers.add(shared.now_ms + options.list_lag_ms, [this, i] { set_listed(i, false); });
}

auto rig_run::stop_host(std::size_t i) -> void {
    collect_reasons(hosts[i]);
    hosts[i].should_run = false;
    hosts[i].process->signal(SIGTERM);
    shared.timers.add(shared.now_ms + options.list_lag_ms, [this, i] { set_listed(i, false); });
}

auto rig_run::pause_host(std::size_t i) -> void {
    hosts[i].process->signal(SIGSTOP);
    shared.timers.add(shared.now_ms + options.list_lag_ms, [this, i] { set_listed(i, false); });
}

auto rig_run::resume_host(std::size_t i) -> void {
    hosts[i].process->signal(SIGCONT);
    shared.timers.add(shared.now_ms + options.list_lag_ms, [this, i] { set_listed(i, true); });
}

auto rig_run::start_host(std::size_t i) -> void {
    const auto started = launch(i);
    if (!started) {
        fail(to_text(started.error()));
        return;
    }
    list_when_forwarding(i);
}

auto rig_run::when(std::function<bool()> condition, std::function<void()> then) -> void {
    shared.timers.add(shared.now_ms + probe_interval_ms,
                      [this, condition = std::move(condition), then = std::move(then)] {
                          if (!has_traffic_) {
                              return;
                          }
                          if (condition()) {
                              then();
                          } else {
                              when(condition, then);
                          }
                      });
}

auto rig_run::is_listed(std::size_t i) const -> bool {
    return shared.net.hosts[i].is_listed;
}

auto rig_run::drain_target(std::size_t i) -> void {
    specs[i].object.state = target_state::draining;
    servers.all[i]->is_ready = false;
    servers.all[i]->drained_ms = shared.now_ms;
    if (options.has_store) {
        change_document(std::string(config_prefix) + "target/" + specs[i].object.name,
                        [](nlohmann::json& document) { document["state"] = "draining"; });
    } else {
        write_configuration();
    }
}

auto rig_run::open_random_flows(traffic& load, double elapsed_s) -> void {
    auto total = std::poisson_distribution<int>(load.per_second * options.rate * elapsed_s)(shared.random);
    for (; total > 0; --total) {
        auto wanted = flow_request{};
        wanted.service = load.service;
        wanted.zone = load.zone;
        wanted.timestamps = shared.uniform() >= load.without_timestamps;
        wanted.work_ms = load.work_ms;
        wanted.answer_size = load.answer_size;
        wanted.datagrams = load.datagrams;
        callers.open(wanted);
    }
}

// Generates requests, pushes and keepalives.
auto rig_run::tick(std::int64_t last_ms) -> void {
    if (!has_traffic_) {
        return;
    }
    const auto elapsed_s = static_cast<double>(shared.now_ms - last_ms) / 1000;
    for (auto& load : loads) {
        open_random_flows(load, elapsed_s);
    }
    auto pushes = std::poisson_distribution<int>(pushes_per_s * elapsed_s)(shared.random);
    for (; pushes > 0; --pushes) {
        servers.push_to_random_feed();
    }
    auto keepalives = std::poisson_distribution<int>(keepalives_per_s * elapsed_s)(shared.random);
    for (; keepalives > 0; --keepalives) {
        callers.keepalive_random_feed();
    }
    shared.timers.add(shared.now_ms + 1, [this, at = shared.now_ms] { tick(at); });
}

auto rig_run::start_traffic() -> void {
    has_traffic_ = true;
    start_ms_ = shared.now_ms = now().value;
    end_ms_ = start_ms_ + static_cast<std::int64_t>(duration_s() * 1000);
    for (auto& [seconds, action] : planned_actions_) {
        at(seconds, std::move(action));
    }
    planned_actions_.clear();
    for (auto offset = sample_interval_ms; offset < end_ms_ - start_ms_; offset += sample_interval_ms) {
        shared.timers.add(start_ms_ + offset, [this] {
            sampler_.sample(servers);
            servers.publish_reports();
            check_hosts();
            probe_hosts();
        });
    }
    tick(start_ms_);
}

auto rig_run::check_hosts() -> void {
    for (auto& host : hosts) {
        if (host.should_run && !host.process->is_running()) {
            host.should_run = false;
            fail("host " + host.name + " exited unexpectedly with code " +
                 std::to_string(host.process->exit_code()) + ", see " + log_path(host));
        }
    }
}

auto rig_run::open_feeds() -> void {
    const auto total = static_cast<std::uint64_t>(options.feeds.value_or(options.plan->feeds));
    auto service = std::size_t{0};
    while (shared.workload.services[service].kind != flow_kind::feed) {
        ++service;
    }
    auto opened = std::uint64_t{0};
    const auto begin = now();
    const auto is_open = step_until(ramp_limit_ms, [&] {
        const auto due = std::min(total, static_cast<std::uint64_t>(static_cast<double>(now() - begin) *
                                                                    feeds_opened_per_s / 1000));
        for (; opened < due; ++opened) {
            auto wanted = flow_request{};
            wanted.service = static_cast<std::uint16_t>(service);
            wanted.zone = shared.zones[opened % shared.zones.size()];
            wanted.timestamps = shared.uniform() >= feeds_without_timestamps;
            wanted.answer_size = shared.workload.services[service].answer_size;
            callers.open(wanted);
        }
        return opened == total && callers.counts().opening_feeds == 0;
    });
    if (!is_open) {
        fail("only " + std::to_string(callers.counts().open_feeds) + " of " + std::to_string(total) +
             " feeds opened within the time limit");
    }
}

auto rig_run::metrics_page(const run_host& host) const -> result<std::string> {
    const auto settings = read_settings({});
    return fetch_admin_page(host.admin, "/metrics", auth_keys_of(*settings).value_or(auth_keys{}));
}

auto rig_run::control_bytes() const -> std::optional<double> {
    auto sum = 0.0;
    auto total = 0.0;
    for (const auto& host : hosts) {
        if (!host.should_run) {
            continue;
        }
        const auto page = metrics_page(host);
        const auto sent = page ? metric_value(*page, "control_bytes_sent") : std::nullopt;
        const auto received = page ? metric_value(*page, "control_bytes_received") : std::nullopt;
        if (!sent || !received) {
            return std::nullopt;
        }
        sum += *sent + *received;
        total += 1;
    }
    return total > 0 ? std::optional<double>(sum / total) : std::nullopt;
}

auto rig_run::collect_reasons(const run_host& host) -> void {
    if (const auto page = metrics_page(host)) {
        add_reasons(*page, reasons_);
    }
}

auto rig_run::start_hosts() -> result<void> {
    write_configuration();
    for (auto i = std::size_t{0}; i < hosts.size(); ++i) {
        auto launched = launch(i);
        if (!launched) {
            return launched;
        }
    }
    auto next_probe = time_ms{};
    const auto are_forwarding = step_until(start_limit_ms, [&] {
        if (now() >= next_probe) {
            check_hosts();
            probe_hosts();
            next_probe = now() + probe_interval_ms;
        }
        return !failures_.empty() ||
               std::all_of(hosts.begin(), hosts.end(), [](const auto& host) { return host.is_forwarding; });
    });
    if (!are_forwarding || !failures_.empty()) {
        fail("not all hosts forward packets");
        return make_error(error_kind::not_ready, failures_.front(), "see the hosts' logs in " + directory_);
    }
    for (auto i = std::size_t{0}; i < hosts.size(); ++i) {
        set_listed(i, hosts[i].should_run);
    }
    return {};
}

// Ends the flows: waits for answers to pending requests, then verifies each feed with a final request.
auto rig_run::finish_flows() -> void {
    const auto max_wait_ms = callers.time_limit_ms + 2000;
    has_traffic_ = false;
    if (!step_until(max_wait_ms, [&] { return callers.counts().open_requests == 0; })) {
        fail("requests were still unanswered at the end of the run");
    }
    auto has_more = true;
    const auto is_verified = step_until(2 * max_wait_ms, [&] {
        has_more = has_more && callers.verify_feeds(feeds_verified_per_step);
        return !has_more && !callers.is_verifying();
    });
    if (!is_verified) {
        fail("feeds had unanswered verification requests at the end of the run");
    }
}

auto rig_run::run() -> result<run_result> {
    const auto prepared = prepare();
    if (!prepared) {
        return tl::unexpected<error>(prepared.error());
    }
    const auto started = start_hosts();
    if (!started) {
        return tl::unexpected<error>(started.error());
    }
    options.plan->plan(*this);
    open_feeds();
    const auto bytes_before = control_bytes();
    start_traffic();
    step_until(end_ms_ - start_ms_ + 1000, [&] { return now().value >= end_ms_; });
    const auto bytes_after = control_bytes();
    finish_flows();
    for (const auto& host : hosts) {
        if (host.should_run) {
            collect_reasons(host);
        }
    }
    if (is_interrupted) {
        fail("interrupted");
    }
    if (failed_operations_ > 0) {
        fail("an operator's change was not applied to the store");
    }
    auto done = run_result{};
    done.found = check(shared.events);
    done.measured = sampler_.result(servers.arrivals, start_ms_, end_ms_);
    done.ideal = replay_ideal(servers, start_ms_, end_ms_);
    if (bytes_before && bytes_after) {
        done.control_bytes_per_s = (*bytes_after - *bytes_before) / duration_s();
    }
    if (fault_ms_) {
        done.recovery_s =
            seconds_to_recover(servers.arrivals, start_ms_, *fault_ms_, end_ms_, recovery_limit);
    }
    done.late_to_draining = servers.late_to_draining(drain_limit_ms);
    if (options.has_store && done.late_to_draining > 0) {
        fail("a draining target received new flows after " + std::to_string(drain_limit_ms) + " ms");
    }
    done.packets = shared.net.counts().to_hosts;
    done.stray_packets = stray_packets_;
    done.malformed = shared.net.counts().malformed;
    done.longest_step_ms = longest_step_ms_;
    done.reasons = reasons_;
    done.failures = failures_;
    return done;
}

}  // namespace agatepost::rig
