#include "store_standin.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <iostream>
#include <list>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "core/clock_type.h"
#include "store/etcd_message_func.h"

namespace agatepost {

namespace {

using nlohmann::json;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

constexpr auto poll_step = std::chrono::milliseconds(50);

// A version of a key. An empty value marks a deletion.
struct key_version {
    std::uint64_t revision = 0;
    std::uint64_t create_revision = 0;
    std::uint64_t version = 0;
    std::optional<std::string> value;
    std::int64_t lease = 0;
};

// A change in the log, which is in revision order.
struct logged_change {
    std::string key;
    key_version version;
    time_ms at;
};

struct lease_record {
    std::int64_t ttl_s = 0;
    time_ms end;
};

// HTTP status and JSON body of a response.
struct answer {
    http::status status = http::status::ok;
    json body;
};

auto failure(http::status status, int code, const std::string& message) -> answer {
    return {status, {{"code", code}, {"message", message}, {"error", message}}};
}

// Store content with all versions since the last compaction. Guarded by the server's mutex.
class store_content {
public:
    auto revision() const -> std::uint64_t { return revision_; }
    auto compacted() const -> std::uint64_t { return compacted_; }

    auto header() const -> json {
        return {{"cluster_id", "1"},
                {"member_id", "1"},
                {"revision", std::to_string(revision_)},
                {"raft_term", "1"}};
    }

    // Log of changes; log_position_after returns the position of the first change after a revision.
    auto log_end() const -> std::size_t { return log_.size(); }
    auto change_at(std::size_t position) const -> const logged_change& { return log_[position]; }
    auto log_position_after(std::uint64_t revision) const -> std::size_t {
        const auto found =
            std::upper_bound(log_.begin(), log_.end(), revision,
                             [](std::uint64_t r, const logged_change& c) { return r < c.version.revision; });
        return static_cast<std::size_t>(found - log_.begin());
    }

    auto range(const json& request, std::uint64_t stale) const -> answer {
        auto at = static_cast<std::uint64_t>(number_field(request, "revision"));
        if (at != 0 && at < compacted_) {
            return failure(http::status::bad_request, 11,
                           "etcdserver: mvcc: required revision has been compacted");
        }
        auto head = header();
        if (at == 0) {
            at = stale != 0 ? std::min(stale, revision_) : revision_;
            head["revision"] = std::to_string(at);
        }
        const auto key = bytes_field(request, "key");
        const auto end = bytes_field(request, "range_end");
        const auto limit = number_field(request, "limit");
        auto found = json::array();
        auto total = std::int64_t{0};
        for (auto it = keys_.lower_bound(key); it != keys_.end() && is_in_range(it->first, key, end); ++it) {
            const auto* version = version_at(it->second, at);
            if (version == nullptr || !version->value) {
                continue;
            }
            ++total;
            if (limit == 0 || total <= limit) {
                found.push_back(to_kv(it->first, *version));
            } else {
                break;  // callers ignore the count, so the rest is skipped
            }
        }
        const auto has_more = limit != 0 && total > limit;
        auto body = json{{"header", head}, {"count", std::to_string(total)}};
        if (has_more) {
            body["more"] = true;
        }
        if (!found.empty()) {
            body["kvs"] = std::move(found);
        }
        return {http::status::ok, std::move(body)};
    }

    auto transact(const json& request) -> answer {
        const auto compares = request.value("compare", json::array());
        const auto holds = std::all_of(compares.begin(), compares.end(),
                                       [&](const json& compare) { return evaluate_compare(compare); });
        const auto operations = request.value(holds ? "success" : "failure", json::array());
        const auto next = revision_ + 1;
        auto responses = json::array();
        auto has_changed = false;
        for (const auto& operation : operations) {
            if (operation.contains("request_put")) {
                put(operation["request_put"], next);
                has_changed = true;
                responses.push_back({{"response_put", json::object()}});
            } else if (operation.contains("request_delete_range")) {
                const auto removed = remove(operation["request_delete_range"], next);
                has_changed = has_changed || removed > 0;
                responses.push_back({{"response_delete_range", {{"deleted", std::to_string(removed)}}}});
            } else if (operation.contains("request_range")) {
                responses.push_back({{"response_range", range(operation["request_range"], 0).body}});
            }
        }
        revision_ = has_changed ? next : revision_;
        auto body = json{{"header", header()}, {"responses", std::move(responses)}};
        if (holds) {
            body["succeeded"] = true;
        }
        return {http::status::ok, std::move(body)};
    }

