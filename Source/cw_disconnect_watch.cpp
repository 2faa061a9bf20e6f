#include "cw_disconnect_watch.h"

#include <sys/socket.h>

namespace {

bool has_ended(boost::asio::ip::tcp::socket::native_handle_type handle) {
    char byte = 0;
    const auto received = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

cw_disconnect_watch::cw_disconnect_watch(boost::asio::ip::tcp::socket& socket,
                                         std::function<void()> on_gone)
    : socket_{socket},
      state_{std::make_shared<state>()} {
    state_->on_gone = std::move(on_gone);
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                       [watched = state_, handle = socket_.native_handle()](const auto& failure) {
                           if (failure || !watched->active || !has_ended(handle)) {
                               return;
                           }
                           watched->gone = true;
                           watched->on_gone();
                       });
}

void cw_disconnect_watch::stop() {
    if (!state_->active) {
        return;
    }
    state_->active = false;
    boost::system::error_code ignored;
    socket_.cancel(ignored);
}
