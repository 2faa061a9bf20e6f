/// Compares ways to spread one version over all hosts, on an in-memory table of neighbours:
/// messages, bytes, rounds, and hosts not reached, with some hosts lost. The tree is the product's
/// own cw_version_distributor; the others are plain models.

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
/// Bytes of one fetched change of configuration with its headers.
constexpr std::size_t change_bytes = 2'500;
constexpr std::size_t domains = 17;
constexpr auto hop = 10ms;

struct figures {
    std::size_t offers = 0;
    std::size_t fetches = 0;
    std::size_t rounds = 0;
    std::size_t missed = 0;
    std::size_t busiest = 0;

    void print(const char* way, std::size_t hosts, const char* loss) const {
        std::printf("%s,%zu,%s,%zu,%zu,%zu,%zu,%zu,%zu\n", way, hosts, loss, offers, fetches,
                    offers * offer_bytes + fetches * change_bytes, rounds, busiest, missed);
    }
};

/// Hosts 0..count-1 by name order; domain d holds a contiguous share. Some are lost.
struct estate {
    std::size_t count;
    std::vector<bool> lost;
    [[nodiscard]] std::size_t domain_of(std::size_t host) const { return host * domains / count; }
};

figures count_missed(const estate& hosts, const std::vector<bool>& reached, figures result) {
    for (std::size_t i = 0; i < hosts.count; ++i) {
        result.missed += !hosts.lost[i] && !reached[i] ? 1 : 0;
    }
    return result;
}

figures star(const estate& hosts) {
    figures result;
    std::vector<bool> reached(hosts.count, false);
    for (std::size_t i = 0; i < hosts.count; ++i) {
        ++result.offers;
        if (!hosts.lost[i]) {
            ++result.fetches;
            reached[i] = true;
        }
    }
    result.rounds = 1;
    result.busiest = result.offers;
    return count_missed(hosts, reached, result);
}

figures gossip(const estate& hosts, std::uint64_t seed) {
    constexpr std::size_t fanout = 3;
    constexpr std::size_t extra_rounds = 4;
    std::mt19937_64 engine{seed};
    figures result;
    std::vector<bool> reached(hosts.count, false);
    std::vector<std::size_t> sent(hosts.count, 0);
    const auto first = static_cast<std::size_t>(
        std::find(hosts.lost.begin(), hosts.lost.end(), false) - hosts.lost.begin());
    reached[first] = true;
    const auto limit = static_cast<std::size_t>(std::log2(hosts.count)) + extra_rounds;
    for (; result.rounds < limit; ++result.rounds) {
        auto next = reached;
        for (std::size_t i = 0; i < hosts.count; ++i) {
            for (std::size_t k = 0; reached[i] && k < fanout; ++k) {
                const auto target = engine() % hosts.count;
                ++result.offers;
                ++sent[i];
                if (!hosts.lost[target] && !next[target]) {
                    next[target] = true;
                    ++result.fetches;
                }
            }
        }
        reached = std::move(next);
    }
    result.busiest = *std::max_element(sent.begin(), sent.end());
    return count_missed(hosts, reached, result);
}

