#include "cw_caller_end.h"

#include "cw_socket_state.h"

bool cw_has_caller_left(boost::asio::ip::tcp::socket& caller, boost::beast::flat_buffer& ahead) {
    while (true) {
        const auto arrived = cw_peek_socket(caller);
        if (arrived != cw_socket_state::has_data) {
            return arrived == cw_socket_state::closed;
        }
        if (ahead.size() >= cw_most_ahead) {
            return false;
        }
        boost::system::error_code failure;
        const auto room = ahead.prepare(cw_most_ahead - ahead.size());
        ahead.commit(caller.read_some(room, failure));
        if (failure) {
            return true;
        }
    }
}
