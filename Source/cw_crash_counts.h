#pragma once

#include <cstdint>
#include <map>

/// Number of upstream crashes that each request is suspected of, by request fingerprint.
using cw_crash_counts = std::map<std::uint64_t, std::uint32_t>;
