#include "cw_boot_clock.h"

#include <ctime>

cw_boot_time cw_boot_clock::now() noexcept {
    timespec reading{};
    ::clock_gettime(CLOCK_BOOTTIME, &reading);
    return cw_boot_time{std::chrono::seconds{reading.tv_sec} +
                        std::chrono::nanoseconds{reading.tv_nsec}};
}
