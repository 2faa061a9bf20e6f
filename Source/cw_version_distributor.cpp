#include "cw_version_distributor.h"

#include <algorithm>
#include <utility>

cw_version_distributor::cw_version_distributor(std::string self,
                                               cw_version_distributor_options options,
                                               std::uint64_t seed)
    : self_{std::move(self)},
      options_{options},
      engine_{static_cast<std::minstd_rand::result_type>(seed)} {}

std::size_t cw_version_distributor::index_of(const std::string& host) const {
    return static_cast<std::size_t>(std::find(domain_.begin(), domain_.end(), host) -
                                    domain_.begin());
}

void cw_version_distributor::set_hosts(std::vector<std::string> domain,
                                       std::vector<std::string> remote_hosts) {
    if (domain != domain_) {
        // Pending offers are indexed by position, which the new list changes. The random offers of
        // on_tick() replace the offers discarded here.
        offers_.clear();
    }
    domain_ = std::move(domain);
    remote_hosts_ = std::move(remote_hosts);
    own_index_ = index_of(self_);
}

bool cw_version_distributor::watches_store() const {
    return own_index_ < domain_.size() && own_index_ < options_.watchers;
}

void cw_version_distributor::emit(cw_version_distributor_command::kind action,
                                  const std::string& host, std::uint64_t version) {
    commands_.push_back({action, host, version});
}

void cw_version_distributor::offer_to(std::size_t index, cw_time_point now) {
    emit(cw_version_distributor_command::kind::offer, domain_[index], version_);
    offers_[index] = {version_, now + options_.ack_timeout};
}

void cw_version_distributor::offer_to_children(std::size_t index, cw_time_point now) {
    const auto first = index * options_.fanout + 1;
    for (auto child = first; child < first + options_.fanout && child < domain_.size(); ++child) {
        if (child != own_index_) {
            offer_to(child, now);
        }
    }
}

void cw_version_distributor::on_version(std::uint64_t version, cw_time_point now) {
    if (version <= version_) {
        return;
    }
    version_ = version;
    fetching_version_ = 0;
    next_repair_ = now + options_.repair_interval;
    offers_.clear();
    if (own_index_ >= domain_.size()) {
        return;
    }
    offer_to_children(own_index_, now);
    if (watches_store()) {
        // Each watcher offers to the other watchers because it may be the only one that can reach
        // the store.
        for (std::size_t top = 0; top < std::min(options_.watchers, domain_.size()); ++top) {
            if (top != own_index_) {
                offer_to(top, now);
            }
        }
        for (const auto& host : remote_hosts_) {
            emit(cw_version_distributor_command::kind::offer, host, version_);
        }
    }
}

void cw_version_distributor::on_offer(const std::string& from, std::uint64_t version,
                                      cw_time_point now) {
    if (version < version_) {
        emit(cw_version_distributor_command::kind::offer, from, version_);
        return;
    }
    emit(cw_version_distributor_command::kind::acknowledge, from, version);
    const bool busy = fetching_version_ >= version && now < fetch_deadline_;
    if (version > version_ && !busy) {
        fetching_version_ = version;
        fetch_deadline_ = now + options_.fetch_timeout;
        emit(cw_version_distributor_command::kind::fetch, from, version);
    }
}

void cw_version_distributor::on_acknowledgement(const std::string& from, std::uint64_t version) {
    const auto found = offers_.find(index_of(from));
    if (found != offers_.end() && found->second.version <= version) {
        offers_.erase(found);
    }
}

void cw_version_distributor::on_tick(cw_time_point now) {
    std::vector<std::size_t> unacknowledged;
    for (const auto& [index, waiting] : offers_) {
        if (now >= waiting.due_at) {
            unacknowledged.push_back(index);
        }
    }
    for (const auto index : unacknowledged) {
        offers_.erase(index);
        offer_to_children(index, now);
    }
    if (version_ == 0 || now < next_repair_ || domain_.size() + remote_hosts_.size() < 2) {
        return;
    }
    next_repair_ = now + options_.repair_interval;
    const auto drawn = engine_() % (domain_.size() + remote_hosts_.size());
    const auto& host =
        drawn < domain_.size() ? domain_[drawn] : remote_hosts_[drawn - domain_.size()];
    if (host != self_) {
        emit(cw_version_distributor_command::kind::offer, host, version_);
    }
}

std::vector<cw_version_distributor_command> cw_version_distributor::take_commands() {
    return std::exchange(commands_, {});
}
