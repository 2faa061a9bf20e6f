#include "cw_ownership_bench.h"

#include "cw_peer_codec.h"
#include "cw_store_key.h"

#include <algorithm>

namespace {

using namespace std::chrono_literals;

constexpr std::size_t sample_count = 64;
constexpr auto tick_interval = 20ms;
constexpr auto poll_interval = 250ms;
constexpr auto sample_interval = 5ms;
/// Maximum clock drift, as a share of elapsed time; cw_timings::max_clock_drift covers it over one
/// lease.
constexpr double max_clock_drift = 0.002;
const std::string service_name = "gallery";

std::uint64_t sample_position(std::size_t index) {
    return (~std::uint64_t{0} / sample_count) * index + 12345;
}

std::shared_ptr<const cw_config> make_config(const cw_ownership_bench::options& chosen) {
    auto config = std::make_shared<cw_config>();
    config->version = 1;
    config->firms = {"firm"};
    for (std::size_t i = 0; i < chosen.domains; ++i) {
        config->domains.push_back({"d" + std::to_string(i), "firm", "region"});
    }
    cw_service_config service;
    service.name = service_name;
    service.firm = "firm";
    service.prefix = "/gallery/";
    service.checks_fences = chosen.checks_fences;
    service.partition_policy = chosen.cut_off;
    service.slices_per_upstream = chosen.slices_per_upstream;
    service.churn_budget = chosen.churn_budget;
    service.hold_down = chosen.hold_down;
    config->services.push_back(service);
    return config;
}

} // namespace

cw_ownership_bench::cw_ownership_bench(const options& chosen)
    : options_{chosen},
      engine_{chosen.seed},
      config_{make_config(chosen)} {
    for (std::size_t d = 0; d < chosen.domains; ++d) {
        const auto domain = "d" + std::to_string(d);
        for (std::size_t i = 0; i < chosen.upstreams; ++i) {
            add_upstream(domain + "u" + std::to_string(i), domain);
        }
        for (std::size_t i = 0; i < chosen.keepers; ++i) {
            auto& node = keepers_[domain + "k" + std::to_string(i)];
            node.domain = domain;
            node.clock = random_clock();
        }
    }
    for (const auto& name : keeper_names()) {
        start_keeper(name);
    }
    reset_gaps();
    sample_gaps();
}

