#pragma once

#include "cw_error.h"
#include "cw_slice.h"
#include "cw_slice_move.h"
#include "cw_slice_owner.h"
#include "cw_upstream_place.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Owners of all keys of one service: slices in ring order that cover the whole ring.
///
/// A table is immutable; each change yields a table with a higher epoch. The epoch is the only
/// source of fences, so a fence of a later table is always above one of an earlier table.
class cw_slice_table {
public:
    cw_slice_table() = default;

    /// The first table of a service: equal slices, dealt in turn to the upstreams.
    /// Pre: upstreams is not empty and slices_per_upstream is positive.
    [[nodiscard]] static cw_slice_table initial(std::string service,
                                                std::span<const cw_upstream_place> upstreams,
                                                std::size_t slices_per_upstream);
    /// Reads the JSON form and checks that the slices cover the ring without a gap or an overlap.
    [[nodiscard]] static cw_result<cw_slice_table> parse(std::string_view text);

    [[nodiscard]] const std::string& service() const { return service_; }
    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
    /// The write that produced this table, so that a lost reply can be recognised.
    [[nodiscard]] const std::string& writer() const { return writer_; }
    void set_writer(std::string writer) { writer_ = std::move(writer); }
    [[nodiscard]] const std::vector<cw_slice>& slices() const { return slices_; }
    [[nodiscard]] const cw_slice& slice_of(std::uint64_t hash) const;
    [[nodiscard]] std::vector<cw_slice> owned_by(std::string_view upstream) const;
    [[nodiscard]] bool owns_slices(const std::string& upstream) const;
    /// The fence under which grants to this upstream are made; 0 when it never owned a slice.
    [[nodiscard]] std::uint64_t fence_of(const std::string& upstream) const;
    /// True when hand-overs have cut the ring into many more slices than its owners need.
    [[nodiscard]] bool is_fragmented() const;
    /// Every upstream that owns or has owned a slice.
    [[nodiscard]] const std::map<std::string, cw_slice_owner>& owners() const { return owners_; }
    /// What the table records of an upstream; null when it never owned a slice.
    [[nodiscard]] const cw_slice_owner* owner(const std::string& upstream) const;
    [[nodiscard]] std::string to_json() const;

    /// The table with the given epoch after the moves. Ranges no longer owned by `from` are left
    /// alone. In a fragmented table, neighbouring slices of the upstreams concerned are joined,
    /// since these get new fences anyway. Pre: epoch is above the present epoch.
    [[nodiscard]] cw_slice_table with_moves(std::span<const cw_slice_move> moves,
                                            std::uint64_t epoch) const;
    /// The same owners under a higher epoch, and a higher fence for one upstream unless it is
    /// empty.
    [[nodiscard]] cw_slice_table with_epoch(const std::string& upstream, std::uint64_t epoch) const;

private:
    void apply_move(const cw_slice_move& move);
    /// Joins neighbouring slices of owners whose fence is the present epoch.
    void merge_adjacent_slices();
    void count_slices();

    std::string service_;
    std::string writer_;
    std::uint64_t epoch_ = 0;
    std::vector<cw_slice> slices_;
    std::map<std::string, cw_slice_owner> owners_;
};
