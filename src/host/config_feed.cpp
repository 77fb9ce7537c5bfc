#include <chrono>
#include <nlohmann/json.hpp>

#include "core/counter_func.h"
#include "core/history_func.h"
#include "core/log_func.h"
#include "flow/hash_func.h"
#include "host/config_feed_func.h"
#include "peer/host_view_func.h"

namespace agatepost {

namespace {

constexpr std::size_t watch_holders = 2;
constexpr std::int64_t poll_interval_ms = 20;
constexpr std::int64_t platform_list_interval_ms = 5000;
// A starting host does not watch the store for this long while it may still find peers that hold the watch.
constexpr std::int64_t join_timeout_ms = 2000;
constexpr std::int64_t view_timeout_ms = 1000;  // the same, when peers answer but the view may be incomplete
constexpr std::int64_t missing_log_delay_ms = 3000;
constexpr std::int64_t missing_log_interval_ms = 60000;

auto parse_platform_host(const std::string& name, const std::string& text) -> std::optional<platform_host> {
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return std::nullopt;
    }
    const auto text_of = [&](const char* field) {
        const auto found = document.find(field);
        return found != document.end() && found->is_string() ? found->get<std::string>() : std::string();
    };
    const auto peer = parse_endpoint(text_of("peer"));
    if (!peer) {
        return std::nullopt;
    }
    return platform_host{name, text_of("zone"), *peer, text_of("state") == "leaving"};
}

}  // namespace

auto platform_hosts_of(const store_listing& listing) -> std::vector<platform_host> {
    auto hosts = std::vector<platform_host>{};
    for (const auto& [key, stored] : listing.values) {
        const auto parsed = parse_platform_host(key.substr(platform_hosts_prefix.size()), stored.value);
        if (parsed) {
            hosts.push_back(*parsed);
        }
    }
    return hosts;
}

auto is_watch_holder(const host_view& view) -> bool {
    const auto key = stable_hash("watch");
    for (auto rank = std::size_t{0}; rank < watch_holders; ++rank) {
        const auto* holder = host_of_rank(view, key, rank);
        if (holder != nullptr && holder->name == view.self) {
            return true;
        }
    }
    return false;
}

config_feed::config_feed(host_state& host, store_client store, peer_node& node)
    : host_(host),
      store_(std::move(store)),
      node_(node),
      has_addresses_(!host.options.list("peers").empty()),
      mesh_(node, host.view,
            config_exchange{
                [this] { return host_.keeper.revision(); },
                [this](std::uint64_t since) { return to_cbor(host_.keeper.delta_since(since)); },
                [this](const std::vector<std::uint8_t>& bytes) { return apply_from_peer(bytes); }}) {
    host_.keeper.on_change([this](const snapshot_ptr& next) { publish(next); });
}

config_feed::~config_feed() {
    stop();
}

auto config_feed::start() -> void {
    mesh_.start();
    threads_.emplace_back([this] { run_watch(); });
    threads_.emplace_back([this] { run_platform_list(); });
}

auto config_feed::stop() -> void {
    is_done_ = true;
    for (auto& thread : threads_) {
        thread.join();
    }
    threads_.clear();
    mesh_.stop();
}

auto config_feed::pause(std::int64_t ms) const -> void {
    const auto end = now() + ms;
    while (!is_done_ && now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(poll_interval_ms));
    }
}

auto config_feed::must_watch() const -> bool {
    const auto limit = node_.members().has_met_peers() ? view_timeout_ms : join_timeout_ms;
    const auto is_joining = has_addresses_ && now() - start_ < limit;
    return !is_done_ && !is_joining && is_watch_holder(*host_.view.load());
}

auto config_feed::run_watch() -> void {
    auto next_missing = start_ + missing_log_delay_ms;
    while (!is_done_) {
        if (must_watch()) {
            write_log(log_event::watch_started);
            follow_store(store_, host_.keeper, [this] { return !must_watch(); });
            write_log(log_event::watch_ended);
        }
        if (host_.config.load()->revision == 0 && now() >= next_missing) {
            next_missing = now() + missing_log_interval_ms;
            write_log(log_event::configuration_missing,
                      {{"remedy", "check the store and the settings store-address and peers"}});
        }
        pause(poll_interval_ms);
    }
}

auto config_feed::run_platform_list() -> void {
    while (!is_done_) {
        if (!is_watch_holder(*host_.view.load()) && node_.members().has_met_peers()) {
            pause(poll_interval_ms);
            continue;
        }
        const auto listing = store_.list(std::string(platform_hosts_prefix));
        if (listing && !listing->values.empty()) {
            const auto hosts = platform_hosts_of(*listing);
            has_addresses_ = has_addresses_ || hosts.size() > 1;
            node_.members().add_platform_hosts(hosts);
        }
        pause(platform_list_interval_ms);
    }
}

auto config_feed::apply_from_peer(const std::vector<std::uint8_t>& bytes) -> bool {
    const auto delta = parse_delta_cbor(bytes);
    if (!delta) {
        count(counter::drop_peer_message);
        return false;
    }
    return host_.keeper.apply_delta(*delta);
}

// Called by the keeper in order of revision, also if different threads apply the changes.
auto config_feed::publish(const snapshot_ptr& next) -> void {
    host_.config.store(next);
    write_log(log_event::configuration_applied, {{"revision", std::to_string(next->revision)}});
    record_history(history_kind::configuration,
                   {{"event", "applied"}, {"revision", std::to_string(next->revision)}});
    mesh_.announce();
}

}  // namespace agatepost