    auto grant(const json& request) -> answer {
        const auto ttl = number_field(request, "TTL");
        if (ttl <= 0) {
            return failure(http::status::bad_request, 3, "etcdserver: invalid TTL");
        }
        const auto id = ++last_lease_;
        leases_[id] = {ttl, now() + ttl * 1000};
        return {http::status::ok,
                {{"header", header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(ttl)}}};
    }

    auto keep_alive(const json& request) -> answer {
        const auto id = number_field(request, "ID");
        const auto found = leases_.find(id);
        auto body = json{{"header", header()}, {"ID", std::to_string(id)}};
        if (found != leases_.end()) {
            found->second.end = now() + found->second.ttl_s * 1000;
            body["TTL"] = std::to_string(found->second.ttl_s);
        }
        return {http::status::ok, {{"result", std::move(body)}}};
    }

    auto revoke(const json& request) -> answer {
        if (leases_.count(number_field(request, "ID")) == 0) {
            return failure(http::status::not_found, 5, "etcdserver: requested lease not found");
        }
        end_lease(number_field(request, "ID"));
        return {http::status::ok, {{"header", header()}}};
    }

    auto end_expired_leases() -> void {
        auto expired = std::vector<std::int64_t>{};
        for (const auto& [id, lease] : leases_) {
            if (lease.end <= now()) {
                expired.push_back(id);
            }
        }
        for (const auto id : expired) {
            end_lease(id);
        }
    }

    auto compact(std::uint64_t revision) -> void {
        compacted_ = std::max(compacted_, std::min(revision, revision_));
        // Log positions stay valid for open watches; compaction affects only new watches.
        for (auto& [key, versions] : keys_) {
            while (versions.size() > 1 && versions[1].revision <= compacted_) {
                versions.erase(versions.begin());
            }
        }
    }

    static auto to_kv(const std::string& key, const key_version& version) -> json {
        auto kv = json{{"key", to_base64(key)}, {"mod_revision", std::to_string(version.revision)}};
        if (version.value) {
            kv["create_revision"] = std::to_string(version.create_revision);
            kv["version"] = std::to_string(version.version);
            kv["value"] = to_base64(*version.value);
        }
        if (version.lease != 0) {
            kv["lease"] = std::to_string(version.lease);
        }
        return kv;
    }

    static auto is_in_range(const std::string& key, const std::string& start, const std::string& end)
        -> bool {
        if (end.empty()) {
            return key == start;
        }
        return key >= start && (end == std::string(1, '\0') || key < end);
    }

private:
    static auto version_at(const std::vector<key_version>& versions, std::uint64_t revision)
        -> const key_version* {
        const auto* found = static_cast<const key_version*>(nullptr);
        for (const auto& version : versions) {
            found = version.revision <= revision ? &version : found;
        }
        return found;
    }

    // Returns the newest version of a key, or nullptr if the key does not exist.
    auto current(const std::string& key) const -> const key_version* {
        const auto found = keys_.find(key);
        return found == keys_.end() || !found->second.back().value ? nullptr : &found->second.back();
    }

    auto evaluate_compare(const json& compare) const -> bool {
        const auto* version = current(bytes_field(compare, "key"));
        const auto target = compare.value("target", std::string("VERSION"));
        auto actual = std::uint64_t{0};
        auto expected = std::int64_t{0};
        if (target == "MOD") {
            actual = version == nullptr ? 0 : version->revision;
            expected = number_field(compare, "mod_revision");
        } else if (target == "CREATE") {
            actual = version == nullptr ? 0 : version->create_revision;
            expected = number_field(compare, "create_revision");
        } else {
            actual = version == nullptr ? 0 : version->version;
            expected = number_field(compare, "version");
        }
        const auto relation = compare.value("result", std::string("EQUAL"));
        const auto wanted = static_cast<std::uint64_t>(expected);
        return relation == "GREATER" ? actual > wanted
               : relation == "LESS"  ? actual < wanted
                                     : (actual == wanted) == (relation == "EQUAL");
    }

