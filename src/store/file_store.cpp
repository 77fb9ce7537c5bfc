// The file store: one read-only configuration document, for evaluating agatepost on a single host.

#include <chrono>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "config/config_func.h"
#include "store/store_base.h"

namespace agatepost {

namespace {

constexpr std::uint64_t file_revision = 1;

auto load_listing(const std::string& path) -> result<store_listing> {
    auto file = std::ifstream(path);
    auto text = std::stringstream{};
    text << file.rdbuf();
    if (!file) {
        return make_error(error_kind::store_unavailable, "cannot read the configuration file '" + path + "'",
                          "set --config-file to a readable document");
    }
    const auto config = parse_configuration(text.str(), file_revision);
    if (!config) {
        return tl::unexpected<error>(config.error());
    }
    auto listing = store_listing{file_revision, {}};
    for (const auto& [key, entry] : config->entries) {
        listing.values[std::string(config_prefix) + key] = store_value{to_json(entry).dump(), file_revision};
    }
    return listing;
}

template <typename T>
auto refuse() -> result<T> {
    return make_error(error_kind::store_unavailable, "the file store is read-only",
                      "edit the file and restart, or use --store=etcd");
}

auto open_file(const settings& options) -> result<store_client> {
    const auto& path = options.text("config-file");
    const auto first = load_listing(path);
    if (!first) {
        return tl::unexpected<error>(first.error());
    }
    auto client = store_client{};
    client.list = [path](const std::string& prefix) -> result<store_listing> {
        auto listing = load_listing(path);
        if (listing) {
            for (auto at = listing->values.begin(); at != listing->values.end();) {
                at = at->first.compare(0, prefix.size(), prefix) == 0 ? std::next(at)
                                                                      : listing->values.erase(at);
            }
        }
        return listing;
    };
    client.read = [path](const std::string& key) -> result<std::optional<store_value>> {
        const auto listing = load_listing(path);
        if (!listing) {
            return tl::unexpected<error>(listing.error());
        }
        const auto found = listing->values.find(key);
        return found == listing->values.end() ? std::optional<store_value>() : found->second;
    };
    client.write = [](const std::string&, std::uint64_t, const std::optional<std::string>&) {
        return refuse<std::uint64_t>();
    };
    client.transact = [](const std::vector<store_compare>&, const std::vector<store_change>&) {
        return refuse<std::uint64_t>();
    };
    client.grant_lease = [](std::int64_t) { return refuse<std::int64_t>(); };
    client.keep_lease_alive = [](std::int64_t) { return refuse<std::int64_t>(); };
    client.revoke_lease = [](std::int64_t) { return refuse<void>(); };
    client.watch = [](const std::string&, std::uint64_t,
                      const std::function<bool(const std::vector<store_event>&)>& on_events) -> result<void> {
        while (on_events({})) {
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
        return {};
    };
    return client;
}

constexpr store_plugin file = {"file", open_file};
const plugin_registration<store_plugin> registration(file);

}  // namespace

}  // namespace agatepost
