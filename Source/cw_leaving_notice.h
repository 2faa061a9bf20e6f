#pragma once

#include <cstdint>
#include <string>

/// An upstream that has said in an answer that it will end.
struct cw_leaving_notice {
    std::string service;
    std::string id;
    std::uint64_t incarnation = 0;

    friend bool operator==(const cw_leaving_notice&, const cw_leaving_notice&) = default;
};
