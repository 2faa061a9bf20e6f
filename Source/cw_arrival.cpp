#include "cw_arrival.h"

#include <cerrno>
#include <sys/socket.h>

cw_arrival cw_look_at(boost::asio::ip::tcp::socket& socket) {
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0) {
        return cw_arrival::bytes;
    }
    const bool is_open = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return is_open ? cw_arrival::nothing : cw_arrival::end;
}