cw_ownership_bench::node_clock cw_ownership_bench::random_clock() {
    const auto offset = std::chrono::seconds{engine_() % 10'000};
    std::uniform_real_distribution<double> rate{1.0 - max_clock_drift, 1.0 + max_clock_drift};
    return {offset, rate(engine_)};
}

void cw_ownership_bench::add_upstream(const std::string& name, const std::string& domain) {
    auto& node = upstreams_[name];
    node.host = {name, cw_host_kind::upstream, domain, service_name, name + ":1", false};
    node.clock = random_clock();
    node.holder = std::make_unique<cw_lease_holder>(++last_sequence_, options_.checks_fences);
}

void cw_ownership_bench::schedule(std::chrono::nanoseconds delay, std::function<void()> action) {
    queue_.push({now_ + delay, ++last_sequence_, std::move(action)});
}

void cw_ownership_bench::run(std::chrono::milliseconds duration) {
    const auto end = now_ + duration;
    while (!queue_.empty() && queue_.top().at <= end) {
        // The queue gives const access only; the cast is safe because the element is removed next.
        auto next = std::move(const_cast<event&>(queue_.top()));
        queue_.pop();
        now_ = next.at;
        next.action();
    }
    now_ = end;
}

cw_time_point cw_ownership_bench::local_time(const keeper_node& node) const {
    const auto elapsed = std::chrono::duration<double, std::nano>(now_.time_since_epoch());
    return cw_time_point{node.clock.offset + std::chrono::duration_cast<std::chrono::nanoseconds>(
                                                 elapsed * node.clock.rate)};
}

cw_upstream_time cw_ownership_bench::local_time(const upstream_node& node) const {
    const auto elapsed = std::chrono::duration<double, std::nano>(now_.time_since_epoch());
    return cw_upstream_time{std::chrono::duration_cast<std::chrono::microseconds>(
        node.clock.offset + elapsed * node.clock.rate)};
}

bool cw_ownership_bench::chance(double probability) {
    return std::uniform_real_distribution<double>{0.0, 1.0}(engine_) < probability;
}

std::chrono::nanoseconds cw_ownership_bench::delay() {
    // Up to a millisecond; 2 % of messages take up to 120 ms longer, which reorders them.
    const auto base = std::chrono::microseconds{200 + engine_() % 800};
    return chance(0.02) ? base + std::chrono::milliseconds{engine_() % 120} : base;
}

std::string cw_ownership_bench::domain_of(const std::string& node) const {
    if (const auto keeper = keepers_.find(node); keeper != keepers_.end()) {
        return keeper->second.domain;
    }
    const auto upstream = upstreams_.find(node);
    return upstream == upstreams_.end() ? node : upstream->second.host.domain;
}

bool cw_ownership_bench::is_cut(const std::string& from, const std::string& to) const {
    const auto from_domain = domain_of(from);
    const auto to_domain = domain_of(to);
    if (from_domain != to_domain &&
        (cuts_.contains({from_domain, to_domain}) || cuts_.contains({from_domain, "*"}) ||
         cuts_.contains({"*", to_domain}) || cuts_.contains({from, to_domain}) ||
         cuts_.contains({from_domain, to}))) {
        return true;
    }
    return cuts_.contains({from, to});
}

void cw_ownership_bench::cut(const std::string& from, const std::string& to) {
    cuts_.emplace(from, to);
}

void cw_ownership_bench::cut_both(const std::string& one, const std::string& other) {
    cut(one, other);
    cut(other, one);
}

void cw_ownership_bench::heal() {
    cuts_.clear();
}

void cw_ownership_bench::start_keeper(const std::string& name) {
    auto& node = keepers_.at(name);
    node.alive = true;
    node.frozen_until = {};
    const auto incarnation = ++last_sequence_;
    node.run = incarnation;
    node.core = std::make_unique<cw_keeper_core>(cw_ring_member{name, incarnation}, node.domain,
                                                 options_.timings);
    deliver(name, node.run, cw_config_event{config_});
    schedule(std::chrono::microseconds{engine_() % 10'000},
             [this, name, run = node.run] { tick(name, run); });
    schedule(1ms, [this, name, run = node.run] { poll_store(name, run); });
}

void cw_ownership_bench::tick(const std::string& name, std::uint64_t run) {
    if (keepers_.at(name).run != run) {
        return;
    }
    deliver(name, run, cw_tick_event{});
    schedule(tick_interval, [this, name, run] { tick(name, run); });
}

void cw_ownership_bench::poll_store(const std::string& name, std::uint64_t run) {
    auto& node = keepers_.at(name);
    if (node.run != run || !node.alive) {
        return;
    }
    if (!hosts_frozen_) {
        listed_ = host_list();
    }
    if (!is_cut(name, "store")) {
        deliver(name, run, cw_hosts_event{listed_});
    }
    for (const auto& key : node.core->watched_keys()) {
        watch(name, key);
    }
    schedule(poll_interval, [this, name, run] { poll_store(name, run); });
}

std::vector<cw_host> cw_ownership_bench::host_list() const {
    std::vector<cw_host> hosts;
    for (const auto& [name, node] : keepers_) {
        hosts.push_back({name, cw_host_kind::entry, node.domain, "", name + ":1", false});
    }
    for (const auto& [name, node] : upstreams_) {
        hosts.push_back(node.host);
    }
    return hosts;
}

void cw_ownership_bench::deliver(const std::string& name, std::uint64_t run,
                                 const cw_keeper_event& input) {
    auto& node = keepers_.at(name);
    if (node.run != run || !node.alive) {
        return;
    }
    if (now_ < node.frozen_until) {
        schedule(node.frozen_until - now_, [this, name, run, input] { deliver(name, run, input); });
        return;
    }
    for (const auto& command : node.core->decide(input, local_time(node))) {
        execute(name, command);
    }
}

void cw_ownership_bench::execute(const std::string& name, const cw_keeper_command& command) {
    if (const auto* peer = std::get_if<cw_send_peer_command>(&command)) {
        send_peer(name, *peer);
    } else if (const auto* grant = std::get_if<cw_send_grant_command>(&command)) {
        send_grant(name, grant->grant);
    } else if (const auto* change = std::get_if<cw_write_command>(&command)) {
        write(name, *change);
    } else if (const auto* query = std::get_if<cw_read_command>(&command)) {
        read(name, query->key);
    } else if (const auto* timeline_event = std::get_if<cw_timeline_event>(&command)) {
        const auto at =
            std::chrono::duration_cast<std::chrono::milliseconds>(now_ - cw_time_point{1h});
        timeline_.push_back(std::to_string(at.count()) + " " + name + " " + timeline_event->type +
                            " " + timeline_event->subject +
                            (timeline_event->detail.empty() ? "" : " " + timeline_event->detail));
    } else if (const auto* fetch = std::get_if<cw_fetch_table_command>(&command)) {
        fetch_table(name, *fetch);
    } else if (std::holds_alternative<cw_stopped_command>(command)) {
        kill(name);
    }
}

void cw_ownership_bench::send_peer(const std::string& name, const cw_send_peer_command& command) {
    auto& sender = keepers_.at(name);
    if (!keepers_.contains(command.to)) {
        return;
    }
    const auto& target = command.to;
    const cw_peer_message message{sender.core->context().self(), command.body};
    const auto datagram = cw_encode_peer_message(message);
    sender.bytes += datagram.size();
    const int copies = 1 + (chance(options_.repeat) ? 1 : 0);
    for (int copy = 0; copy < copies; ++copy) {
        if (is_cut(name, target) || chance(options_.drop)) {
            continue;
        }
        schedule(delay(), [this, target, run = keepers_.at(target).run, datagram] {
            deliver(target, run, *cw_decode_peer_message(datagram));
        });
    }
}

void cw_ownership_bench::send_grant(const std::string& name, const cw_lease_grant& grant) {
    const auto run = keepers_.at(name).run;
    if (grant.slices) {
        const auto [offer, added] =
            offered_.try_emplace({grant.upstream, grant.fence}, *grant.slices);
        mixed_fences_ += !added && offer->second != *grant.slices ? 1 : 0;
    }
    const auto upstream = upstreams_.find(grant.upstream);
    const bool is_unavailable = upstream == upstreams_.end() || !upstream->second.alive ||
                                upstream->second.host.address != grant.address;
    if (is_unavailable) {
        cw_lease_reply reply;
        reply.upstream = grant.upstream;
        reply.exchange = grant.exchange;
        schedule(delay(), [this, name, run, reply] { deliver(name, run, reply); });
        return;
    }
    if (is_cut(name, grant.upstream) || chance(options_.drop)) {
        return;
    }
    const auto slow = chance(slow_grants_) ? std::chrono::milliseconds{engine_() % 430} : 0ms;
    schedule(delay() + slow, [this, name, run, upstream_run = upstream->second.run, grant] {
        apply_grant(name, run, upstream_run, grant);
    });
}

void cw_ownership_bench::apply_grant(const std::string& name, std::uint64_t run,
                                     std::uint64_t upstream_run, const cw_lease_grant& grant) {
    auto& node = upstreams_.at(grant.upstream);
    if (!node.alive || node.run != upstream_run) {
        return;
    }
    if (now_ < node.frozen_until) {
        schedule(node.frozen_until - now_, [this, name, run, upstream_run, grant] {
            apply_grant(name, run, upstream_run, grant);
        });
        return;
    }
    const auto reply = node.holder->on_grant(grant, local_time(node));
    check_owners(grant.upstream);
    if (is_cut(grant.upstream, name) || chance(options_.drop)) {
        return;
    }
    schedule(delay(), [this, name, run, reply] { deliver(name, run, reply); });
}

void cw_ownership_bench::check_owners(const std::string& upstream) {
    const auto& changed = upstreams_.at(upstream);
    if (!changed.holder->is_leased(local_time(changed))) {
        return;
    }
    for (const auto& [name, other] : upstreams_) {
        if (name == upstream || !other.alive || !other.holder->is_leased(local_time(other))) {
            continue;
        }
        for (const auto& mine : changed.holder->slices()) {
            for (const auto& theirs : other.holder->slices()) {
                if (mine.first <= theirs.last && theirs.first <= mine.last) {
                    ++two_owners_;
                    timeline_.push_back("TWO OWNERS " + upstream + " " + name);
                    return;
                }
            }
        }
    }
}

void cw_ownership_bench::write(const std::string& name, const cw_write_command& command) {
    const auto run = keepers_.at(name).run;
    const auto answer = [this, name, run, command](cw_write_outcome outcome) {
        schedule(delay(), [this, name, run, command, outcome] {
            deliver(name, run, cw_write_event{command.key, command.writer, outcome});
        });
    };
    if (!store_up_ || is_cut(name, "store")) {
        return;
    }
    schedule(delay() + store_lag_, [this, name, command, answer] {
        if (!store_up_) {
            return;
        }
        ++store_writes_;
        auto& stored_entry = store_[command.key];
        if (stored_entry.version != command.expected_version) {
            // A retry after a lost reply conflicts with its own first write.
            answer(cw_write_outcome::conflict);
            return;
        }
        if (stored_entry.version != 0 && command.key == cw_table_key(service_name)) {
            count_churn(*cw_slice_table::parse(stored_entry.value),
                        *cw_slice_table::parse(command.value));
        }
        stored_entry = {stored_entry.version + 1, command.value};
        notify_watchers(command.key);
        if (!is_cut("store", name) && !chance(options_.lost_reply)) {
            answer(cw_write_outcome::done);
        }
    });
}

void cw_ownership_bench::notify_watchers(const std::string& key) {
    for (const auto& [name, node] : keepers_) {
        const auto keys = node.core->watched_keys();
        const bool watches = std::find(keys.begin(), keys.end(), key) != keys.end();
        if (node.alive && watches && !is_cut("store", name) && !is_cut(name, "store")) {
            schedule(delay(), [this, name = name, run = node.run, key] {
                deliver_value(name, run, key, cw_time_point::min());
            });
        }
    }
}

void cw_ownership_bench::read(const std::string& name, const std::string& key) {
    const auto& node = keepers_.at(name);
    if (!store_up_ || is_cut(name, "store")) {
        return;
    }
    const auto sent = local_time(node);
    schedule(delay() + store_lag_, [this, name, run = node.run, key, sent] {
        if (!store_up_ || is_cut("store", name)) {
            return;
        }
        ++store_reads_;
        deliver_value(name, run, key, sent);
    });
}

void cw_ownership_bench::watch(const std::string& name, const std::string& key) {
    // As with the platform's watches, an unchanged value is not delivered and confirms nothing.
    const auto stored_entry = store_.find(key);
    const auto version = stored_entry == store_.end() ? 0 : stored_entry->second.version;
    const auto& node = keepers_.at(name);
    auto& known = watched_versions_[{name, node.run, key}];
    if (!store_up_ || is_cut(name, "store") || is_cut("store", name) || known == version) {
        return;
    }
    known = version;
    schedule(store_lag_, [this, name, run = node.run, key] {
        deliver_value(name, run, key, cw_time_point::min());
    });
}

void cw_ownership_bench::deliver_value(const std::string& name, std::uint64_t run,
                                       const std::string& key, cw_time_point sent) {
    const auto stored_entry = store_.find(key);
    const auto version = stored_entry == store_.end() ? 0 : stored_entry->second.version;
    const auto value = stored_entry == store_.end() ? std::string{} : stored_entry->second.value;
    schedule(delay(), [this, name, run, key, sent, version, value] {
        if (key.starts_with("ring/")) {
            cw_ring ring;
            ring.domain = key.substr(5);
            if (version != 0) {
                ring = *cw_ring::parse(value);
            }
            deliver(name, run, cw_ring_event{ring, version, sent});
        } else if (version != 0) {
            deliver(name, run, cw_table_event{*cw_slice_table::parse(value), version});
        }
    });
}

void cw_ownership_bench::fetch_table(const std::string& name,
                                     const cw_fetch_table_command& command) {
    const auto run = keepers_.at(name).run;
    schedule(delay(), [this, name, run, command] {
        const auto& peer = keepers_.at(command.from);
        const auto* stored = peer.core->context().table(command.service);
        const bool unanswered = !peer.alive || now_ < peer.frozen_until || stored == nullptr ||
                                is_cut(name, command.from) || is_cut(command.from, name);
        if (unanswered) {
            return;
        }
        schedule(delay(), [this, name, run, copy = *stored] {
            deliver(name, run, cw_table_event{copy.table, copy.store_version, true});
        });
    });
}

std::uint64_t cw_ownership_bench::epoch_known(const std::string& keeper) const {
    const auto* stored = keepers_.at(keeper).core->context().table(service_name);
    return stored == nullptr ? 0 : stored->table.epoch();
}

std::vector<std::string> cw_ownership_bench::keeper_names() const {
    std::vector<std::string> names;
    for (const auto& [name, node] : keepers_) {
        names.push_back(name);
    }
    return names;
}

std::vector<std::string> cw_ownership_bench::upstream_names() const {
    std::vector<std::string> names;
    for (const auto& [name, node] : upstreams_) {
        names.push_back(name);
    }
    return names;
}

std::vector<std::string> cw_ownership_bench::owners_of(std::uint64_t hash) const {
    std::vector<std::string> owners;
    for (const auto& [name, node] : upstreams_) {
        if (node.alive && now_ >= node.frozen_until && node.holder->is_leased(local_time(node)) &&
            node.holder->find_slice(hash) != nullptr) {
            owners.push_back(name);
        }
    }
    return owners;
}

std::size_t cw_ownership_bench::unowned() const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < sample_count; ++i) {
        count += owners_of(sample_position(i)).empty() ? 1 : 0;
    }
    return count;
}

