#pragma once

#include <cstdint>
#include <string>

/// One run of a keeper process. A new incarnation under the same host id proves that the old one
/// has ended.
struct cw_ring_member {
    std::string host;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const cw_ring_member&, const cw_ring_member&) = default;
};
