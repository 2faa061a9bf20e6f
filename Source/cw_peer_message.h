#pragma once

#include "cw_ring_member.h"
#include "cw_service_load.h"
#include "cw_version_distributor.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages between keepers. Each may be lost, repeated, delayed or reordered.

/// Requests a promise that the receiver will not remove the sender from the ring for one tenure.
struct cw_promise_request_message {
    std::uint64_t sequence = 0;
    std::string domain;
    /// Epoch of the domain's ring record that the sender uses.
    std::uint64_t ring_epoch = 0;
    /// Sum of the epochs of the tables that the sender has read from the store; it never decreases.
    std::uint64_t table_epochs = 0;
};

/// Promises not to remove the receiver for one tenure, counted from when the request was sent.
struct cw_promise_message {
    std::uint64_t sequence = 0;
};

/// Requests a hold: the receiver is to grant no leases to an upstream until the table passes the
/// base epoch.
struct cw_hold_message {
    std::uint64_t nonce = 0;
    std::string upstream;
    std::string service;
    std::uint64_t base_epoch = 0;
};

/// Confirms a hold. Leases that the sender granted to the upstream end within `remaining` after the
/// receipt.
struct cw_hold_ack_message {
    std::uint64_t nonce = 0;
    std::chrono::milliseconds remaining{0};
};

/// Cancels a hold; the sender will not write a table under it.
struct cw_hold_cancel_message {
    std::uint64_t nonce = 0;
    std::string upstream;
};

/// Notifies the holder that the sender can reach an upstream that the holder cannot reach.
struct cw_reachable_message {
    std::string upstream;
};

/// Announces that this incarnation of the sender has left and will not grant leases again.
struct cw_leave_message {};

/// Load measured by the routers of the sender's host, and upstreams that the sender cannot reach.
struct cw_load_message {
    std::string service;
    /// Epoch of the table whose slices the load refers to.
    std::uint64_t table_epoch = 0;
    /// Load of each slice of that table, in ring order, in units of 0.25 requests per second.
    /// Positions are omitted because they would take four fifths of the message.
    std::vector<std::uint32_t> slice_quarters;
    /// Requests per second of individual hot keys, by position.
    cw_position_rates keys;
    std::vector<std::string> unreachable;
};

/// Reports a request that crashed an upstream, or that an upstream answered such a request.
struct cw_crash_message {
    /// Reporting host and its sequence number, by which duplicates are recognized.
    std::string reporter;
    std::uint64_t number = 0;
    std::uint64_t fingerprint = 0;
    /// "IP:port" of the upstream that crashed.
    std::string address;
    bool answered = false;
};

/// Offers a table that the store holds to keepers that cannot reach the store.
struct cw_table_offer_message {
    std::string service;
    /// Version under which the store holds it.
    std::uint64_t store_version = 0;
};

using cw_peer_body = std::variant<cw_promise_request_message, cw_promise_message, cw_hold_message,
                                  cw_hold_ack_message, cw_hold_cancel_message, cw_reachable_message,
                                  cw_leave_message, cw_load_message, cw_offer_message,
                                  cw_offer_ack_message, cw_crash_message, cw_table_offer_message>;

/// A message and the keeper incarnation that sent it.
struct cw_peer_message {
    cw_ring_member from;
    cw_peer_body body;
};
