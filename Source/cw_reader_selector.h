#pragma once

#include "cw_boot_clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

/// Where a host learns of upstreams' entries and configurations.
struct cw_feed_source {
    enum class kind {
        /// From nowhere for the moment: a reader may be named, or other hosts go first.
        none,
        /// From the store.
        store,
        /// From the reader at the address.
        reader
    };
    kind type = kind::none;
    std::string reader;

    friend bool operator==(const cw_feed_source&, const cw_feed_source&) = default;
};

/// What a reader says of itself with each answer.
struct cw_reader_status {
    /// True when it reads the store itself.
    bool reads_store = false;
    /// Age of the store's last answer to it.
    std::chrono::milliseconds store_age{0};
    /// True while the store does not answer it.
    bool is_store_unreachable = false;
};

/// Intervals and bounds of the choice.
struct cw_reader_selector_options {
    /// Time from the start in which a host waits to be told of readers.
    std::chrono::milliseconds startup_wait{700};
    /// Interval at which a reader that failed is asked whether it can be followed again.
    std::chrono::milliseconds failed_check_interval{1'500};
    /// The same for one that does not read the store yet.
    std::chrono::milliseconds unready_check_interval{60};
    /// Age of the store's last answer from which a reader is passed over.
    std::chrono::milliseconds max_store_age{1'300};
    /// Hosts that lose all readers together turn to the store within this time.
    std::chrono::milliseconds max_fallback_delay{400};
};

/// Chooses whether a host reads the store itself or follows a reader of its failure domain.
///
/// Readers are named in an order. A host follows the first that is not suspected; one that is named
/// itself reads the store when all before it are suspected, at once; the others do so too in the
/// end, spread over some time. Nobody follows a host that does not read the store itself, so
/// whatever orders hosts have been told, they never follow one another in a circle. A reader that
/// failed is followed again only when it has answered a question beside the present source, so a
/// host never leaves a source that works for one that may not. The load that it answers: a store
/// whose rates do not grow with the number of hosts.
///
/// A deterministic state machine: it reads no clock and does no I/O.
class cw_reader_selector {
public:
    /// `self` is the address under which other hosts know this one.
    cw_reader_selector(std::string self, cw_reader_selector_options options, std::uint64_t seed);

    /// The order of readers was told; an empty one says nothing.
    void on_readers(const std::vector<std::string>& readers);
    void on_status(const std::string& reader, const cw_reader_status& status, cw_boot_time now);
    void on_failure(const std::string& reader, cw_boot_time now);

    /// Readers that are passed over and should be asked now; each is named once an interval.
    [[nodiscard]] std::vector<std::string> take_due_checks(cw_boot_time now);
    /// The source to use now.
    [[nodiscard]] cw_feed_source source(cw_boot_time now);
    /// True when others may rely on this host as a reader.
    [[nodiscard]] bool is_reader() const;

private:
    /// A reader that is passed over.
    struct suspect {
        cw_boot_time next_check{};
        std::chrono::milliseconds interval{0};
    };

    std::string self_;
    cw_reader_selector_options options_;
    std::minstd_rand engine_;
    std::vector<std::string> readers_;
    std::map<std::string, suspect> suspected_;
    /// When the first question was asked.
    cw_boot_time first_query_at_{};
    /// When this host may turn to the store in place of all readers; the clock's beginning while
    /// one of them can be relied on.
    cw_boot_time fallback_at_{};
};
