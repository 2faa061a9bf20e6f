#include "cw_socket_state.h"

#include <cerrno>
#include <sys/socket.h>

cw_socket_state cw_peek_socket(boost::asio::ip::tcp::socket& socket) {
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0) {
        return cw_socket_state::has_data;
    }
    const bool is_open = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return is_open ? cw_socket_state::no_data : cw_socket_state::closed;
}
