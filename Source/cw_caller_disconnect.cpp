#include "cw_caller_disconnect.h"

#include "cw_socket_state.h"

bool cw_has_caller_left(boost::asio::ip::tcp::socket& caller,
                        boost::beast::flat_buffer& pipelined) {
    while (true) {
        const auto arrived = cw_peek_socket(caller);
        if (arrived != cw_socket_state::has_data) {
            return arrived == cw_socket_state::closed;
        }
        if (pipelined.size() >= cw_max_pipelined_bytes) {
            return false;
        }
        boost::system::error_code failure;
        const auto room = pipelined.prepare(cw_max_pipelined_bytes - pipelined.size());
        pipelined.commit(caller.read_some(room, failure));
        if (failure) {
            return true;
        }
    }
}
