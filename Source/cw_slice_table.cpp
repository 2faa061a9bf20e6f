#include "cw_slice_table.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace {

constexpr auto ring_end = std::numeric_limits<std::uint64_t>::max();
/// Slices per owner above which the table counts as fragmented.
constexpr std::size_t max_slices_per_owner = 16;

bool covers_ring(const std::vector<cw_slice>& slices) {
    if (slices.empty() || slices.front().first != 0 || slices.back().last != ring_end) {
        return false;
    }
    for (std::size_t i = 0; i < slices.size(); ++i) {
        if (slices[i].first > slices[i].last) {
            return false;
        }
        if (i > 0 && slices[i].first != slices[i - 1].last + 1) {
            return false;
        }
    }
    return true;
}

} // namespace

cw_slice_table cw_slice_table::initial(std::string service,
                                       std::span<const cw_upstream_location> upstreams,
                                       std::size_t slices_per_upstream) {
    cw_slice_table table;
    table.service_ = std::move(service);
    table.epoch_ = 1;
    const auto count = upstreams.size() * slices_per_upstream;
    const auto width = ring_end / count;
    for (std::size_t i = 0; i < count; ++i) {
        const auto last = i + 1 == count ? ring_end : (i + 1) * width - 1;
        table.slices_.push_back({i * width, last, upstreams[i % upstreams.size()].id, 1});
    }
    for (const auto& upstream : upstreams) {
        table.owners_[upstream.id] = {upstream.domain, upstream.address, 1};
    }
    table.count_slices();
    return table;
}

cw_result<cw_slice_table> cw_slice_table::parse(std::string_view text) {
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    cw_slice_table table;
    try {
        table.service_ = parsed.at("service").get<std::string>();
        table.writer_ = parsed.at("writer").get<std::string>();
        table.epoch_ = parsed.at("epoch").get<std::uint64_t>();
        std::vector<std::string> names;
        for (const auto& item : parsed.at("owners")) {
            names.push_back(item.at(0).get<std::string>());
            table.owners_[names.back()] = {item.at(1).get<std::string>(),
                                           item.at(2).get<std::string>(),
                                           item.at(3).get<std::uint64_t>(), 0};
        }
        std::uint64_t first = 0;
        for (const auto& item : parsed.at("slices")) {
            const auto last = item.at(0).get<std::uint64_t>();
            table.slices_.push_back({first, last, names.at(item.at(1).get<std::size_t>()),
                                     item.at(2).get<std::uint64_t>()});
            first = last + 1;
        }
    } catch (const std::exception& failure) {
        return tl::unexpected(cw_error{"parse slice table", "store", failure.what()});
    }
    if (!covers_ring(table.slices_)) {
        return tl::unexpected(
            cw_error{"parse slice table", "store", "slices do not cover the ring"});
    }
    table.count_slices();
    return table;
}

const cw_slice& cw_slice_table::slice_of(std::uint64_t hash) const {
    return *std::lower_bound(
        slices_.begin(), slices_.end(), hash,
        [](const cw_slice& slice, std::uint64_t at) { return slice.last < at; });
}

std::vector<cw_slice> cw_slice_table::owned_by(std::string_view upstream) const {
    std::vector<cw_slice> owned;
    std::copy_if(slices_.begin(), slices_.end(), std::back_inserter(owned),
                 [&](const cw_slice& slice) { return slice.owner == upstream; });
    return owned;
}

bool cw_slice_table::owns_slices(const std::string& upstream) const {
    const auto* known = owner(upstream);
    return known != nullptr && known->slices > 0;
}

void cw_slice_table::count_slices() {
    for (auto& [id, owner] : owners_) {
        owner.slices = 0;
    }
    for (const auto& slice : slices_) {
        ++owners_[slice.owner].slices;
    }
}

std::uint64_t cw_slice_table::fence_of(const std::string& upstream) const {
    const auto found = owners_.find(upstream);
    return found == owners_.end() ? 0 : found->second.fence;
}

const cw_slice_owner* cw_slice_table::owner(const std::string& upstream) const {
    const auto found = owners_.find(upstream);
    return found == owners_.end() ? nullptr : &found->second;
}

std::string cw_slice_table::to_json() const {
    auto owners = nlohmann::json::array();
    std::map<std::string, std::size_t> numbers;
    for (const auto& [upstream, owner] : owners_) {
        numbers.emplace(upstream, owners.size());
        owners.push_back({upstream, owner.domain, owner.address, owner.fence});
    }
    auto slices = nlohmann::json::array();
    for (const auto& slice : slices_) {
        slices.push_back({slice.last, numbers.at(slice.owner), slice.generation});
    }
    return nlohmann::json{{"service", service_},
                          {"epoch", epoch_},
                          {"writer", writer_},
                          {"owners", owners},
                          {"slices", slices}}
        .dump();
}

void cw_slice_table::apply_move(const cw_slice_move& move) {
    std::vector<cw_slice> result;
    result.reserve(slices_.size() + 2);
    for (const auto& slice : slices_) {
        const auto first = std::max(slice.first, move.first);
        const auto last = std::min(slice.last, move.last);
        if (first > last || slice.owner != move.from) {
            result.push_back(slice);
            continue;
        }
        if (slice.first < first) {
            result.push_back({slice.first, first - 1, slice.owner, slice.generation});
        }
        result.push_back({first, last, move.to.id, epoch_});
        if (last < slice.last) {
            result.push_back({last + 1, slice.last, slice.owner, slice.generation});
        }
    }
    slices_ = std::move(result);
    owners_[move.from].fence = epoch_;
    owners_[move.to.id] = {move.to.domain, move.to.address, epoch_};
}

bool cw_slice_table::is_fragmented() const {
    const auto owning = std::count_if(owners_.begin(), owners_.end(),
                                      [](const auto& entry) { return entry.second.slices > 0; });
    return slices_.size() > max_slices_per_owner * static_cast<std::size_t>(owning);
}

void cw_slice_table::merge_adjacent_slices() {
    std::vector<cw_slice> result;
    result.reserve(slices_.size());
    for (const auto& slice : slices_) {
        const bool is_mergeable = !result.empty() && result.back().owner == slice.owner &&
                                  owners_.at(slice.owner).fence == epoch_;
        if (!is_mergeable) {
            result.push_back(slice);
            continue;
        }
        result.back().last = slice.last;
        result.back().generation = epoch_;
    }
    slices_ = std::move(result);
}

cw_slice_table cw_slice_table::with_moves(std::span<const cw_slice_move> moves,
                                          std::uint64_t epoch) const {
    cw_slice_table next = *this;
    next.epoch_ = epoch;
    for (const auto& move : moves) {
        next.apply_move(move);
    }
    next.count_slices();
    if (next.is_fragmented()) {
        next.merge_adjacent_slices();
        next.count_slices();
    }
    return next;
}

cw_slice_table cw_slice_table::with_epoch(const std::string& upstream, std::uint64_t epoch) const {
    cw_slice_table next = *this;
    next.epoch_ = epoch;
    if (!upstream.empty()) {
        next.owners_[upstream].fence = epoch;
    }
    return next;
}
