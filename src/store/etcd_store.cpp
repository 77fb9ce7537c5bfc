// The etcd store: the published v3 JSON gateway over HTTP/1.1. Each call opens its own connection.

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

#include "core/clock_type.h"
#include "store/etcd_message_func.h"
#include "store/store_base.h"

namespace agatepost {

namespace {

using nlohmann::json;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

// Keys in one response of a listing. Bounds the size of a response to a few megabytes.
constexpr std::int64_t page_size = 5000;
// Maximum size of one response in bytes. A page of values at the store's limit of 1 MB would exceed it, but
// configuration documents have a few hundred bytes.
constexpr std::uint64_t response_limit_bytes = 64U << 20U;
// Maximum time between callbacks of a watch, so that it can be stopped.
constexpr std::int64_t watch_callback_interval_ms = 250;

// Addresses and time limits of the store, shared by all calls of a client.
struct etcd_options {
    std::vector<endpoint> addresses;
    std::int64_t timeout_ms = 2000;
    std::int64_t watch_renewal_ms = 3000;
    std::atomic<std::size_t> preferred_address{0};  // position of the address that last responded
};

using shared_options = std::shared_ptr<etcd_options>;

// One HTTP connection. Operations run asynchronously inside, so that each can have a deadline.
class etcd_connection {
public:
    // Runs one asynchronous operation until it completes. Closes the connection if the deadline passes first.
    template <typename Start>
    auto run(time_ms deadline, Start start) -> error_code {
        auto outcome = error_code(asio::error::would_block);
        start([&](error_code ec, auto&&...) { outcome = ec; });
        if (!wait(outcome, deadline)) {
            close();
            io_.restart();
            io_.run();
            return asio::error::timed_out;
        }
        return outcome;
    }

    auto connect(const endpoint& at, time_ms deadline) -> error_code {
        auto address = asio::ip::address();
        if (at.address.is_v6) {
            auto bytes = asio::ip::address_v6::bytes_type{};
            std::copy(at.address.bytes.begin(), at.address.bytes.end(), bytes.begin());
            address = asio::ip::address_v6(bytes);
        } else {
            auto bytes = asio::ip::address_v4::bytes_type{};
            std::copy_n(at.address.bytes.begin(), bytes.size(), bytes.begin());
            address = asio::ip::address_v4(bytes);
        }
        const auto failed = run(deadline, [&](auto handler) {
            socket_.async_connect(tcp::endpoint(address, at.port), std::move(handler));
        });
        auto ignored = error_code{};
        socket_.set_option(tcp::no_delay(true), ignored);
        return failed;
    }

    auto send(const std::string& target, const std::string& body, time_ms deadline) -> error_code {
        auto request = http::request<http::string_body>{http::verb::post, target, 11};
        request.set(http::field::host, "etcd");
        request.set(http::field::content_type, "application/json");
        request.body() = body;
        request.prepare_payload();
        return run(deadline, [&](auto handler) { http::async_write(socket_, request, std::move(handler)); });
    }

    auto receive(http::response_parser<http::string_body>& parser, time_ms deadline) -> error_code {
        return run(deadline,
                   [&](auto handler) { http::async_read(socket_, buffer_, parser, std::move(handler)); });
    }

    auto receive_header(http::response_parser<http::buffer_body>& parser, time_ms deadline) -> error_code {
        return run(deadline, [&](auto handler) {
            http::async_read_header(socket_, buffer_, parser, std::move(handler));
        });
    }

    // Reads a part of a body and returns when the read completes. `on_step` is called while it waits and
    // cancels the read by returning false.
    template <typename Step>
    auto receive_some(http::response_parser<http::buffer_body>& parser, Step on_step) -> error_code {
        auto outcome = error_code(asio::error::would_block);
        http::async_read_some(socket_, buffer_, parser,
                              [&](error_code ec, std::size_t /*size*/) { outcome = ec; });
        while (!wait(outcome, now() + watch_callback_interval_ms)) {
            if (!on_step()) {
                close();
                io_.restart();
                io_.run();
                return asio::error::operation_aborted;
            }
        }
        return outcome;
    }

