#include <algorithm>
#include <chrono>

#include "flow/hash_func.h"
#include "peer/host_view_func.h"
#include "peer/mesh_base.h"

namespace agatepost {

namespace {

constexpr std::size_t zone_peers = 4;
constexpr std::size_t part_size = 1U << 20U;  // a quarter of the largest frame
constexpr std::size_t served_limit = 4;
// Changes are announced at once. The periodic announcement repairs what a broken link lost and costs one
// frame on each link. Together with a transfer it stays within the 6 s that a change may take.
constexpr std::int64_t announce_interval_ms = 4000;
constexpr std::int64_t transfer_timeout_ms =
    500;  // without progress; then a transfer from another host may start
constexpr auto poll_interval = std::chrono::milliseconds(100);

constexpr std::string_view revision_message = "config.revision";
constexpr std::string_view request_message = "config.request";
constexpr std::string_view part_message = "config.delta";

}  // namespace

auto mesh_peers(const host_view& view, const std::vector<host_record>& contacts) -> std::vector<host_record> {
    auto others = host_view{};
    for (const auto& host : view.hosts) {
        if (host.name != view.self) {
            others.hosts.push_back(host);
        }
    }
    const auto own_hash = stable_hash(view.self);
    auto chosen = std::vector<host_record>{};
    for (auto rank = std::size_t{0}; rank < zone_peers; ++rank) {
        const auto* peer = host_of_rank(others, own_hash, rank);
        if (peer != nullptr) {
            chosen.push_back(*peer);
        }
    }
    auto outside = host_view{0, contacts, {}, view.self};
    const auto* peer = host_of_rank(outside, own_hash, 0);
    if (peer != nullptr) {
        chosen.push_back(*peer);
    }
    return chosen;
}

mesh::mesh(peer_node& node, const published<host_view>& view, config_exchange exchange)
    : node_(node), view_(view), exchange_(std::move(exchange)) {
    const auto& channel = node_.channel();
    channel.subscribe(revision_message, [this](const std::string& sender, const nlohmann::json& body) {
        on_revision(sender, body);
    });
    channel.subscribe(request_message, [this](const std::string& sender, const nlohmann::json& body) {
        on_request(sender, body);
    });
    channel.subscribe(part_message, [this](const std::string& sender, const nlohmann::json& body) {
        on_part(sender, body);
    });
    node_.on_link_open([this](const std::string& name) { send_revision(name); });
}

mesh::~mesh() {
    stop();
}

auto mesh::start() -> void {
    thread_ = std::thread([this] { run(); });
}

auto mesh::stop() -> void {
    is_done_ = true;
    changed_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

auto mesh::announce() -> void {
    {
        const auto lock = std::lock_guard(mutex_);
        must_announce_ = true;
    }
    changed_.notify_all();
}

auto mesh::run() -> void {
    auto last_announced = std::int64_t{0};
    while (!is_done_) {
        node_.links().set_wanted(mesh_peers(*view_.load(), node_.members().contacts()));
        auto must_announce = false;
        {
            auto lock = std::unique_lock(mutex_);
            changed_.wait_for(lock, poll_interval, [this] { return must_announce_ || is_done_; });
            must_announce = std::exchange(must_announce_, false);
        }
        if (must_announce || now().value - last_announced >= announce_interval_ms) {
            last_announced = now().value;
            for (const auto& name : node_.links().open_names()) {
                send_revision(name);
            }
        }
    }
}

auto mesh::send_revision(const std::string& to) -> void {
    node_.links().send_if_open(to, revision_message, {{"r", exchange_.revision()}});
}

auto mesh::on_revision(const std::string& sender, const nlohmann::json& body) -> void {
    const auto revision = body.at("r").get<std::uint64_t>();
    if (revision <= exchange_.revision()) {
        return;
    }
    {
        const auto lock = std::lock_guard(mutex_);
        const auto at = now().value;
        const auto is_fetching =
            !transfer_.from.empty() && at - transfer_.last_progress_ms < transfer_timeout_ms;
        if (is_fetching && transfer_.from != sender && transfer_.revision >= revision) {
            return;
        }
        if (is_fetching && transfer_.parts > 0) {
            return;  // during a transfer of several parts; a higher revision is fetched after it
        }
        transfer_ = transfer{sender, revision, 0, {}, 0, at};
    }
    request_part(sender, 0, 0);
}

auto mesh::request_part(const std::string& from, std::uint64_t revision, std::size_t part) -> void {
    node_.links().send_if_open(from, request_message,
                               {{"since", exchange_.revision()}, {"r", revision}, {"i", part}});
}

auto mesh::on_request(const std::string& sender, const nlohmann::json& body) -> void {
    const auto since = body.at("since").get<std::uint64_t>();
    const auto revision = body.at("r").get<std::uint64_t>();
    const auto part = body.at("i").get<std::size_t>();
    auto answer = nlohmann::json();
    {
        const auto lock = std::lock_guard(mutex_);
        const auto wanted = revision == 0 ? exchange_.revision() : revision;
        if (wanted <= since) {
            return;
        }
        auto found = std::find_if(served_.begin(), served_.end(), [&](const encoded_changes& served) {
            return served.since == since && served.revision == wanted;
        });
        if (found == served_.end()) {
            // A later part of changes that are no longer stored: the peer requests them again after its time
            // limit.
            if (revision != 0) {
                return;
            }
            if (served_.size() >= served_limit) {
                served_.erase(served_.begin());
            }
            served_.push_back(encoded_changes{since, wanted, exchange_.changes_since(since)});
            found = std::prev(served_.end());
        }
        const auto& bytes = found->bytes;
        const auto parts = std::max<std::size_t>(1, (bytes.size() + part_size - 1) / part_size);
        if (part >= parts) {
            return;
        }
        const auto begin = bytes.begin() + static_cast<std::ptrdiff_t>(part * part_size);
        const auto end =
            bytes.begin() + static_cast<std::ptrdiff_t>(std::min(bytes.size(), (part + 1) * part_size));
        answer = {{"r", wanted},
                  {"i", part},
                  {"n", parts},
                  {"p", nlohmann::json::binary(std::vector<std::uint8_t>(begin, end))}};
    }
    node_.links().send_if_open(sender, part_message, answer);
}

auto mesh::on_part(const std::string& sender, const nlohmann::json& body) -> void {
    const auto revision = body.at("r").get<std::uint64_t>();
    const auto part = body.at("i").get<std::size_t>();
    const auto parts = body.at("n").get<std::size_t>();
    const auto& bytes = body.at("p").get_binary();
    auto complete = std::vector<std::uint8_t>{};
    {
        const auto lock = std::lock_guard(mutex_);
        const auto is_next = transfer_.from == sender && part == transfer_.received &&
                             (part == 0 || (transfer_.revision == revision && transfer_.parts == parts));
        if (!is_next) {
            return;
        }
        transfer_.revision = revision;
        transfer_.parts = parts;
        transfer_.bytes.insert(transfer_.bytes.end(), bytes.begin(), bytes.end());
        transfer_.last_progress_ms = now().value;
        if (++transfer_.received == parts) {
            complete = std::move(transfer_.bytes);
            transfer_ = {};
        }
    }
    if (part + 1 < parts) {
        request_part(sender, revision, part + 1);
        return;
    }
    if (exchange_.apply(complete)) {
        announce();
    }
}

}  // namespace agatepost
