/// Compares methods of distributing one version to all hosts in an in-memory simulation: messages,
/// bytes, rounds, and hosts not reached, with some hosts failed. The tree is the production code;
/// the others are simple models.

#include "cw_version_distributor.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;

/// Bytes of an offer or an acknowledgement on the wire, UDP and IP headers included.
constexpr std::size_t offer_bytes = 70;
/// Bytes of one fetched configuration change, headers included.
constexpr std::size_t change_bytes = 2'500;
constexpr std::size_t domains = 17;
constexpr auto hop_delay = 10ms;

struct spread_result {
    /// Offers, for the tree including acknowledgements.
    std::size_t offers = 0;
    std::size_t fetches = 0;
    std::size_t rounds = 0;
    std::size_t missed_hosts = 0;
    std::size_t max_messages_per_host = 0;

    void print(const char* method, std::size_t hosts, const char* failure_label) const {
        std::printf("%s,%zu,%s,%zu,%zu,%zu,%zu,%zu,%zu\n", method, hosts, failure_label, offers,
                    fetches, offers * offer_bytes + fetches * change_bytes, rounds,
                    max_messages_per_host, missed_hosts);
    }
};

/// Hosts 0 to count - 1 in name order. Each domain is a contiguous range; some hosts have failed.
struct host_set {
    std::size_t count;
    std::vector<bool> failed;
    [[nodiscard]] std::size_t domain_of(std::size_t host) const { return host * domains / count; }
};

spread_result with_missed_count(const host_set& hosts, const std::vector<bool>& reached,
                                spread_result result) {
    for (std::size_t i = 0; i < hosts.count; ++i) {
        result.missed_hosts += !hosts.failed[i] && !reached[i] ? 1 : 0;
    }
    return result;
}

spread_result star(const host_set& hosts) {
    spread_result result;
    std::vector<bool> reached(hosts.count, false);
    for (std::size_t i = 0; i < hosts.count; ++i) {
        ++result.offers;
        if (!hosts.failed[i]) {
            ++result.fetches;
            reached[i] = true;
        }
    }
    result.rounds = 1;
    result.max_messages_per_host = result.offers;
    return with_missed_count(hosts, reached, result);
}

spread_result gossip(const host_set& hosts, std::uint64_t seed) {
    constexpr std::size_t fanout = 3;
    constexpr std::size_t extra_rounds = 4;
    std::mt19937_64 engine{seed};
    spread_result result;
    std::vector<bool> reached(hosts.count, false);
    std::vector<std::size_t> sent(hosts.count, 0);
    const auto first = static_cast<std::size_t>(
        std::find(hosts.failed.begin(), hosts.failed.end(), false) - hosts.failed.begin());
    reached[first] = true;
    const auto limit = static_cast<std::size_t>(std::log2(hosts.count)) + extra_rounds;
    for (; result.rounds < limit; ++result.rounds) {
        auto next = reached;
        for (std::size_t i = 0; i < hosts.count; ++i) {
            for (std::size_t k = 0; reached[i] && k < fanout; ++k) {
                const auto target = engine() % hosts.count;
                ++result.offers;
                ++sent[i];
                if (!hosts.failed[target] && !next[target]) {
                    next[target] = true;
                    ++result.fetches;
                }
            }
        }
        reached = std::move(next);
    }
    result.max_messages_per_host = *std::max_element(sent.begin(), sent.end());
    return with_missed_count(hosts, reached, result);
}

/// A ring in name order with pointers to the hosts 1, 2, 4, ... positions ahead. Each host that has
/// the version distributes it within its span, which it halves with each message.
spread_result skip_ring(const host_set& hosts) {
    spread_result result;
    std::vector<bool> reached(hosts.count, false);
    std::vector<std::size_t> sent(hosts.count, 0);
    struct span {
        std::size_t first;
        std::size_t end;
        std::size_t round;
    };
    const auto start = static_cast<std::size_t>(
        std::find(hosts.failed.begin(), hosts.failed.end(), false) - hosts.failed.begin());
    std::deque<span> work{{start, hosts.count, 0}};
    reached[start] = true;
    while (!work.empty()) {
        const auto [first, end, round] = work.front();
        work.pop_front();
        result.rounds = std::max(result.rounds, round);
        auto stop = end;
        for (auto step = std::size_t{1} << 13U; step > 0; step /= 2) {
            if (first + step >= stop) {
                continue;
            }
            // A failed target is replaced by the next live host of its span; each failed host costs
            // one more offer.
            auto target = first + step;
            while (target < stop && hosts.failed[target]) {
                ++result.offers;
                ++sent[first];
                ++target;
            }
            if (target < stop) {
                ++result.offers;
                ++result.fetches;
                ++sent[first];
                reached[target] = true;
                work.push_back({target, stop, round + 1});
            }
            stop = first + step;
        }
    }
    result.max_messages_per_host = *std::max_element(sent.begin(), sent.end());
    return with_missed_count(hosts, reached, result);
}

