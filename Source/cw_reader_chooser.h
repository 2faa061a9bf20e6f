#pragma once

#include "cw_boot_clock.h"
#include "cw_reader_ranking.h"

#include <chrono>

/// Limits of a reader chooser.
struct cw_reader_chooser_options {
    /// Time from when this host becomes the one that chooses until it does. All hosts report within
    /// a short time, and a choice made too early would change with each report.
    std::chrono::milliseconds selection_delay{200};
    /// Time after a choice until the next one. Each change makes hosts change their source, so
    /// hosts whose reports come and go must not make many.
    std::chrono::milliseconds change_interval{1'000};
};

/// Chooses the readers of each failure domain while this host collects the reports of all hosts.
///
/// A deterministic state machine: it reads no clock and does no I/O.
class cw_reader_chooser {
public:
    explicit cw_reader_chooser(cw_reader_chooser_options options = {})
        : options_{options} {}

    /// Notes that a host has joined, is gone, or reports something else than before.
    void on_hosts_changed() { have_hosts_changed_ = true; }
    /// Chooses among the hosts, if a choice is due; true if it differs from the last one.
    [[nodiscard]] bool choose(const cw_hosts_by_name& hosts, cw_boot_time now);
    /// True if a choice is due at `now`.
    [[nodiscard]] bool is_due(cw_boot_time now);
    /// Forgets the choice, since this host does not collect reports any more; true if there was
    /// one.
    bool stop();
    /// The last choice; empty if there is none.
    [[nodiscard]] const cw_readers_by_domain& readers() const { return readers_; }

private:
    cw_reader_chooser_options options_;
    cw_readers_by_domain readers_;
    bool have_hosts_changed_ = true;
    /// No choice before this; the clock's epoch while this host does not choose.
    cw_boot_time next_choice_at_{};
};