    auto close() -> void {
        auto ignored = error_code{};
        socket_.close(ignored);
    }

private:
    // Returns whether the operation completed before the deadline.
    auto wait(const error_code& outcome, time_ms deadline) -> bool {
        io_.restart();
        while (outcome == asio::error::would_block && now() < deadline) {
            const auto rest = std::chrono::milliseconds(std::max<std::int64_t>(1, deadline - now()));
            if (io_.run_one_for(rest) == 0 && io_.stopped()) {
                break;
            }
        }
        return outcome != asio::error::would_block;
    }

    asio::io_context io_;
    tcp::socket socket_{io_};
    beast::flat_buffer buffer_;
};

// Whether a call may be repeated after its request was sent.
enum class call_kind {
    read,   // may be repeated
    write,  // changes the store, so a lost response leaves the outcome unknown
};

auto unavailable(const std::string& message) -> tl::unexpected<error> {
    return make_error(
        error_kind::store_unavailable, "store: " + message,
        "check --store-address and the store's health; hosts continue with their current configuration");
}

auto unknown_outcome(const std::string& message) -> tl::unexpected<error> {
    return make_error(error_kind::outcome_unknown, "store: the response to a write was lost: " + message,
                      "read the object back before writing again");
}

// Parses the document of a response. The gateway reports a failure by status and {"code", "message"}.
auto parse_response(const http::response<http::string_body>& response, call_kind kind) -> result<json> {
    auto document = json::parse(response.body(), nullptr, false);
    if (response.result() == http::status::ok && document.is_object()) {
        return document;
    }
    constexpr auto grpc_not_found = 5;
    constexpr auto grpc_out_of_range = 11;
    const auto code = document.is_object() ? number_field(document, "code") : 0;
    const auto text = document.is_object() ? document.value("message", std::string("no message"))
                                           : std::string("the response is not JSON");
    const auto message = absl::StrCat("status ", response.result_int(), ": ", text);
    if (code == grpc_not_found) {
        return make_error(error_kind::not_found, "store: " + message, "grant a new lease");
    }
    if (code == grpc_out_of_range) {
        return make_error(error_kind::revision_compacted, "store: " + message, "list the keys again");
    }
    // After a failure of the server, such as its own timeout, it is unknown whether the write took effect.
    const auto is_refused = response.result_int() >= 400 && response.result_int() < 500;
    return kind == call_kind::write && !is_refused ? unknown_outcome(message) : unavailable(message);
}

// Makes one call, trying the addresses in turn. A write tries another address only if no complete request was
// sent.
auto call(etcd_options& options, call_kind kind, const std::string& path, const json& request)
    -> result<json> {
    const auto deadline = now() + options.timeout_ms;
    const auto body = request.dump();
    const auto first = options.preferred_address.load();
    const auto address_count = options.addresses.size();
    auto failures = std::string();
    for (auto i = std::size_t{0}; i < address_count && now() < deadline; ++i) {
        const auto at = (first + i) % address_count;
        const auto& address = options.addresses[at];
        // The remaining time is divided, so that one unresponsive address does not use all of it.
        const auto limit = now() + (deadline - now()) / static_cast<std::int64_t>(address_count - i);
        const auto note = [&](const error_code& ec) {
            absl::StrAppend(&failures, failures.empty() ? "" : ", ", to_text(address), ": ", ec.message());
        };
        auto connection = etcd_connection{};
        auto failed = connection.connect(address, limit);
        failed = failed ? failed : connection.send(path, body, limit);
        if (failed) {
            note(failed);
            continue;
        }
        auto parser = http::response_parser<http::string_body>{};
        parser.body_limit(response_limit_bytes);
        failed = connection.receive(parser, limit);
        if (failed) {
            note(failed);
            if (kind == call_kind::write) {
                return unknown_outcome(failures);
            }
            continue;
        }
        options.preferred_address = at;
        return parse_response(parser.get(), kind);
    }
    return unavailable("no response within " + std::to_string(options.timeout_ms) + " ms (" + failures + ")");
}

auto header_revision(const json& answer) -> std::uint64_t {
    const auto header = answer.find("header");
    return header == answer.end() ? 0 : static_cast<std::uint64_t>(number_field(*header, "revision"));
}

auto read_key(etcd_options& options, const std::string& key) -> result<std::optional<store_value>> {
    const auto answer = call(options, call_kind::read, "/v3/kv/range", {{"key", to_base64(key)}});
    if (!answer) {
        return tl::unexpected<error>(answer.error());
    }
    const auto found = answer->find("kvs");
    if (found == answer->end() || found->empty()) {
        return std::optional<store_value>();
    }
    const auto& kv = found->front();
    return std::optional<store_value>(
        {bytes_field(kv, "value"), static_cast<std::uint64_t>(number_field(kv, "mod_revision"))});
}

// Lists keys in pages, all at the revision of the first page.
auto list_keys(etcd_options& options, const std::string& prefix) -> result<store_listing> {
    auto listing = store_listing{};
    auto start = prefix;
    const auto end = to_base64(range_end_of(prefix));
    while (true) {
        auto request =
            json{{"key", to_base64(start)}, {"range_end", end}, {"limit", std::to_string(page_size)}};
        if (listing.revision != 0) {
            request["revision"] = std::to_string(listing.revision);
        }
        const auto answer = call(options, call_kind::read, "/v3/kv/range", request);
        if (!answer) {
            return tl::unexpected<error>(answer.error());
        }
        if (listing.revision == 0) {
            listing.revision = header_revision(*answer);
        }
        const auto found = answer->find("kvs");
        if (found == answer->end() || found->empty()) {
            return listing;
        }
        for (const auto& kv : *found) {
            auto key = bytes_field(kv, "key");
            start = key + '\0';
            listing.values[std::move(key)] = {bytes_field(kv, "value"),
                                              static_cast<std::uint64_t>(number_field(kv, "mod_revision"))};
        }
        if (!answer->value("more", false)) {
            return listing;
        }
    }
}

auto transact(etcd_options& options, const std::vector<store_compare>& compares,
              const std::vector<store_change>& changes) -> result<std::uint64_t> {
    auto request = json{{"compare", json::array()}, {"success", json::array()}, {"failure", json::array()}};
    for (const auto& compare : compares) {
        request["compare"].push_back({{"target", "MOD"},
                                      {"result", "EQUAL"},
                                      {"key", to_base64(compare.key)},
                                      {"mod_revision", std::to_string(compare.revision)}});
    }
    for (const auto& change : changes) {
        if (change.value) {
            request["success"].push_back({{"request_put",
                                           {{"key", to_base64(change.key)},
                                            {"value", to_base64(*change.value)},
                                            {"lease", std::to_string(change.lease)}}}});
        } else {
            request["success"].push_back({{"request_delete_range", {{"key", to_base64(change.key)}}}});
        }
    }
    const auto answer = call(options, call_kind::write, "/v3/kv/txn", request);
    if (!answer) {
        return tl::unexpected<error>(answer.error());
    }
    if (!answer->value("succeeded", false)) {
        return make_error(error_kind::conflict, "store: another client changed an object first",
                          "read the object again and repeat the change");
    }
    return header_revision(*answer);
}

// Splits the stream of a watch into JSON documents, one per line.
class watch_lines {
public:
    auto add(const char* data, std::size_t size) -> void { pending_.append(data, size); }