    auto append(const std::string& key, key_version version) -> void {
        log_.push_back({key, version, now()});
        keys_[key].push_back(std::move(version));
    }

    auto put(const json& request, std::uint64_t revision) -> void {
        const auto key = bytes_field(request, "key");
        const auto* previous = current(key);
        append(key, {revision, previous == nullptr ? revision : previous->create_revision,
                     previous == nullptr ? 1 : previous->version + 1, bytes_field(request, "value"),
                     number_field(request, "lease")});
    }

    auto remove(const json& request, std::uint64_t revision) -> std::int64_t {
        const auto key = bytes_field(request, "key");
        const auto end = bytes_field(request, "range_end");
        auto removed = std::vector<std::string>{};
        for (auto it = keys_.lower_bound(key); it != keys_.end() && is_in_range(it->first, key, end); ++it) {
            if (it->second.back().value) {
                removed.push_back(it->first);
            }
        }
        for (const auto& name : removed) {
            append(name, {revision, 0, 0, {}, 0});
        }
        return static_cast<std::int64_t>(removed.size());
    }

    auto end_lease(std::int64_t id) -> void {
        leases_.erase(id);
        auto removed = std::vector<std::string>{};
        for (const auto& [key, versions] : keys_) {
            if (versions.back().value && versions.back().lease == id) {
                removed.push_back(key);
            }
        }
        for (const auto& key : removed) {
            append(key, {revision_ + 1, 0, 0, {}, 0});
        }
        revision_ += removed.empty() ? 0U : 1U;
    }

    std::map<std::string, std::vector<key_version>> keys_;
    std::vector<logged_change> log_;
    std::map<std::int64_t, lease_record> leases_;
    std::int64_t last_lease_ = 0;
    std::uint64_t revision_ = 1;  // an empty store is at revision 1
    std::uint64_t compacted_ = 0;
};

// A connection and its thread. Another thread shuts down the socket to end it.
struct connection_record {
    explicit connection_record(tcp::socket accepted) : socket(std::move(accepted)) {}

    tcp::socket socket;
    std::thread thread;
    std::atomic<bool> is_finished{false};
};

auto kind_of_path(const std::string& path) -> std::string {
    static const auto kinds = std::map<std::string, std::string>{{"/v3/kv/range", "range"},
                                                                 {"/v3/kv/put", "put"},
                                                                 {"/v3/kv/deleterange", "deleterange"},
                                                                 {"/v3/kv/txn", "txn"},
                                                                 {"/v3/kv/compaction", "compaction"},
                                                                 {"/v3/lease/grant", "lease_grant"},
                                                                 {"/v3/lease/keepalive", "lease_keepalive"},
                                                                 {"/v3/lease/revoke", "lease_revoke"},
                                                                 {"/v3/watch", "watch"}};
    const auto found = kinds.find(path);
    return found == kinds.end() ? std::string() : found->second;
}

auto is_write(const std::string& kind) -> bool {
    return kind == "put" || kind == "deleterange" || kind == "txn" || kind == "lease_grant" ||
           kind == "lease_revoke";
}

auto read_faults(const json& document, store_faults faults) -> store_faults {
    faults.is_down = document.value("down", faults.is_down);
    faults.delay_ms = document.value("delay_ms", faults.delay_ms);
    faults.lost_answers = document.value("lost_answers", faults.lost_answers);
    faults.lost_requests = document.value("lost_requests", faults.lost_requests);
    faults.watch_delay_ms = document.value("watch_delay_ms", faults.watch_delay_ms);
    faults.are_watches_silent = document.value("watches_silent", faults.are_watches_silent);
    faults.stale_revision = document.value("stale_revision", faults.stale_revision);
    return faults;
}

auto to_asio(const endpoint& at) -> tcp::endpoint {
    return {asio::ip::make_address(to_text(at.address)), at.port};
}

using request_type = http::request<http::string_body>;

}  // namespace

// Threads, connections and content.
struct store_standin::server {
    auto accept_connections() -> void;
    auto serve(connection_record& connection) -> void;
    auto handle(connection_record& connection, const request_type& request) -> bool;
    auto reply(connection_record& connection, const answer& reply) -> bool;
    auto execute_call(const std::string& kind, const json& request) -> answer;
    auto watch(connection_record& connection, const json& request) -> void;
    auto send_events(connection_record& connection, const std::vector<logged_change>& events) -> bool;
    auto wait_ms(std::int64_t duration_ms) -> void;
    auto join_connections(bool all) -> void;
    auto set_faults(const store_faults& next) -> void;

