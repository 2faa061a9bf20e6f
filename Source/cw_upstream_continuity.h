#pragma once

#include "cw_boot_clock.h"
#include "cw_steward_command.h"

#include <cstddef>
#include <map>
#include <string>

/// Tells on which connections a grant may be sent, so that an upstream which started again gets no
/// grants of a steward that was succeeded without knowing it.
///
/// An upstream refuses the grants of a succeeded steward by the fences that it has seen, and a
/// restart loses them. A connection leads to one process only. If it was established before the
/// store confirmed the steward, that process has been asked to release keys, if at all, by a
/// successor of after the confirmation, and remembers its fence as long as the connection lasts.
class cw_upstream_continuity {
public:
    /// The latest time at which a connection may have been established on which the grant is sent.
    [[nodiscard]] cw_boot_time established_by(const cw_ownership_command& grant) const;
    /// The upstream has executed a grant that was sent at `sent_at` on a connection which was
    /// established in time. The same process has accepted all connections until then.
    void on_answer(const cw_ownership_command& grant, cw_boot_time sent_at);

private:
    /// Limit of the upstreams that are remembered. A forgotten one costs a confirmation.
    static constexpr std::size_t max_upstreams = 16'384;

    /// When the last grant was sent that an upstream answered, by its address.
    std::map<std::string, cw_boot_time> answered_until_;
};
