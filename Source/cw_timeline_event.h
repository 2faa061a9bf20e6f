#pragma once

#include <string>

/// One event of the time line. The I/O code around the decision code adds wall-clock time, host,
/// failure domain and component.
struct cw_timeline_event {
    /// What happened, such as "slice-moved".
    std::string type;
    /// Service, upstream, slice or peer that it concerns.
    std::string subject;
    /// Further facts as text; may be empty.
    std::string detail;
};
