#pragma once

#include <cstdint>
#include <string>

/// An upstream that has said in an answer that it will end.
struct cw_leaving_note {
    std::string service;
    std::string id;
    std::uint64_t life = 0;

    friend bool operator==(const cw_leaving_note&, const cw_leaving_note&) = default;
};
