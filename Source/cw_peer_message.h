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

/// Asks the receiver to promise that it will not supersede the sender for one tenure.
struct cw_promise_request_message {
    std::uint64_t sequence = 0;
    std::string domain;
    /// Epoch of the domain's ring record that the sender works by.
    std::uint64_t ring_epoch = 0;
    /// Sum of the epochs of the tables that the sender has read from the store; it only rises.
    std::uint64_t table_epochs = 0;
};

/// Grants the promise asked for; the tenure counts from the moment the ask was sent.
struct cw_promise_message {
    std::uint64_t sequence = 0;
};

/// Asks the receiver to grant nothing to an upstream until the table passes the base epoch.
struct cw_hold_message {
    std::uint64_t nonce = 0;
    std::string upstream;
    std::string service;
    std::uint64_t base_epoch = 0;
};

/// Confirms a hold. Leases of the sender to the upstream end within `remaining` of the receipt.
struct cw_hold_ack_message {
    std::uint64_t nonce = 0;
    std::chrono::milliseconds remaining{0};
};

/// Takes a hold back; its sender will not write a table on the strength of it.
struct cw_hold_cancel_message {
    std::uint64_t nonce = 0;
    std::string upstream;
};

/// Tells the holder that the sender can reach an upstream which the holder cannot.
struct cw_reachable_message {
    std::string upstream;
};

/// Gives up all rights of the sender for good.
struct cw_leave_message {};

/// Load seen by the routers of the sender's host, and upstreams it cannot reach.
struct cw_load_message {
    std::string service;
    /// Epoch of the table by whose slices the load is stated.
    std::uint64_t table_epoch = 0;
    /// For each slice of that table, in ring order, quarters of a request per second. Positions are
    /// left out, since they would be four fifths of the message.
    std::vector<std::uint32_t> slice_quarters;
    /// Requests per second of single hot keys, by position.
    cw_position_rates keys;
    std::vector<std::string> unreachable;
};

/// Tells of a request that an upstream died of, or that such a request was answered after all.
struct cw_crash_message {
    /// Host that saw it and its number there, by which a repeated message is recognised.
    std::string reporter;
    std::uint64_t number = 0;
    std::uint64_t fingerprint = 0;
    /// "IP:port" of the upstream that died.
    std::string address;
    bool answered = false;
};

/// Tells of a table that the store holds, for keepers that the store does not answer.
struct cw_table_offer_message {
    std::string service;
    /// Version under which the store holds it.
    std::uint64_t store_version = 0;
};

using cw_peer_body = std::variant<cw_promise_request_message, cw_promise_message, cw_hold_message,
                                  cw_hold_ack_message, cw_hold_cancel_message, cw_reachable_message,
                                  cw_leave_message, cw_load_message, cw_offer_message,
                                  cw_offer_ack_message, cw_crash_message, cw_table_offer_message>;

/// A message with its sender and the incarnation it is meant for.
struct cw_peer_message {
    cw_ring_member from;
    cw_peer_body body;
};
