#pragma once

#include <cstdint>
#include <string>

/// One process of a keeper. A new incarnation under the same host id shows that the old process has
/// ended.
struct cw_ring_member {
    std::string host;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const cw_ring_member&, const cw_ring_member&) = default;
};
