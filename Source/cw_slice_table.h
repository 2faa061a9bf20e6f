#pragma once

#include "cw_error.h"
#include "cw_slice.h"
#include "cw_slice_move.h"
#include "cw_slice_owner.h"
#include "cw_upstream_location.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// The slice table of one service: slices in ring order that cover the whole ring, each with its
/// owner.
///
/// The slices of a table do not change; each change creates a table with a higher epoch, which is
/// the version number. All fences are epochs, so a fence assigned by a later table is higher than
/// any fence assigned by an earlier one.
class cw_slice_table {
public:
    cw_slice_table() = default;

    /// Creates the first table of a service: slices of equal width, assigned round-robin.
    /// Pre: upstreams is not empty and slices_per_upstream is positive.
    [[nodiscard]] static cw_slice_table initial(std::string service,
                                                std::span<const cw_upstream_location> upstreams,
                                                std::size_t slices_per_upstream);
    /// Parses the JSON form. Error if it is malformed or if the slices leave a gap or overlap.
    [[nodiscard]] static cw_result<cw_slice_table> parse(std::string_view text);

    [[nodiscard]] const std::string& service() const { return service_; }
    /// Version number of the table; 0 for an empty one.
    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
    /// Id of the write that stored this table. A writer that got no reply recognises its own write
    /// by it.
    [[nodiscard]] const std::string& writer() const { return writer_; }
    void set_writer(std::string writer) { writer_ = std::move(writer); }
    [[nodiscard]] const std::vector<cw_slice>& slices() const { return slices_; }
    /// The slice that contains the position. Pre: the table has slices.
    [[nodiscard]] const cw_slice& slice_of(std::uint64_t hash) const;
    /// The slices of an upstream in ring order.
    [[nodiscard]] std::vector<cw_slice> owned_by(std::string_view upstream) const;
    [[nodiscard]] bool owns_slices(const std::string& upstream) const;
    /// Fence of the grants to this upstream; 0 if it never owned a slice.
    [[nodiscard]] std::uint64_t fence_of(const std::string& upstream) const;
    /// True if hand-overs have split the ring into more than 16 slices per owner on average.
    [[nodiscard]] bool is_fragmented() const;
    /// Every upstream that owns or has owned a slice.
    [[nodiscard]] const std::map<std::string, cw_slice_owner>& owners() const { return owners_; }
    /// Record of an upstream; null if it never owned a slice.
    [[nodiscard]] const cw_slice_owner* owner(const std::string& upstream) const;
    [[nodiscard]] std::string to_json() const;

    /// Returns the table after the moves, with the given epoch. Ranges that `from` no longer owns
    /// are skipped. In a fragmented table, adjacent slices of the upstreams concerned are merged;
    /// these upstreams get new fences anyway. Pre: epoch is above the present epoch.
    [[nodiscard]] cw_slice_table with_moves(std::span<const cw_slice_move> moves,
                                            std::uint64_t epoch) const;
    /// Returns a table with the same owners and a higher epoch. The epoch also becomes the fence of
    /// `upstream`, unless that is empty.
    [[nodiscard]] cw_slice_table with_epoch(const std::string& upstream, std::uint64_t epoch) const;

private:
    /// Assigns the part of the range that `from` owns to the new owner; both get new fences.
    void apply_move(const cw_slice_move& move);
    /// Merges adjacent slices of the same owner where the owner's fence is the present epoch.
    void merge_adjacent_slices();
    void count_slices();

    std::string service_;
    std::string writer_;
    std::uint64_t epoch_ = 0;
    std::vector<cw_slice> slices_;
    std::map<std::string, cw_slice_owner> owners_;
};
