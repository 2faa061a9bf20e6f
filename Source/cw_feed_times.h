#pragma once

#include <chrono>

/// Time limits and intervals of a gateway's feed.
struct cw_feed_times {
    using milliseconds = std::chrono::milliseconds;

    /// Timeout of calls to the store that are no watches.
    static constexpr milliseconds store_timeout{1'200};
    /// Mean delay before a reader repeats a failed call to the store.
    static constexpr milliseconds store_retry_interval{250};
    /// The same for a host that is not a reader; longer, to limit the load of all hosts on a store
    /// that is down.
    static constexpr milliseconds non_reader_retry_interval{1'000};
    /// Longest time that the store may hold a watch on upstreams open. A watch that is pending when
    /// the store stops responding is never answered, even after the store is back, and no leaving
    /// upstream is seen until its deadline. Followers judge a reader by the age of the store's last
    /// response, so a watch without changes must be short.
    static constexpr milliseconds upstream_watch_wait{400};
    /// Time that the response to a watch may take beyond the wait.
    static constexpr milliseconds watch_grace{1'500};
    /// Time after the wait of a call within which the store sends the first byte of its response.
    static constexpr milliseconds first_byte_grace{500};
    /// Longest time that the store may hold a watch on the configuration open. A watch whose
    /// connection was cut cannot be distinguished from one without changes, so the wait is bounded.
    static constexpr milliseconds config_watch_wait{700};
    /// The same for a watch on evacuations. They change rarely, and a change ends the watch at
    /// once.
    static constexpr milliseconds evacuation_watch_wait{1'500};
    /// Longest time for which a host that starts waits for the evacuations before it uses
    /// upstreams. Bounded, since a store that serves upstreams and no evacuations must not keep a
    /// host idle.
    static constexpr milliseconds evacuation_start_wait{3'000};
    /// Longest time for which a reader holds a request for entries open.
    static constexpr milliseconds long_poll_wait{250};
    /// Time that the transfer of the answer may take beyond `long_poll_wait`.
    static constexpr milliseconds response_grace{350};
    /// Timeout of a watch that does not wait, as a host sends it when it switches to the store and
    /// after a failure. The idle connection may have been lost without notice in the meantime.
    static constexpr milliseconds first_watch_grace{700};
    /// Time within which the store sends the first byte of a read that is made because a copy lags.
    static constexpr milliseconds lagging_read_first_byte{300};
    /// Shortest outage of the store in which an entry can expire although its upstream lives.
    static constexpr milliseconds shortest_entry_expiry{2'000};
    /// Interval at which a host without a source selects one again.
    static constexpr milliseconds source_poll_interval{20};
    /// Interval at which due health checks of suspected readers are started and lags are checked. A
    /// host that follows a reader also checks at this interval whether it has to read
    /// configurations from the store.
    static constexpr milliseconds check_poll_interval{50};
};
