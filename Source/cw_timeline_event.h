#pragma once

#include <string>

/// One point on the time line. The shell adds wall-clock time, host, failure domain and part.
struct cw_timeline_event {
    /// What happened, such as "slice-moved".
    std::string type;
    /// Service, upstream, slice or peer that it concerns.
    std::string subject;
    std::string detail;
};
