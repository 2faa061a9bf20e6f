#pragma once

#include <cstdint>
#include <map>

/// Requests that crashed upstreams, by fingerprint, with the number of crashes.
using cw_crash_counts = std::map<std::uint64_t, std::uint32_t>;