    asio::io_context io;
    tcp::acceptor acceptor{io};
    std::thread accept_thread;
    std::atomic<bool> is_stopping{false};
    std::list<std::unique_ptr<connection_record>> connections;  // used by accept_thread and stop()

    mutable std::mutex mutex;  // guards all below
    std::condition_variable changed;
    store_content content;
    store_faults faults;
    std::uint64_t first_reporting_watch = 0;  // watches with a lower number report nothing more
    std::uint64_t last_watch_number = 0;
    std::map<std::string, std::uint64_t> calls;
};

// Waits until the duration has passed or the server stops.
auto store_standin::server::wait_ms(std::int64_t duration_ms) -> void {
    const auto end = now() + duration_ms;
    auto locked = std::unique_lock(mutex);
    while (!is_stopping && now() < end) {
        changed.wait_for(
            locked, std::min<std::chrono::milliseconds>(poll_step, std::chrono::milliseconds(end - now())));
    }
}

auto store_standin::server::set_faults(const store_faults& next) -> void {
    const auto locked = std::lock_guard(mutex);
    if (next.are_watches_silent) {
        first_reporting_watch = last_watch_number + 1;
    }
    faults = next;
    faults.are_watches_silent = false;  // takes effect once and is not stored
    changed.notify_all();
}

// Joins the threads of ended connections, or of all connections.
auto store_standin::server::join_connections(bool all) -> void {
    for (auto at = connections.begin(); at != connections.end();) {
        auto& connection = **at;
        if (!all && !connection.is_finished) {
            ++at;
            continue;
        }
        ::shutdown(connection.socket.native_handle(), SHUT_RDWR);
        connection.thread.join();
        at = connections.erase(at);
    }
}

auto store_standin::server::accept_connections() -> void {
    while (!is_stopping) {
        auto waiting = pollfd{acceptor.native_handle(), POLLIN, 0};
        if (::poll(&waiting, 1, static_cast<int>(poll_step.count())) <= 0) {
            continue;
        }
        auto failed = error_code{};
        auto socket = acceptor.accept(failed);
        if (failed) {
            continue;
        }
        socket.set_option(tcp::no_delay(true), failed);
        join_connections(false);
        connections.push_back(std::make_unique<connection_record>(std::move(socket)));
        auto& connection = *connections.back();
        connection.thread = std::thread([this, &connection] {
            serve(connection);
            ::shutdown(connection.socket.native_handle(), SHUT_RDWR);
            connection.is_finished = true;
        });
    }
}

auto store_standin::server::serve(connection_record& connection) -> void {
    auto buffer = beast::flat_buffer{};
    while (!is_stopping) {
        auto request = request_type{};
        auto failed = error_code{};
        http::read(connection.socket, buffer, request, failed);
        if (failed) {
            return;
        }
        try {
            if (!handle(connection, request)) {
                return;
            }
        } catch (const json::exception& e) {
            if (!reply(connection, failure(http::status::bad_request, 3, e.what()))) {
                return;
            }
        }
    }
}

auto store_standin::server::reply(connection_record& connection, const answer& reply) -> bool {
    auto response = http::response<http::string_body>{reply.status, 11};
    response.set(http::field::content_type, "application/json");
    response.body() = reply.body.dump();
    response.prepare_payload();
    auto failed = error_code{};
    http::write(connection.socket, response, failed);
    return !failed;
}

// Answers one request. Returns false to close the connection.
auto store_standin::server::handle(connection_record& connection, const request_type& request) -> bool {
    const auto path = std::string(request.target());
    if (path == "/calls") {
        const auto counted = [&] {
            const auto locked = std::lock_guard(mutex);
            return json(calls);
        }();
        return reply(connection, {http::status::ok, counted});
    }
    const auto document = json::parse(request.body(), nullptr, false);
    if (!document.is_object()) {
        return reply(connection, failure(http::status::bad_request, 3, "request body is not a JSON object"));
    }
    if (path == "/fault") {
        const auto before = [&] {
            const auto locked = std::lock_guard(mutex);
            return faults;
        }();
        set_faults(read_faults(document, before));
        return reply(connection, {http::status::ok, json::object()});
    }
    const auto kind = kind_of_path(path);
    if (kind.empty()) {
        return reply(connection, failure(http::status::not_found, 5, "unknown path " + path));
    }
    auto current = store_faults{};
    auto is_answer_lost = false;
    {
        const auto locked = std::lock_guard(mutex);
        ++calls[kind];
        current = faults;
        if (!faults.is_down && is_write(kind)) {
            if (faults.lost_requests > 0) {
                --faults.lost_requests;
                return false;
            }
            is_answer_lost = faults.lost_answers > 0;
            faults.lost_answers -= is_answer_lost ? 1 : 0;
        }
    }
    if (current.is_down) {
        return false;
    }
    if (kind == "watch") {
        watch(connection, document.at("create_request"));
        return false;
    }
    const auto result = execute_call(kind, document);
    if (is_answer_lost) {
        return false;
    }
    wait_ms(current.delay_ms);
    return reply(connection, result);
}

auto store_standin::server::execute_call(const std::string& kind, const json& request) -> answer {
    const auto locked = std::lock_guard(mutex);
    content.end_expired_leases();
    changed.notify_all();
    if (kind == "range") {
        return content.range(request, faults.stale_revision);
    }
    if (kind == "put") {
        return content.transact({{"success", json::array({{{"request_put", request}}})}});
    }
    if (kind == "deleterange") {
        return content.transact({{"success", json::array({{{"request_delete_range", request}}})}});
    }
    if (kind == "txn") {
        return content.transact(request);
    }
    if (kind == "lease_grant") {
        return content.grant(request);
    }
    if (kind == "lease_keepalive") {
        return content.keep_alive(request);
    }
    if (kind == "lease_revoke") {
        return content.revoke(request);
    }
    content.compact(static_cast<std::uint64_t>(number_field(request, "revision")));
    return {http::status::ok, {{"header", content.header()}}};
}

auto store_standin::server::send_events(connection_record& connection,
                                        const std::vector<logged_change>& events) -> bool {
    auto rendered = json::array();
    for (const auto& event : events) {
        auto item = json{{"kv", store_content::to_kv(event.key, event.version)}};
        if (!event.version.value) {
            item["type"] = "DELETE";
        }
        rendered.push_back(std::move(item));
    }
    auto body = json{{"result", {{"header", {{"revision", "0"}}}, {"events", std::move(rendered)}}}};
    body["result"]["header"]["revision"] = std::to_string(events.back().version.revision);
    const auto text = body.dump() + "\n";
    auto failed = error_code{};
    asio::write(connection.socket, http::make_chunk(asio::buffer(text)), failed);
    return !failed;
}

auto store_standin::server::watch(connection_record& connection, const json& request) -> void {
    const auto key = bytes_field(request, "key");
    const auto end = bytes_field(request, "range_end");
    auto number = std::uint64_t{0};
    auto position = std::size_t{0};
    auto first = json{};
    {
        const auto locked = std::lock_guard(mutex);
        number = ++last_watch_number;
        const auto asked = static_cast<std::uint64_t>(number_field(request, "start_revision"));
        const auto start = asked == 0 ? content.revision() + 1 : asked;
        position = content.log_position_after(start - 1);
        first = {{"header", content.header()}, {"created", true}};
        if (start <= content.compacted()) {
            first["canceled"] = true;
            first["compact_revision"] = std::to_string(content.compacted());
        }
    }
    auto head = http::response<http::empty_body>{http::status::ok, 11};
    head.set(http::field::content_type, "application/json");
    head.chunked(true);
    auto serializer = http::response_serializer<http::empty_body>{head};
    auto failed = error_code{};
    http::write_header(connection.socket, serializer, failed);
    const auto text = json{{"result", first}}.dump() + "\n";
    asio::write(connection.socket, http::make_chunk(asio::buffer(text)), failed);
    auto is_open = !failed && !first.contains("canceled");
    while (is_open) {
        auto events = std::vector<logged_change>{};
        {
            auto locked = std::unique_lock(mutex);
            changed.wait_for(locked, poll_step);
            if (is_stopping || faults.is_down) {
                return;
            }
            content.end_expired_leases();
            // All events of one revision go into one message.
            while (number >= first_reporting_watch && position < content.log_end() &&
                   content.change_at(position).at + faults.watch_delay_ms <= now()) {
                const auto& change = content.change_at(position);
                if (store_content::is_in_range(change.key, key, end)) {
                    events.push_back(change);
                }
                ++position;
            }
        }
        is_open = events.empty() || send_events(connection, events);
        auto byte = char{0};
        is_open =
            is_open && ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
    }
}

store_standin::store_standin() : server_(std::make_unique<server>()) {}

store_standin::~store_standin() {
    stop();
}

auto store_standin::start(const endpoint& address) -> result<endpoint> {
    auto failed = error_code{};
    auto& acceptor = server_->acceptor;
    const auto wanted = to_asio(address);
    acceptor.open(wanted.protocol(), failed);
    if (!failed) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
        acceptor.bind(wanted, failed);
    }
    if (!failed) {
        acceptor.listen(asio::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        auto ignored = error_code{};
        acceptor.close(ignored);
        return make_error(error_kind::network,
                          "cannot listen at " + to_text(address) + ": " + failed.message(),
                          "choose a free address and port");
    }
    server_->is_stopping = false;
    server_->accept_thread = std::thread([this] { server_->accept_connections(); });
    return endpoint{address.address, acceptor.local_endpoint().port()};
}

auto store_standin::stop() -> void {
    if (!server_->accept_thread.joinable()) {
        return;
    }
    {
        const auto locked = std::lock_guard(server_->mutex);
        server_->is_stopping = true;
    }
    server_->changed.notify_all();
    ::shutdown(server_->acceptor.native_handle(), SHUT_RDWR);  // wakes the accepting thread
    server_->accept_thread.join();
    server_->join_connections(true);
    auto ignored = error_code{};
    server_->acceptor.close(ignored);
}

auto store_standin::faults() const -> store_faults {
    const auto locked = std::lock_guard(server_->mutex);
    return server_->faults;
}

auto store_standin::set_faults(const store_faults& faults) -> void {
    server_->set_faults(faults);
}

auto store_standin::calls() const -> std::map<std::string, std::uint64_t> {
    const auto locked = std::lock_guard(server_->mutex);
    return server_->calls;
}

auto store_standin::revision() const -> std::uint64_t {
    const auto locked = std::lock_guard(server_->mutex);
    return server_->content.revision();
}

auto store_standin::compact(std::uint64_t revision) -> void {
    const auto locked = std::lock_guard(server_->mutex);
    server_->content.compact(revision);
}

auto run_store_command(const std::vector<std::string>& arguments) -> int {
    auto address = result<endpoint>(parse_endpoint("127.0.0.1:2379"));
    const auto flag = std::string("--listen=");
    for (auto i = std::size_t{0}; i < arguments.size(); ++i) {
        if (arguments[i] == "--listen" && i + 1 < arguments.size()) {
            address = parse_endpoint(arguments[++i]);
        } else if (arguments[i].rfind(flag, 0) == 0) {
            address = parse_endpoint(arguments[i].substr(flag.size()));
        } else {
            std::cerr << "usage: rig store [--listen ADDRESS:PORT]\n";
            return 2;
        }
    }
    if (!address) {
        std::cerr << to_text(address.error()) << "\n";
        return 2;
    }
    auto signals = sigset_t{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    auto standin = store_standin{};
    const auto listening = standin.start(*address);
    if (!listening) {
        std::cerr << to_text(listening.error()) << "\n";
        return 1;
    }
    std::cout << "store listens at " << to_text(*listening) << std::endl;
    auto received = 0;
    sigwait(&signals, &received);
    return 0;
}

}  // namespace agatepost
