/// cuminwinch-standin-link: a TCP forwarder; SIGUSR1 simulates a network partition, SIGUSR2 ends
/// it.

#include "cw_link_standin.h"
#include "cw_settings.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <functional>
#include <iostream>

int main(int argc, char** argv) {
    cw_settings settings{"cuminwinch-standin-link",
                         "Forwards TCP connections and simulates network partitions."};
    settings.add_address("listen", "IP:PORT to listen on");
    settings.add_address("to", "IP:PORT to forward to");
    if (const auto code = settings.parse(argc, argv)) {
        return *code;
    }
    try {
        boost::asio::io_context context{1};
        cw_link_standin link{context, *cw_address::parse(settings.text("listen")),
                             *cw_address::parse(settings.text("to"))};
        link.start();
        boost::asio::signal_set signals{context, SIGUSR1, SIGUSR2, SIGTERM};
        std::function<void(const boost::system::error_code&, int)> on_signal =
            [&](const boost::system::error_code&, int number) {
                if (number == SIGTERM) {
                    context.stop();
                    return;
                }
                link.set_partitioned(number == SIGUSR1);
                signals.async_wait(on_signal);
            };
        signals.async_wait(on_signal);
        context.run();
    } catch (const std::exception& failure) {
        std::cerr << "cuminwinch-standin-link: start: " << failure.what() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
