#pragma once

#include "cw_log.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <utility>

/// Starts a detached task on the context; an exception that ends it is logged. The log must outlive
/// the task.
inline void cw_spawn(boost::asio::io_context& context, boost::asio::awaitable<void> task,
                     const cw_log& log) {
    boost::asio::co_spawn(context, std::move(task), [&log](const std::exception_ptr& failure) {
        if (!failure) {
            return;
        }
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception& error) {
            log.error("A task ended with an exception.", {{"error", error.what()}});
        }
    });
}
