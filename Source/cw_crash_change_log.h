#pragma once

#include "cw_crash_counts.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

/// Remembers the latest changes of the crash counts, so that another host is sent only what has
/// changed since the counts that it knows.
///
/// A crashed upstream adds a count for every request that it was running, and each host asks for
/// the counts several times a second. Sending all counts each time would take more bandwidth than
/// the requests themselves.
class cw_crash_change_log {
public:
    /// Hash that identifies a set of crash counts.
    [[nodiscard]] static std::uint64_t digest_of(const cw_crash_counts& counts);
    /// The known counts with the changes applied; a count of 0 removes the request.
    [[nodiscard]] static cw_crash_counts with_changes(cw_crash_counts known,
                                                      const cw_crash_counts& changes);

    /// Sets the latest counts, which must not be null, and records the changes.
    void on_counts(std::shared_ptr<const cw_crash_counts> counts);
    /// What a host needs in order to know the latest counts.
    struct delta {
        /// True when `counts` is the full set, false when it holds the changes only.
        bool is_full = false;
        cw_crash_counts counts;
    };
    /// The delta for a host that knows the counts with the given digest; the full set when that
    /// digest is not among the remembered ones, and empty when it is the latest.
    [[nodiscard]] delta delta_since(std::uint64_t known) const;
    /// The latest counts; never null.
    [[nodiscard]] const std::shared_ptr<const cw_crash_counts>& latest() const { return latest_; }
    /// The digest of the latest counts.
    [[nodiscard]] std::uint64_t digest() const { return digest_; }

private:
    struct change {
        /// Digest of the counts before the change.
        std::uint64_t base_digest;
        cw_crash_counts changes;
    };

    /// Number of changes that are remembered.
    static constexpr std::size_t max_changes = 200;

    std::shared_ptr<const cw_crash_counts> latest_ = std::make_shared<cw_crash_counts>();
    std::uint64_t digest_ = digest_of({});
    /// In the order of their recording, oldest first.
    std::deque<change> changes_;
};
