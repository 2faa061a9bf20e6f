#include "cw_relay.h"

#include <algorithm>
#include <utility>

cw_relay::cw_relay(std::string self, cw_relay_options options, std::uint64_t seed)
    : self_{std::move(self)},
      options_{options},
      engine_{static_cast<std::minstd_rand::result_type>(seed)} {}

std::size_t cw_relay::index_of(const std::string& host) const {
    return static_cast<std::size_t>(std::find(domain_.begin(), domain_.end(), host) -
                                    domain_.begin());
}

void cw_relay::set_hosts(std::vector<std::string> domain, std::vector<std::string> foreign) {
    if (domain != domain_) {
        // Offers are kept by position, which the new list changes; repair mends what is forgotten
        // here.
        offers_.clear();
    }
    domain_ = std::move(domain);
    foreign_ = std::move(foreign);
    own_index_ = index_of(self_);
}

bool cw_relay::is_watcher() const {
    return own_index_ < domain_.size() && own_index_ < options_.watchers;
}

void cw_relay::emit(cw_relay_command::kind action, const std::string& host, std::uint64_t version) {
    commands_.push_back({action, host, version});
}

void cw_relay::offer_to(std::size_t index, cw_time_point now) {
    emit(cw_relay_command::kind::offer, domain_[index], version_);
    offers_[index] = {version_, now + options_.patience};
}

void cw_relay::offer_to_children(std::size_t index, cw_time_point now) {
    const auto first = index * options_.fanout + 1;
    for (auto child = first; child < first + options_.fanout && child < domain_.size(); ++child) {
        if (child != own_index_) {
            offer_to(child, now);
        }
    }
}

void cw_relay::on_version(std::uint64_t version, cw_time_point now) {
    if (version <= version_) {
        return;
    }
    version_ = version;
    fetching_ = 0;
    next_repair_ = now + options_.repair;
    offers_.clear();
    if (own_index_ >= domain_.size()) {
        return;
    }
    offer_to_children(own_index_, now);
    if (is_watcher()) {
        // Any watcher may be the only one that reaches the store, so each serves the top of the
        // tree.
        for (std::size_t top = 0; top < std::min(options_.watchers, domain_.size()); ++top) {
            if (top != own_index_) {
                offer_to(top, now);
            }
        }
        for (const auto& host : foreign_) {
            emit(cw_relay_command::kind::offer, host, version_);
        }
    }
}

void cw_relay::on_offer(const std::string& from, std::uint64_t version, cw_time_point now) {
    if (version < version_) {
        emit(cw_relay_command::kind::offer, from, version_);
        return;
    }
    emit(cw_relay_command::kind::acknowledge, from, version);
    const bool busy = fetching_ >= version && now < fetch_due_;
    if (version > version_ && !busy) {
        fetching_ = version;
        fetch_due_ = now + options_.fetch_timeout;
        emit(cw_relay_command::kind::fetch, from, version);
    }
}

void cw_relay::on_acknowledgement(const std::string& from, std::uint64_t version) {
    const auto found = offers_.find(index_of(from));
    if (found != offers_.end() && found->second.version <= version) {
        offers_.erase(found);
    }
}

void cw_relay::on_tick(cw_time_point now) {
    std::vector<std::size_t> silent;
    for (const auto& [index, waiting] : offers_) {
        if (now >= waiting.due) {
            silent.push_back(index);
        }
    }
    for (const auto index : silent) {
        offers_.erase(index);
        offer_to_children(index, now);
    }
    if (version_ == 0 || now < next_repair_ || domain_.size() + foreign_.size() < 2) {
        return;
    }
    next_repair_ = now + options_.repair;
    const auto drawn = engine_() % (domain_.size() + foreign_.size());
    const auto& host = drawn < domain_.size() ? domain_[drawn] : foreign_[drawn - domain_.size()];
    if (host != self_) {
        emit(cw_relay_command::kind::offer, host, version_);
    }
}

std::vector<cw_relay_command> cw_relay::take_commands() {
    return std::exchange(commands_, {});
}