/// The name-ordered ring with pointers over 2^h hosts: each holder covers the span up to its end by
/// halves.
figures skip_ring(const estate& hosts) {
    figures result;
    std::vector<bool> reached(hosts.count, false);
    std::vector<std::size_t> sent(hosts.count, 0);
    struct span {
        std::size_t first;
        std::size_t end;
        std::size_t round;
    };
    const auto start = static_cast<std::size_t>(
        std::find(hosts.lost.begin(), hosts.lost.end(), false) - hosts.lost.begin());
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
            // A lost neighbour is skipped for the next living one of its span, found by one more
            // offer each.
            auto target = first + step;
            while (target < stop && hosts.lost[target]) {
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
    result.busiest = *std::max_element(sent.begin(), sent.end());
    return count_missed(hosts, reached, result);
}

/// The product's relays of all hosts over a network that delays each message by one hop.
class relay_network {
public:
    explicit relay_network(const estate& hosts)
        : hosts_{hosts},
          sent_(hosts.count, 0) {
        std::map<std::size_t, std::vector<std::string>> members;
        for (std::size_t i = 0; i < hosts.count; ++i) {
            members[hosts.domain_of(i)].push_back(name(i));
        }
        for (std::size_t i = 0; i < hosts.count; ++i) {
            std::vector<std::string> foreign;
            for (const auto& [domain, list] : members) {
                if (domain != hosts.domain_of(i)) {
                    foreign.push_back(list.front());
                }
            }
            relays_.emplace_back(name(i), cw_version_distributor_options{}, i + 1);
            relays_.back().set_hosts(members[hosts.domain_of(i)], foreign);
        }
    }

    figures run(std::chrono::milliseconds length) {
        for (std::size_t i = 0; i < hosts_.count; ++i) {
            if (!hosts_.lost[i] && relays_[i].is_watcher()) {
                relays_[i].on_version(1, now_);
                flush(i);
            }
        }
        const auto start = now_;
        while (now_ < start + length) {
            now_ += hop;
            auto batch = std::move(queue_);
            queue_.clear();
            for (const auto& [from, command] : batch) {
                deliver(from, command);
            }
            for (std::size_t i = 0; i < hosts_.count; ++i) {
                if (!hosts_.lost[i]) {
                    relays_[i].on_tick(now_);
                    flush(i);
                }
            }
            if (missing() == 0) {
                result_.rounds = static_cast<std::size_t>((now_ - start) / hop);
                break;
            }
            result_.rounds = static_cast<std::size_t>((now_ - start) / hop);
        }
        result_.missed = missing();
        result_.busiest = *std::max_element(sent_.begin(), sent_.end());
        return result_;
    }

private:
    static std::string name(std::size_t i) {
        auto digits = std::to_string(i);
        return "h" + std::string(6 - digits.size(), '0') + digits;
    }
    static std::size_t number(const std::string& host) { return std::stoull(host.substr(1)); }

    void flush(std::size_t host) {
        for (const auto& command : relays_[host].take_commands()) {
            const bool is_fetch = command.action == cw_version_distributor_command::kind::fetch;
            ++(is_fetch ? result_.fetches : result_.offers);
            ++sent_[host];
            queue_.emplace_back(host, command);
        }
    }

    void deliver(std::size_t from, const cw_version_distributor_command& command) {
        const auto target = number(command.host);
        if (hosts_.lost[target]) {
            return;
        }
        if (command.action == cw_version_distributor_command::kind::offer) {
            relays_[target].on_offer(name(from), command.version, now_);
        } else if (command.action == cw_version_distributor_command::kind::acknowledge) {
            relays_[target].on_acknowledgement(name(from), command.version);
        } else {
            relays_[from].on_version(relays_[target].version(), now_);
            flush(from);
            return;
        }
        flush(target);
    }

    std::size_t missing() const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < hosts_.count; ++i) {
            count += !hosts_.lost[i] && relays_[i].version() == 0 ? 1 : 0;
        }
        return count;
    }

    const estate& hosts_;
    std::vector<cw_version_distributor> relays_;
    std::vector<std::size_t> sent_;
    std::vector<std::pair<std::size_t, cw_version_distributor_command>> queue_;
    cw_time_point now_{1h};
    figures result_;
};

estate make_estate(std::size_t count, double share, bool domain_lost) {
    std::mt19937_64 engine{count + static_cast<std::uint64_t>(share * 1000)};
    estate hosts{count, std::vector<bool>(count, false)};
    for (std::size_t i = 0; i < count; ++i) {
        hosts.lost[i] = std::uniform_real_distribution<double>{0, 1}(engine) < share ||
                        (domain_lost && hosts.domain_of(i) == 3);
    }
    return hosts;
}

} // namespace

int main() {
    std::puts("way,hosts,loss,offers,fetches,bytes,rounds,busiest_host,missed");
    for (const std::size_t count : {47U, 470U, 4700U}) {
        for (const auto& [label, share, domain_lost] :
             {std::tuple{"none", 0.0, false}, std::tuple{"1%", 0.01, false},
              std::tuple{"10%", 0.1, false}, std::tuple{"domain", 0.0, true}}) {
            const auto hosts = make_estate(count, share, domain_lost);
            star(hosts).print("star", count, label);
            gossip(hosts, count).print("gossip", count, label);
            skip_ring(hosts).print("ring", count, label);
            relay_network{hosts}.run(13s).print("tree", count, label);
        }
    }
}
