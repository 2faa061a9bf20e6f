#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

/// How a call for a configuration has ended: with its answer, after a part of the answer that did
/// not come in time, or without any.
enum class cw_config_call_result { received, cut, failed };

/// What a host knows of configurations that it lacks, and how it calls for them.
///
/// A deterministic state machine: it reads no clock and does no I/O.
class cw_config_catch_up {
public:
    /// Time limit of a transfer of the whole configuration. One of 1,500 routes takes about a
    /// second on a link of 10 Mbit/s that also carries requests.
    static constexpr std::chrono::milliseconds first_transfer_time{2'000};
    /// The longest time limit, after transfers that were cut.
    static constexpr std::chrono::milliseconds max_transfer_time{16'000};

    /// Records that the version exists.
    void on_heard(std::uint64_t version) { heard_version_ = std::max(heard_version_, version); }
    /// Records the end of a watch of a host that has the version.
    void on_watch_ended(cw_config_call_result result, std::uint64_t version);
    /// Records the end of a transfer of the latest version.
    void on_transfer_ended(cw_config_call_result result);
    /// Forgets what was heard of: the store has come back from an older copy, and may lack it.
    void on_store_restored() { heard_version_ = 0; }

    /// The latest version that is known to exist, if the host has `version`.
    [[nodiscard]] std::uint64_t latest_known(std::uint64_t version) const {
        return std::max(version, heard_version_);
    }
    /// True if the next call has to bring the latest version only. A watch brings each version
    /// since its position whole, so one whose answer was too long for its time would be longer yet
    /// when repeated.
    [[nodiscard]] bool reads_whole() const { return reads_whole_; }
    /// Time limit of the next transfer: twice that of one that was cut, so that a configuration
    /// that is too large for one limit is not begun anew for ever.
    [[nodiscard]] std::chrono::milliseconds transfer_time() const { return transfer_time_; }
    /// Time for which a transfer is expected to succeed.
    [[nodiscard]] std::chrono::milliseconds patience() const { return transfer_time_ / 2; }

private:
    std::uint64_t heard_version_ = 0;
    bool reads_whole_ = false;
    std::chrono::milliseconds transfer_time_{first_transfer_time};
};
