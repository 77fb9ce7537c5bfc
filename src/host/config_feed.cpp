#include <chrono>
#include <nlohmann/json.hpp>

#include "config/config_func.h"
#include "config/snapshot_func.h"
#include "core/log_func.h"
#include "flow/hash_func.h"
#include "host/config_feed_func.h"
#include "peer/host_view_func.h"

namespace agatepost {

namespace {

constexpr std::size_t watch_holders = 2;
constexpr std::int64_t retry_ms = 500;
constexpr std::int64_t step_ms = 20;
constexpr std::int64_t platform_list_ms = 5000;
// A starting host leaves the store alone for this long while it may still find peers that hold the watch.
constexpr std::int64_t join_limit_ms = 2000;
constexpr std::int64_t missing_after_ms = 3000;
constexpr std::int64_t missing_every_ms = 60000;

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

auto configuration_of(const store_listing& listing) -> configuration {
    auto config = configuration{listing.revision, {}};
    for (const auto& [key, stored] : listing.values) {
        const auto name = key.substr(config_prefix.size());
        const auto document = nlohmann::json::parse(stored.value, nullptr, false);
        auto parsed = parse_object(name.substr(0, name.find('/')), document);
        if (!parsed) {
            write_log(log_event::configuration_rejected, {{"key", key}, {"error", to_text(parsed.error())}});
            continue;
        }
        parsed->revision = stored.revision;
        config.entries.emplace(name, std::move(*parsed));
    }
    return config;
}

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
            config_exchange{[this] { return host_.config.load()->revision; },
                            [this](std::uint64_t) { return encode(); },
                            [this](const std::vector<std::uint8_t>& bytes) { return decode(bytes); }}) {}

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
        std::this_thread::sleep_for(std::chrono::milliseconds(step_ms));
    }
}

auto config_feed::must_watch() const -> bool {
    const auto may_find_peers =
        has_addresses_ && !node_.members().has_met_peers() && now() - start_ < join_limit_ms;
    return !is_done_ && !may_find_peers && is_watch_holder(*host_.view.load());
}

auto config_feed::run_watch() -> void {
    auto next_missing = start_ + missing_after_ms;
    while (!is_done_) {
        if (must_watch()) {
            write_log(log_event::watch_started, {{"host", host_.options.text("name")}});
            while (must_watch()) {
                follow_store();
            }
            write_log(log_event::watch_ended, {{"host", host_.options.text("name")}});
        }
        if (host_.config.load()->revision == 0 && now() >= next_missing) {
            next_missing = now() + missing_every_ms;
            write_log(log_event::configuration_missing,
                      {{"remedy", "check the store and the settings store-address and peers"}});
        }
        pause(step_ms);
    }
}

auto config_feed::follow_store() -> void {
    const auto failed = [&](const error& e) {
        write_log(log_event::watch_failed, {{"error", to_text(e)}});
        pause(retry_ms);
    };
    const auto listing = store_.list(std::string(config_prefix));
    if (!listing) {
        failed(listing.error());
        return;
    }
    if (apply(configuration_of(*listing))) {
        mesh_.announce();
    }
    // Any change leads to a fresh listing, so that the snapshot is always that of one revision.
    const auto watched =
        store_.watch(std::string(config_prefix), listing->revision,
                     [&](const std::vector<store_event>& events) { return events.empty() && must_watch(); });
    if (!watched) {
        failed(watched.error());
    }
}

auto config_feed::run_platform_list() -> void {
    while (!is_done_) {
        if (!is_watch_holder(*host_.view.load()) && node_.members().has_met_peers()) {
            pause(step_ms);
            continue;
        }
        const auto listing = store_.list(std::string(platform_hosts_prefix));
        if (listing && !listing->values.empty()) {
            const auto hosts = platform_hosts_of(*listing);
            has_addresses_ = has_addresses_ || hosts.size() > 1;
            node_.members().add_platform_hosts(hosts);
        }
        pause(platform_list_ms);
    }
}

auto config_feed::apply(configuration next) -> bool {
    const auto lock = std::lock_guard(mutex_);
    if (next.revision <= config_.revision) {
        return false;
    }
    config_ = std::move(next);
    host_.config.store(build_snapshot(config_));
    write_log(log_event::configuration_applied, {{"revision", std::to_string(config_.revision)},
                                                 {"objects", std::to_string(config_.entries.size())}});
    return true;
}

auto config_feed::encode() const -> std::vector<std::uint8_t> {
    const auto lock = std::lock_guard(mutex_);
    auto entries = nlohmann::json::array();
    for (const auto& [key, entry] : config_.entries) {
        entries.push_back({key, entry.revision, to_json(entry)});
    }
    return nlohmann::json::to_cbor({{"r", config_.revision}, {"e", std::move(entries)}});
}

auto config_feed::decode(const std::vector<std::uint8_t>& bytes) -> bool {
    const auto document = nlohmann::json::from_cbor(bytes);
    auto next = configuration{document.at("r").get<std::uint64_t>(), {}};
    for (const auto& row : document.at("e")) {
        const auto key = row.at(0).get<std::string>();
        auto parsed = parse_object(key.substr(0, key.find('/')), row.at(2));
        if (!parsed) {
            write_log(log_event::configuration_rejected, {{"key", key}, {"error", to_text(parsed.error())}});
            continue;
        }
        parsed->revision = row.at(1).get<std::uint64_t>();
        next.entries.emplace(key, std::move(*parsed));
    }
    return apply(std::move(next));
}

}  // namespace agatepost
