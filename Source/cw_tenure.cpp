#include "cw_tenure.h"

#include <algorithm>

namespace {
/// Limit on outstanding requests; older ones could only confirm a tenure that has expired.
constexpr std::size_t max_requests = 256;
} // namespace

void cw_tenure::on_request_sent(const cw_ring_member& peer, std::uint64_t sequence,
                                cw_time_point now) {
    requests_.insert_or_assign(sequence, request{peer, now});
    while (requests_.size() > max_requests) {
        requests_.erase(requests_.begin());
    }
}

void cw_tenure::on_promise(const cw_ring_member& peer, std::uint64_t sequence) {
    const auto found = requests_.find(sequence);
    if (found == requests_.end() || found->second.peer != peer) {
        return;
    }
    const auto promise_end = found->second.sent + length_;
    auto& promised = promises_.try_emplace(peer, promise_end).first->second;
    promised = std::max(promised, promise_end);
    requests_.erase(found);
}

void cw_tenure::on_store_confirmation(cw_time_point sent) {
    const auto confirmed_end = sent + length_;
    store_end_ = store_end_ ? std::max(*store_end_, confirmed_end) : confirmed_end;
}

void cw_tenure::on_removal() {
    store_end_.reset();
    promises_.clear();
    requests_.clear();
}

std::optional<cw_time_point> cw_tenure::expiry(const std::vector<cw_ring_member>& peers) const {
    if (peers.empty()) {
        return std::nullopt;
    }
    auto earliest_end = cw_time_point::max();
    for (const auto& peer : peers) {
        const auto found = promises_.find(peer);
        earliest_end =
            std::min(earliest_end, found == promises_.end() ? cw_time_point::min() : found->second);
    }
    return std::max(earliest_end, store_end_.value_or(cw_time_point::min()));
}

bool cw_tenure::is_valid(const std::vector<cw_ring_member>& peers, cw_time_point now) const {
    const auto until = expiry(peers);
    return !until || now < *until;
}
