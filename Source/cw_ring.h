#pragma once

#include "cw_error.h"
#include "cw_ring_member.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// The ring record of one failure domain in the store: the keepers that may grant leases there.
struct cw_ring {
    std::string domain;
    /// Number of changes of this record; increases by one with each write.
    std::uint64_t epoch = 0;
    /// Keepers of the domain, by host id.
    std::vector<cw_ring_member> members;
    /// Epoch at which each member joined, by host id.
    std::map<std::string, std::uint64_t> joined_epochs;
    /// Keepers of another domain that may release this domain's services of the `release` policy.
    std::vector<cw_ring_member> deputies;
    /// Epoch at which the list of deputies last changed.
    std::uint64_t deputies_epoch = 0;
    /// Table epoch per released service; this domain may grant leases of the service only under a
    /// higher epoch.
    std::map<std::string, std::uint64_t> released;
    /// Identifier of the write that produced this value, by which a writer that lost the reply
    /// recognizes it.
    std::string writer;

    [[nodiscard]] bool has_member(const cw_ring_member& member) const;
    [[nodiscard]] bool is_deputy(const cw_ring_member& member) const;
    /// Adds a member under the current epoch and removes any earlier incarnation of the same host.
    void add(const cw_ring_member& member);
    void remove(const cw_ring_member& member);
    [[nodiscard]] std::string to_json() const;
    /// Parses the JSON form; an error if it is malformed or a field is missing.
    [[nodiscard]] static cw_result<cw_ring> parse(std::string_view text);
};
