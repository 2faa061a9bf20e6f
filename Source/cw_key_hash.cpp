#include "cw_key_hash.h"

#include <xxhash.h>

namespace {
constexpr XXH64_hash_t key_seed = 0x63756d696e77696eULL;
} // namespace

std::uint64_t cw_key_hash(std::string_view key) {
    return XXH3_64bits_withSeed(key.data(), key.size(), key_seed);
}

std::uint64_t cw_rendezvous_weight(std::string_view name, std::string_view candidate) {
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), cw_key_hash(name));
}

std::uint64_t cw_request_fingerprint(std::string_view method, std::string_view target,
                                     std::string_view body) {
    const auto head = XXH3_64bits_withSeed(target.data(), target.size(), cw_key_hash(method));
    return XXH3_64bits_withSeed(body.data(), body.size(), head);
}