    auto next() -> std::optional<json> {
        const auto end = pending_.find('\n');
        if (end == std::string::npos) {
            return {};
        }
        auto document = json::parse(pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(end),
                                    nullptr, false);
        pending_.erase(0, end + 1);
        return document;
    }

private:
    std::string pending_;
};

// Parses one document of a watch and returns its events.
auto parse_watch_response(const json& document) -> result<std::vector<store_event>> {
    const auto found = document.is_object() ? document.find("result") : document.end();
    if (found == document.end() || !found->is_object()) {
        return unavailable("the watch failed: " +
                           document.dump(-1, ' ', false, json::error_handler_t::replace));
    }
    if (number_field(*found, "compact_revision") != 0) {
        return make_error(error_kind::revision_compacted, "store: the watched revision was compacted",
                          "list the keys again");
    }
    if (found->value("canceled", false)) {
        return unavailable("the watch was cancelled");
    }
    auto events = std::vector<store_event>{};
    for (const auto& item : found->value("events", json::array())) {
        const auto& kv = item.at("kv");
        const auto is_removal = item.value("type", std::string("PUT")) == "DELETE";
        events.push_back({bytes_field(kv, "key"),
                          is_removal ? std::optional<std::string>() : bytes_field(kv, "value"),
                          static_cast<std::uint64_t>(number_field(kv, "mod_revision"))});
    }
    return events;
}

// Why one connection of a watch ended.
enum class watch_end {
    renew,    // its renewal time has passed; the next connection resumes after the last revision seen
    stopped,  // the callback returned false
};

using event_callback = std::function<bool(const std::vector<store_event>&)>;

// Watches changes on one connection. Sets `revision` to that of the last event seen.
auto watch_once(etcd_options& options, const std::string& prefix, std::uint64_t& revision,
                const event_callback& on_events) -> result<watch_end> {
    const auto address_count = options.addresses.size();
    const auto at = options.preferred_address.load() % address_count;
    const auto deadline = now() + options.timeout_ms;
    const auto request = json{{"create_request",
                               {{"key", to_base64(prefix)},
                                {"range_end", to_base64(range_end_of(prefix))},
                                {"start_revision", std::to_string(revision + 1)}}}};
    auto connection = etcd_connection{};
    auto parser = http::response_parser<http::buffer_body>{};
    parser.body_limit(boost::none);
    auto failed = connection.connect(options.addresses[at], deadline);
    failed = failed ? failed : connection.send("/v3/watch", request.dump(), deadline);
    failed = failed ? failed : connection.receive_header(parser, deadline);
    if (failed || parser.get().result() != http::status::ok) {
        options.preferred_address = (at + 1) % address_count;
        return unavailable(
            "watch at " + to_text(options.addresses[at]) + ": " +
            (failed ? failed.message() : "status " + std::to_string(parser.get().result_int())));
    }
    const auto renewal = now() + options.watch_renewal_ms;
    auto lines = watch_lines{};
    auto chunk = std::array<char, 65536>{};
    auto is_wanted = true;
    while (true) {
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        parser.get().body().more = true;
        failed = connection.receive_some(parser, [&] {
            is_wanted = on_events({});
            return is_wanted && now() < renewal;
        });
        lines.add(chunk.data(), chunk.size() - parser.get().body().size);
        while (const auto document = lines.next()) {
            const auto events = parse_watch_response(*document);
            if (!events) {
                return tl::unexpected<error>(events.error());
            }
            for (const auto& event : *events) {
                revision = std::max(revision, event.revision);
            }
            if (!events->empty() && !on_events(*events)) {
                return watch_end::stopped;
            }
        }
        if (!is_wanted) {
            return watch_end::stopped;
        }
        if (now() >= renewal) {
            return watch_end::renew;
        }
        if ((failed && failed != http::error::need_buffer) || parser.is_done()) {
            options.preferred_address = (at + 1) % address_count;
            return unavailable("watch at " + to_text(options.addresses[at]) + " ended: " + failed.message());
        }
    }
}

// Opens a new watch connection every watch_renewal_ms. Otherwise a stalled connection would hide
// changes forever. The new connection resumes after the last event.
auto watch_keys(etcd_options& options, const std::string& prefix, std::uint64_t revision,
                const event_callback& on_events) -> result<void> {
    while (true) {
        const auto ended = watch_once(options, prefix, revision, on_events);
        if (!ended) {
            return tl::unexpected<error>(ended.error());
        }
        if (*ended == watch_end::stopped) {
            return {};
        }
    }
}

auto grant_lease(etcd_options& options, std::int64_t ttl_s) -> result<std::int64_t> {
    const auto answer = call(options, call_kind::write, "/v3/lease/grant", {{"TTL", std::to_string(ttl_s)}});
    return answer.map([](const json& granted) { return number_field(granted, "ID"); });
}

auto keep_lease_alive(etcd_options& options, std::int64_t lease) -> result<std::int64_t> {
    // Renewal is idempotent, so it is repeated after a lost response like a read.
    const auto answer =
        call(options, call_kind::read, "/v3/lease/keepalive", {{"ID", std::to_string(lease)}});
    if (!answer) {
        return tl::unexpected<error>(answer.error());
    }
    const auto left = number_field(answer->value("result", json::object()), "TTL");
    if (left <= 0) {
        return make_error(error_kind::not_found, "store: the lease has ended", "grant a new lease");
    }
    return left;
}

auto revoke_lease(etcd_options& options, std::int64_t lease) -> result<void> {
    const auto answer = call(options, call_kind::write, "/v3/lease/revoke", {{"ID", std::to_string(lease)}});
    return answer.map([](const json& /*answer*/) {});
}

// Converts an exception of the JSON library, thrown for a malformed response, into an error.
template <typename Call>
auto with_json_errors(call_kind kind, Call make_call) -> decltype(make_call()) {
    try {
        return make_call();
    } catch (const json::exception& e) {
        return kind == call_kind::write ? unknown_outcome(e.what()) : unavailable(e.what());
    }
}

auto open_etcd(const settings& values) -> result<store_client> {
    auto options = std::make_shared<etcd_options>();
    for (const auto& text : values.list("store-address")) {
        const auto address = parse_endpoint(text);
        if (!address) {
            return make_error(error_kind::invalid_setting, "--store-address: " + address.error().message,
                              address.error().remedy);
        }
        options->addresses.push_back(*address);
    }
    if (options->addresses.empty()) {
        return make_error(error_kind::invalid_setting, "--store-address: no address",
                          "give at least one ADDRESS:PORT");
    }
    options->timeout_ms = values.number("store-timeout");
    options->watch_renewal_ms = values.number("store-watch-renewal");
    auto client = store_client{};
    client.read = [options](const std::string& key) {
        return with_json_errors(call_kind::read, [&] { return read_key(*options, key); });
    };
    client.list = [options](const std::string& prefix) {
        return with_json_errors(call_kind::read, [&] { return list_keys(*options, prefix); });
    };
    client.transact = [options](const std::vector<store_compare>& compares,
                                const std::vector<store_change>& changes) {
        return with_json_errors(call_kind::write, [&] { return transact(*options, compares, changes); });
    };
    client.write = [options](const std::string& key, std::uint64_t expected,
                             const std::optional<std::string>& value) {
        return with_json_errors(call_kind::write, [&] {
            return transact(*options, {{key, expected}}, {{key, value, 0}});
        });
    };
    client.watch = [options](const std::string& prefix, std::uint64_t revision,
                             const event_callback& on_events) {
        return with_json_errors(call_kind::read,
                                [&] { return watch_keys(*options, prefix, revision, on_events); });
    };
    client.grant_lease = [options](std::int64_t ttl_s) {
        return with_json_errors(call_kind::write, [&] { return grant_lease(*options, ttl_s); });
    };
    client.keep_lease_alive = [options](std::int64_t lease) {
        return with_json_errors(call_kind::read, [&] { return keep_lease_alive(*options, lease); });
    };
    client.revoke_lease = [options](std::int64_t lease) {
        return with_json_errors(call_kind::write, [&] { return revoke_lease(*options, lease); });
    };
    return client;
}

constexpr store_plugin etcd = {"etcd", open_etcd};
const plugin_registration<store_plugin> registration(etcd);

}  // namespace

}  // namespace agatepost
