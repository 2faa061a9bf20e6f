#pragma once

#include <cstdint>
#include <string_view>

/// Position of a key on the 64-bit ring. The seed is fixed: every process must agree on it for
/// ever.
[[nodiscard]] std::uint64_t cw_key_hash(std::string_view key);

/// Weight of a (name, candidate) pair for rendezvous hashing; the highest weight wins.
[[nodiscard]] std::uint64_t cw_rendezvous_weight(std::string_view name, std::string_view candidate);

/// Names a request by what an upstream gets of it, so that it is recognised when it is sent again.
[[nodiscard]] std::uint64_t cw_request_fingerprint(std::string_view method, std::string_view target,
                                                   std::string_view body);
