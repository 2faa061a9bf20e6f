#pragma once

#include "cw_crash_counts.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

/// Tells other hosts how the marks of crashed requests have changed.
///
/// The load that it answers: an upstream that dies marks all that it had in hand, and each host
/// asks for the marks several times a second; told all of them each time, they would take more of
/// the links than the requests.
class cw_crash_change_log {
public:
    /// Names one set of marks.
    [[nodiscard]] static std::uint64_t digest_of(const cw_crash_counts& counts);
    /// The marks that a host knows once it is told of changes; a count of 0 takes a mark away.
    [[nodiscard]] static cw_crash_counts with_changes(cw_crash_counts known,
                                                      const cw_crash_counts& changes);

    /// Takes the latest marks; never null.
    void on_counts(std::shared_ptr<const cw_crash_counts> counts);
    /// What a host that knows the marks of the given digest must be told.
    struct delta {
        /// True when `marks` are all there are, false when they are changes.
        bool is_full = false;
        cw_crash_counts counts;
    };
    [[nodiscard]] delta delta_since(std::uint64_t known) const;
    /// The latest marks; never null.
    [[nodiscard]] const std::shared_ptr<const cw_crash_counts>& latest() const { return latest_; }
    /// The digest of the latest marks.
    [[nodiscard]] std::uint64_t digest() const { return digest_; }

private:
    struct change {
        std::uint64_t base_digest;
        cw_crash_counts changes;
    };

    /// Changes that are remembered.
    static constexpr std::size_t max_changes = 200;

    std::shared_ptr<const cw_crash_counts> latest_ = std::make_shared<cw_crash_counts>();
    std::uint64_t digest_ = digest_of({});
    /// The step to the latest marks last.
    std::deque<change> changes_;
};
