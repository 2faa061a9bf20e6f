#include "cw_upstream_pool.h"

#include "cw_socket_state.h"

namespace {

constexpr std::size_t most_idle = 128;

} // namespace

std::unique_ptr<cw_upstream_pool::stream> cw_upstream_pool::take(const std::string& address) {
    auto& idle = idle_[address];
    while (!idle.empty()) {
        auto last = std::move(idle.back());
        idle.pop_back();
        if (std::chrono::steady_clock::now() < last.until &&
            cw_peek_socket(*last.connection) == cw_socket_state::no_data) {
            return std::move(last.connection);
        }
    }
    return nullptr;
}

void cw_upstream_pool::put_back(const std::string& address, std::unique_ptr<stream> connection,
                                cw_time_point until) {
    auto& idle = idle_[address];
    if (idle.size() < most_idle) {
        idle.push_back({std::move(connection), until});
    }
}
