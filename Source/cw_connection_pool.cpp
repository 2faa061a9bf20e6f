#include "cw_connection_pool.h"

#include "cw_socket_state.h"

namespace {

constexpr std::size_t max_idle_per_address = 128;

} // namespace

std::unique_ptr<cw_connection_pool::stream>
cw_connection_pool::acquire(const std::string& address) {
    auto& idle = idle_[address];
    while (!idle.empty()) {
        auto last = std::move(idle.back());
        idle.pop_back();
        if (std::chrono::steady_clock::now() < last.expires_at &&
            cw_peek_socket(*last.connection) == cw_socket_state::no_data) {
            return std::move(last.connection);
        }
    }
    return nullptr;
}

void cw_connection_pool::release(const std::string& address, std::unique_ptr<stream> connection,
                                 cw_time_point expires_at) {
    auto& idle = idle_[address];
    if (idle.size() < max_idle_per_address) {
        idle.push_back({std::move(connection), expires_at});
    }
}
