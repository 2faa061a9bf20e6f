#pragma once

#include "cw_call_deadlines.h"
#include "cw_connection_choice.h"
#include "cw_control_event.h"
#include "cw_error.h"
#include "cw_gateway_dialect.h"
#include "cw_steward_command.h"
#include "cw_store_change.h"
#include "cw_time.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>

/// Interface of the object store that a gateway requires. A call returns at its deadline at the
/// latest; list_upstreams() and list_evacuations() take the timeout of each page of the list
/// instead.
template <typename Store>
concept cw_gateway_store = requires(Store& store, std::string text, std::uint64_t number,
                                    cw_store_position position, std::chrono::milliseconds wait,
                                    cw_time_point deadline, cw_call_deadlines deadlines,
                                    cw_term term) {
    {
        store.read_config(deadlines)
        } -> std::same_as<boost::asio::awaitable<cw_result<cw_config_change>>>;
    {
        store.watch_config(position, wait, deadlines, number)
        } -> std::same_as<boost::asio::awaitable<cw_result<cw_config_change>>>;
    {
        store.list_upstreams(wait)
        } -> std::same_as<boost::asio::awaitable<cw_result<cw_upstream_change>>>;
    {
        store.watch_upstreams(position, wait, deadlines)
        } -> std::same_as<boost::asio::awaitable<cw_result<cw_upstream_change>>>;
    {
        store.list_evacuations(wait)
        } -> std::same_as<boost::asio::awaitable<cw_result<cw_evacuation_change>>>;
    {
        store.watch_evacuations(position, wait, deadlines)
        } -> std::same_as<boost::asio::awaitable<cw_result<cw_evacuation_change>>>;
    { store.read_table(text, deadline) } -> std::same_as<boost::asio::awaitable<cw_table_answer>>;
    {
        store.write_table(text, text, number, deadline)
        } -> std::same_as<boost::asio::awaitable<cw_table_answer>>;
    {
        store.read_heartbeat(text, deadline)
        } -> std::same_as<boost::asio::awaitable<cw_heartbeat_answer>>;
    {
        store.write_heartbeat(text, number, term, deadline)
        } -> std::same_as<boost::asio::awaitable<cw_heartbeat_answer>>;
    { store.calls() } -> std::convertible_to<std::uint64_t>;
    { store.unanswered_calls() } -> std::convertible_to<std::uint64_t>;
    { store.era() } -> std::convertible_to<std::uint64_t>;
};

/// Sends ownership commands for keys to upstreams.
template <typename CommandSender>
concept cw_gateway_command_sender = requires(CommandSender& command_sender,
                                             cw_ownership_command command, cw_time_point deadline,
                                             cw_send_conditions conditions, std::string address) {
    {
        command_sender.send(command, deadline, conditions)
        } -> std::same_as<boost::asio::awaitable<cw_ownership_command_ended>>;
    { command_sender.open(address, deadline) } -> std::same_as<boost::asio::awaitable<void>>;
    { command_sender.idle_connections(address) } -> std::convertible_to<std::size_t>;
};

/// Port of a gateway, as in ports and adapters: all protocols that it uses with systems outside
/// the product.
template <typename Port>
concept cw_gateway_port =
    cw_gateway_dialect<typename Port::dialect> && cw_gateway_store<typename Port::store> &&
    cw_gateway_command_sender<typename Port::command_sender>;
