/// cuminwinch-standin-platform: a fake of the platform's store and host list, for tests and
/// demonstrations.

#include "cw_settings.h"
#include "cw_store_standin.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <iostream>

int main(int argc, char** argv) {
    cw_settings settings{"cuminwinch-standin-platform",
                         "Test stand-in for the platform's store and host list."};
    settings.add_address("listen", "IP:PORT of the HTTP interface");
    if (const auto code = settings.parse(argc, argv)) {
        return *code;
    }
    try {
        boost::asio::io_context context{1};
        cw_store_standin store{context, *cw_address::parse(settings.text("listen"))};
        store.start();
        boost::asio::signal_set signals{context, SIGTERM, SIGINT};
        signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
        context.run();
    } catch (const std::exception& failure) {
        std::cerr << "cuminwinch-standin-platform: start: " << failure.what() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