/// The production distributors of all hosts on a network that delays each message by
/// `hop_delay`.
class distributor_network {
public:
    explicit distributor_network(const host_set& hosts)
        : hosts_{hosts},
          sent_(hosts.count, 0) {
        std::map<std::size_t, std::vector<std::string>> members;
        for (std::size_t i = 0; i < hosts.count; ++i) {
            members[hosts.domain_of(i)].push_back(host_name(i));
        }
        for (std::size_t i = 0; i < hosts.count; ++i) {
            std::vector<std::string> other_domain_hosts;
            for (const auto& [domain, list] : members) {
                if (domain != hosts.domain_of(i)) {
                    other_domain_hosts.push_back(list.front());
                }
            }
            distributors_.emplace_back(host_name(i), cw_version_distributor_options{}, i + 1);
            distributors_.back().set_hosts(members[hosts.domain_of(i)], other_domain_hosts);
        }
    }

    spread_result run(std::chrono::milliseconds duration) {
        for (std::size_t i = 0; i < hosts_.count; ++i) {
            if (!hosts_.failed[i] && distributors_[i].watches_store()) {
                distributors_[i].on_version(1, now_);
                send_commands(i);
            }
        }
        const auto start = now_;
        while (now_ < start + duration) {
            now_ += hop_delay;
            auto batch = std::move(queue_);
            queue_.clear();
            for (const auto& [from, command] : batch) {
                deliver(from, command);
            }
            for (std::size_t i = 0; i < hosts_.count; ++i) {
                if (!hosts_.failed[i]) {
                    distributors_[i].on_tick(now_);
                    send_commands(i);
                }
            }
            if (missed_count() == 0) {
                result_.rounds = static_cast<std::size_t>((now_ - start) / hop_delay);
                break;
            }
            result_.rounds = static_cast<std::size_t>((now_ - start) / hop_delay);
        }
        result_.missed_hosts = missed_count();
        result_.max_messages_per_host = *std::max_element(sent_.begin(), sent_.end());
        return result_;
    }

private:
    static std::string host_name(std::size_t i) {
        auto digits = std::to_string(i);
        return "h" + std::string(6 - digits.size(), '0') + digits;
    }
    static std::size_t host_index(const std::string& host) { return std::stoull(host.substr(1)); }

    void send_commands(std::size_t host) {
        for (const auto& command : distributors_[host].take_commands()) {
            const bool is_fetch = command.action == cw_version_distributor_command::kind::fetch;
            ++(is_fetch ? result_.fetches : result_.offers);
            ++sent_[host];
            queue_.emplace_back(host, command);
        }
    }

    void deliver(std::size_t from, const cw_version_distributor_command& command) {
        const auto target = host_index(command.host);
        if (hosts_.failed[target]) {
            return;
        }
        if (command.action == cw_version_distributor_command::kind::offer) {
            distributors_[target].on_offer(host_name(from), command.version, now_);
        } else if (command.action == cw_version_distributor_command::kind::acknowledge) {
            distributors_[target].on_acknowledgement(host_name(from), command.version);
        } else {
            distributors_[from].on_version(distributors_[target].version(), now_);
            send_commands(from);
            return;
        }
        send_commands(target);
    }

    std::size_t missed_count() const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < hosts_.count; ++i) {
            count += !hosts_.failed[i] && distributors_[i].version() == 0 ? 1 : 0;
        }
        return count;
    }

    const host_set& hosts_;
    std::vector<cw_version_distributor> distributors_;
    std::vector<std::size_t> sent_;
    std::vector<std::pair<std::size_t, cw_version_distributor_command>> queue_;
    cw_time_point now_{1h};
    spread_result result_;
};

host_set make_host_set(std::size_t count, double failure_rate, bool domain_failed) {
    std::mt19937_64 engine{count + static_cast<std::uint64_t>(failure_rate * 1000)};
    host_set hosts{count, std::vector<bool>(count, false)};
    for (std::size_t i = 0; i < count; ++i) {
        hosts.failed[i] = std::uniform_real_distribution<double>{0, 1}(engine) < failure_rate ||
                          (domain_failed && hosts.domain_of(i) == 3);
    }
    return hosts;
}

} // namespace

int main() {
    std::puts("way,hosts,loss,offers,fetches,bytes,rounds,busiest_host,missed");
    for (const std::size_t count : {47U, 470U, 4700U}) {
        for (const auto& [label, failure_rate, domain_failed] :
             {std::tuple{"none", 0.0, false}, std::tuple{"1%", 0.01, false},
              std::tuple{"10%", 0.1, false}, std::tuple{"domain", 0.0, true}}) {
            const auto hosts = make_host_set(count, failure_rate, domain_failed);
            star(hosts).print("star", count, label);
            gossip(hosts, count).print("gossip", count, label);
            skip_ring(hosts).print("ring", count, label);
            distributor_network{hosts}.run(13s).print("tree", count, label);
        }
    }
}
