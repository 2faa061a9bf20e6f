#pragma once

#include "cw_boot_clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

/// Source from which a host receives upstream entries and configurations.
struct cw_feed_source {
    enum class kind {
        /// No source for now: the host waits for a list of readers, or for its random delay before
        /// it falls back to the store.
        none,
        /// The store itself.
        store,
        /// The reader whose address is in `reader`.
        reader
    };
    kind type = kind::none;
    /// "IP:port" of the reader; empty unless the type is `reader`.
    std::string reader;

    friend bool operator==(const cw_feed_source&, const cw_feed_source&) = default;
};

/// State that a reader reports about itself in each answer.
struct cw_reader_status {
    /// True when the store is its source.
    bool reads_store = false;
    /// Time since the store last answered it.
    std::chrono::milliseconds store_age{0};
    /// True while its calls to the store fail.
    bool is_store_unreachable = false;
    /// Lags of its copies of the upstream entries and of the configuration, as of its answer.
    std::chrono::milliseconds entries_lag{0};
    std::chrono::milliseconds config_lag{0};
};

/// Intervals and limits of the reader selection.
struct cw_reader_selector_options {
    /// Time after its start for which a host waits for a list of readers before it reads the store.
    std::chrono::milliseconds startup_wait{700};
    /// Interval between health checks of a reader that failed or lags, and of the store after it
    /// failed to answer this host.
    std::chrono::milliseconds failed_check_interval{1'500};
    /// Interval between health checks of a reader that does not read the store yet.
    std::chrono::milliseconds unready_check_interval{60};
    /// A reader with a copy that lags by more than this is suspected.
    std::chrono::milliseconds max_lag{1'300};
    /// Upper bound of the random delay after which a host that has lost all readers reads the
    /// store, so that many hosts do not all call the store at the same moment.
    std::chrono::milliseconds max_fallback_delay{400};
};

/// Chooses whether a host reads the store itself or follows a reader of its failure domain, that
/// is, a host that reads the store on behalf of the others.
///
/// A host follows the first reader of the ranking that is not suspected. A host that is a reader
/// itself reads the store at once when all readers ranked before it are suspected. The other hosts
/// read the store when all readers are suspected, each after a random delay. This keeps the rate of
/// calls to the store independent of the number of hosts.
///
/// A host whose own calls to the store fail follows another reader too, if there is one that reads
/// the store, and checks in the background whether the store answers it again.
///
/// A host that does not read the store itself is never followed, so hosts cannot follow one another
/// in a circle even if they have received different rankings. A suspected reader is followed again
/// only after it has answered a health check made in the background, so a host never replaces
/// a working source by one that may fail.
///
/// A deterministic state machine: it reads no clock and does no I/O.
class cw_reader_selector {
public:
    /// `self` is this host's "IP:port" as rankings list it; `seed` seeds the random delay before
    /// the fallback to the store.
    cw_reader_selector(std::string self, cw_reader_selector_options options, std::uint64_t seed);

    /// Sets the readers of the failure domain, best first. An empty list is ignored.
    void on_readers(const std::vector<std::string>& readers);
    /// Records the status from a reader's answer. The reader is suspected from then on, or no
    /// longer, depending on this status.
    void on_status(const std::string& reader, const cw_reader_status& status, cw_boot_time now);
    /// Suspects a reader that did not answer or whose answer is invalid.
    void on_failure(const std::string& reader, cw_boot_time now);
    /// Records that the store answered this host.
    void on_store_answer();
    /// Suspects the store, as far as this host is concerned: a call to it failed.
    void on_store_failure(cw_boot_time now) { on_failure(self_, now); }

    /// Suspected readers whose health check is due now, and this host itself if the store is
    /// suspected. Each is returned once per check interval.
    [[nodiscard]] std::vector<std::string> take_due_checks(cw_boot_time now);
    /// Source to use at `now`.
    [[nodiscard]] cw_feed_source source(cw_boot_time now);
    /// True when the ranking lists this host, so that other hosts may follow it.
    [[nodiscard]] bool is_reader() const;
    /// True for the address of this host.
    [[nodiscard]] bool is_self(const std::string& address) const { return address == self_; }
    /// True while calls of this host to the store fail.
    [[nodiscard]] bool is_store_suspected() const { return suspected_.contains(self_); }

private:
    /// True when the ranking lists the address.
    [[nodiscard]] bool is_named(const std::string& address) const;

    /// Health check schedule of a suspected reader.
    struct suspect {
        cw_boot_time next_check{};
        std::chrono::milliseconds interval{0};
    };

    std::string self_;
    cw_reader_selector_options options_;
    std::minstd_rand engine_;
    std::vector<std::string> readers_;
    /// By address; this host's own stands for its calls to the store.
    std::map<std::string, suspect> suspected_;
    /// Time of the first call of source(); the clock's epoch before it.
    cw_boot_time first_query_at_{};
    /// Time from which this host reads the store since all readers are suspected; the clock's epoch
    /// when no delay has been drawn since a reader last answered well.
    cw_boot_time fallback_at_{};
};