void cw_ownership_bench::sample_gaps() {
    std::vector<const cw_lease_holder*> holders;
    for (const auto& [name, node] : upstreams_) {
        if (node.alive && now_ >= node.frozen_until && node.holder->is_leased(local_time(node))) {
            holders.push_back(node.holder.get());
        }
    }
    for (std::size_t i = 0; i < sample_count; ++i) {
        const auto position = sample_position(i);
        const bool owned =
            std::any_of(holders.begin(), holders.end(), [position](const auto* holder) {
                return holder->find_slice(position) != nullptr;
            });
        if (owned) {
            last_owned_at_[i] = now_;
        }
        gaps_[i] = std::max(gaps_[i], std::chrono::nanoseconds{now_ - last_owned_at_[i]});
    }
    schedule(sample_interval, [this] { sample_gaps(); });
}

void cw_ownership_bench::reset_gaps() {
    last_owned_at_.assign(sample_count, now_);
    gaps_.assign(sample_count, 0ns);
}

std::chrono::milliseconds cw_ownership_bench::longest_gap() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        *std::max_element(gaps_.begin(), gaps_.end()));
}

const cw_slice_table* cw_ownership_bench::stored_table() const {
    for (const auto& [name, node] : keepers_) {
        if (const auto* stored = node.core->context().table(service_name); stored != nullptr) {
            return &stored->table;
        }
    }
    return nullptr;
}

std::uint64_t cw_ownership_bench::bytes_sent(const std::string& keeper) const {
    return keepers_.at(keeper).bytes;
}

std::vector<std::string> cw_ownership_bench::describe() const {
    std::vector<std::string> lines;
    const auto* table = stored_table();
    for (const auto& [name, node] : upstreams_) {
        const auto owned = table == nullptr ? 0 : table->owned_by(name).size();
        lines.push_back(
            name + (node.alive ? " alive" : " dead") + (now_ < node.frozen_until ? " frozen" : "") +
            (node.holder->is_leased(local_time(node)) ? " leased" : " unleased") +
            (node.host.leaving ? " leaving" : "") + ", table gives " + std::to_string(owned) +
            ", holds " + std::to_string(node.holder->slices().size()) + " at fence " +
            std::to_string(node.holder->fence()) + " of " +
            std::to_string(table == nullptr ? 0 : table->fence_of(name)));
    }
    return lines;
}
