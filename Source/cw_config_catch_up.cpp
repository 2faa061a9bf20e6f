#include "cw_config_catch_up.h"

void cw_config_catch_up::on_watch_ended(cw_config_call_result result, std::uint64_t version) {
    if (result == cw_config_call_result::cut) {
        // An answer without a change is short, so this one had a later version.
        on_heard(version + 1);
        reads_whole_ = true;
    } else if (result == cw_config_call_result::received) {
        reads_whole_ = false;
    }
}

void cw_config_catch_up::on_transfer_ended(cw_config_call_result result) {
    if (result == cw_config_call_result::cut) {
        reads_whole_ = true;
        transfer_time_ = std::min(2 * transfer_time_, max_transfer_time);
    } else if (result == cw_config_call_result::received) {
        reads_whole_ = false;
        transfer_time_ = first_transfer_time;
    }
}
