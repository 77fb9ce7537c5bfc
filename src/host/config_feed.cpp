#include <chrono>
#include <nlohmann/json.hpp>

#include "config/config_func.h"
#include "config/snapshot_func.h"
#include "core/log_func.h"
#include "host/config_feed_func.h"

namespace agatepost {

namespace {

constexpr auto retry_pause = std::chrono::milliseconds(500);

auto publish(host_state& host, const configuration& config) -> void {
    host.config.store(build_snapshot(config));
    write_log(log_event::configuration_applied, {{"revision", std::to_string(config.revision)},
                                                 {"objects", std::to_string(config.entries.size())}});
}

auto run_feed(host_state& host, const store_client& store) -> void {
    while (!host.is_done) {
        const auto listing = store.list(std::string(config_prefix));
        if (!listing) {
            write_log(log_event::configuration_missing, {{"error", to_text(listing.error())}});
            std::this_thread::sleep_for(retry_pause);
            continue;
        }
        if (listing->revision > host.config.load()->revision) {
            publish(host, configuration_of(*listing));
        }
        // Any change leads to a fresh listing, so that the snapshot is always that of one revision.
        (void)store.watch(
            std::string(config_prefix), listing->revision,
            [&](const std::vector<store_event>& events) { return events.empty() && !host.is_done; });
    }
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

auto start_config_feed(host_state& host, store_client store) -> std::thread {
    return std::thread([&host, client = std::move(store)] { run_feed(host, client); });
}

}  // namespace agatepost
