// Membership of the zone by the SWIM protocol: pings, indirect pings, suspicion, and updates piggybacked on
// these.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/clock_type.h"
#include "core/published_base.h"
#include "peer/host_view_type.h"

namespace agatepost {

// The state of a host. Of two updates with the same incarnation the one with the higher state wins.
enum class member_state : std::uint8_t {
    live,     // answers
    suspect,  // did not answer; dead unless it refutes
    leaving,  // is stopping gracefully
    dead,     // did not refute
};

// The state of a host as carried by messages.
struct member_update {
    host_record host;
    member_state state = member_state::live;

    friend auto operator==(const member_update& a, const member_update& b) -> bool {
        return a.host == b.host && a.state == b.state;
    }
};

// An entry of the platform's list of hosts.
struct platform_host {
    std::string name;
    std::string zone;
    endpoint peer;
    bool is_leaving = false;

    friend auto operator==(const platform_host& a, const platform_host& b) -> bool {
        return a.name == b.name && a.zone == b.zone && a.peer == b.peer && a.is_leaving == b.is_leaving;
    }
};

// What membership is constructed with.
struct membership_options {
    host_record self;
    std::vector<endpoint> seeds;
    std::uint32_t random_seed = 0;
};

// Sends one message to a peer address; it may be lost.
using send_function = std::function<void(const endpoint& to, const nlohmann::json& message)>;

// One host's list of the other hosts. Thread-safe. `send` is called with the lock held and must not call
// back.
class membership {
public:
    membership(membership_options options, published<host_view>& view, send_function send);

    // Processes a received message. Throws nlohmann::json::exception if it is malformed.
    auto on_message(const endpoint& from, const nlohmann::json& message) -> void;

    // Sends the pings that are due and expires suspicions and dead hosts. Call it every few tens of
    // milliseconds.
    auto run_due(time_ms at) -> void;

    // Announces that this host is leaving: to several peers at once, then in each message.
    auto announce_leaving() -> void;

    // Replaces the platform's list of hosts, which is used only as a source of addresses.
    auto add_platform_hosts(const std::vector<platform_host>& hosts) -> void;

    // Known hosts of other zones, a few of each.
    auto contacts() const -> std::vector<host_record>;

    // Returns each known host of the own zone with its state, this host included, sorted by name.
    auto records() const -> std::vector<member_update>;

    // Finds a live host of the own zone or a contact by name.
    auto find(const std::string& name) const -> std::optional<host_record>;

    // Returns whether any other host has ever answered.
    auto has_met_peers() const -> bool;

private:
    struct member {
        host_record host;
        member_state state = member_state::live;
        time_ms since;          // when the state was set
        time_ms last_notified;  // when it was last sent that it is presumed dead
    };
    struct queued_update {
        member_update update;
        int sent = 0;
    };
    struct contact {
        host_record host;
        int missed_pings = 0;  // pings since the last message from it
    };
    struct outstanding_ping {
        std::uint64_t sequence = 0;
        std::string name;
        time_ms sent;
        bool is_indirect = false;  // other hosts were asked to ping it
        bool is_answered = false;
    };
    struct relayed_ping {
        endpoint requester;
        std::uint64_t sequence = 0;
        time_ms sent;
    };

    auto apply(const member_update& update, time_ms at) -> bool;
    auto apply_about_self(const member_update& update) -> void;
    auto apply_contact(const member_update& update) -> void;
    auto raise_incarnation() -> void;
    auto set_state(member& peer_member, member_state state, time_ms at) -> void;
    auto enqueue(const member_update& update) -> void;
    auto publish() -> void;
    auto digest() const -> std::uint64_t;
    auto self_update() const -> member_update;
    auto message_of(std::string_view type, std::uint64_t sequence) const -> nlohmann::json;
    auto send_with_updates(const endpoint& to, nlohmann::json message, const member* about) -> void;
    auto send_ping(const endpoint& to, std::uint64_t sequence, const member* about) -> void;
    auto send_records(const endpoint& to, bool is_complete) -> void;
    auto update_from_sender(const endpoint& from, const nlohmann::json& message, const member_update& sender,
                            time_ms at) -> void;
    auto compare_digest(const endpoint& from, std::uint64_t received, time_ms at) -> void;
    auto resume_after_pause(time_ms at) -> void;
    auto run_round(time_ms at) -> void;
    auto conclude_outstanding_ping(time_ms at) -> void;
    auto ping_next_member(time_ms at) -> void;
    auto ping_indirectly() -> void;
    auto expire(time_ms at) -> void;
    auto ping_rejoin_candidates() -> void;
    auto ping_contact() -> void;
    auto send_leaving() -> void;
    auto random_members(std::size_t count, const std::string& except) -> std::vector<const member*>;
    auto own_zone_size() const -> std::size_t;

    mutable std::mutex mutex_;
    membership_options options_;
    published<host_view>& view_;
    send_function send_;
    std::mt19937 random_;
    bool is_leaving_ = false;
    bool is_joined_ = false;
    int leaving_rounds_ = 0;
    std::map<std::string, member> members_;  // own zone, without the host itself
    std::map<std::string, std::map<std::string, contact>> contacts_by_zone_;  // contacts by zone and name
    std::vector<std::string> ping_order_;  // names still to ping in this pass
    std::deque<queued_update> updates_;
    std::map<std::uint64_t, relayed_ping> relayed_pings_;
    std::vector<endpoint> addresses_;  // seeds and the platform's list
    std::size_t next_address_ = 0;
    std::size_t next_contact_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t rounds_ = 0;
    outstanding_ping outstanding_;
    time_ms last_round_;
    time_ms last_run_;
    time_ms mismatch_since_;  // 0 while the digests agree
    time_ms last_sync_;
};

// Returns the state's name for operators.
auto to_text(member_state state) -> std::string_view;

// Encodes an update for a message. The admin address is an optional last element, which older versions
// neither read nor send.
auto to_json(const member_update& update) -> nlohmann::json;

// Decodes an update. Throws nlohmann::json::exception if it is malformed.
auto parse_member_update(const nlohmann::json& document) -> member_update;

}  // namespace agatepost
