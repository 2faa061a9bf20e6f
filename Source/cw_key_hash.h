#pragma once

#include <cstdint>
#include <string_view>

/// Position of a key on the 64-bit ring. The seed must never change, because all processes of all
/// versions have to agree on the position.
[[nodiscard]] std::uint64_t cw_key_hash(std::string_view key);

/// Weight of a (name, candidate) pair for rendezvous hashing; the highest weight wins.
[[nodiscard]] std::uint64_t cw_rendezvous_weight(std::string_view name, std::string_view candidate);

/// Fingerprint of a request: a hash of what an upstream receives of it, by which a repeated request
/// is recognised.
[[nodiscard]] std::uint64_t cw_request_fingerprint(std::string_view method, std::string_view target,
                                                   std::string_view body);
