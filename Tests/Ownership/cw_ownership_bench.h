#pragma once

#include "cw_keeper_core.h"
#include "cw_lease_holder.h"
#include "cw_load_source.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

/// Simulates several keepers: runs their decision code in virtual time against fakes of the store,
/// the network and the upstreams, with one random seed. Checks after each grant that no position
/// has two owners.
class cw_ownership_bench {
public:
    struct options {
        std::uint64_t seed = 1;
        std::size_t domains = 2;
        std::size_t keepers = 3;
        std::size_t upstreams = 3;
        bool checks_fences = true;
        std::uint32_t slices_per_upstream = 4;
        std::uint32_t churn_budget = 4;
        std::chrono::milliseconds hold_down{2'000};
        cw_partition_policy cut_off = cw_partition_policy::hold;
        /// Probability that a message is lost.
        double drop = 0.0;
        /// Probability that a peer message is sent twice.
        double repeat = 0.0;
        /// Probability that the reply to a successful store write is lost.
        double lost_reply = 0.0;
        cw_timings timings{};
    };

    explicit cw_ownership_bench(const options& chosen);

    void run(std::chrono::milliseconds duration);
    [[nodiscard]] cw_time_point now() const { return now_; }

    void kill(const std::string& node);
    void freeze(const std::string& node, std::chrono::milliseconds duration);
    void restart(const std::string& node);
    void stop_keeper(const std::string& keeper);
    void drain(const std::string& upstream);
    /// Removes the upstream's leaving mark from the host list.
    void undrain(const std::string& upstream);
    /// Delays a share of the grants (0 to 1) by up to 430 ms, nearly a lease.
    void set_slow_grants(double share) { slow_grants_ = share; }
    void add_upstream(const std::string& name, const std::string& domain);
    /// Drops messages in one direction between two ends: nodes, domains, "store", or "*" for
    /// everything outside the domain of the other end.
    void cut(const std::string& from, const std::string& to);
    void cut_both(const std::string& one, const std::string& other);
    void heal();
    void set_store_up(bool up) { store_up_ = up; }
    void set_lag(std::chrono::milliseconds lag) { store_lag_ = lag; }
    /// Stops the random loss of messages.
    void set_loss_free() { options_.drop = 0.0; }
    void set_hosts_frozen(bool frozen) { hosts_frozen_ = frozen; }

    /// Starts traffic of `rate` requests a second, drawn from the source, over all keepers'
    /// routers.
    void set_load(std::shared_ptr<cw_load_source> source, std::size_t rate);
    /// Ratio of the busiest upstream's load to the mean, by the source's true popularity.
    [[nodiscard]] double imbalance() const;
    /// Total load known to a keeper, in requests per second.
    [[nodiscard]] double load_seen(const std::string& keeper) const;
    /// Share of the ring that has changed owner since the last call.
    [[nodiscard]] double take_churn();

    /// Epoch of the table that a keeper uses; 0 if it has none.
    [[nodiscard]] std::uint64_t epoch_known(const std::string& keeper) const;
    [[nodiscard]] std::vector<std::string> keeper_names() const;
    [[nodiscard]] std::vector<std::string> upstream_names() const;
    /// Upstreams that hold the position under a lease that is valid by their own clocks.
    [[nodiscard]] std::vector<std::string> owners_of(std::uint64_t hash) const;
    /// Number of the 64 sample positions that no upstream holds now.
    [[nodiscard]] std::size_t unowned() const;
    /// One line per upstream: its state, its lease and its number of slices in the table.
    [[nodiscard]] std::vector<std::string> describe() const;
    [[nodiscard]] std::size_t two_owner_moments() const { return two_owners_; }
    /// Number of grants whose slices differ from those of an earlier grant to the same upstream
    /// under the same fence.
    [[nodiscard]] std::size_t mixed_fences() const { return mixed_fences_; }
    /// Longest time that a sample position had no owner since the last reset.
    [[nodiscard]] std::chrono::milliseconds longest_gap() const;
    void reset_gaps();
    [[nodiscard]] std::size_t store_reads() const { return store_reads_; }
    [[nodiscard]] std::size_t store_writes() const { return store_writes_; }
    [[nodiscard]] const std::vector<std::string>& timeline() const { return timeline_; }
    [[nodiscard]] const cw_slice_table* stored_table() const;
    [[nodiscard]] std::uint64_t bytes_sent(const std::string& keeper) const;
    std::mt19937_64& engine() { return engine_; }

private:
    struct node_clock {
        std::chrono::nanoseconds offset{0};
        double rate = 1.0;
    };
    struct keeper_node {
        std::string domain;
        std::unique_ptr<cw_keeper_core> core;
        bool alive = true;
        cw_time_point frozen_until{};
        node_clock clock;
        std::uint64_t run = 0;
        std::uint64_t bytes = 0;
    };
    struct upstream_node {
        cw_host host;
        std::unique_ptr<cw_lease_holder> holder;
        bool alive = true;
        cw_time_point frozen_until{};
        node_clock clock;
        std::uint64_t run = 0;
    };
    struct stored_value {
        std::uint64_t version = 0;
        std::string value;
    };
    struct event {
        cw_time_point at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(std::chrono::nanoseconds delay, std::function<void()> action);
    void start_keeper(const std::string& name);
    void tick(const std::string& name, std::uint64_t run);
    void poll_store(const std::string& name, std::uint64_t run);
    void deliver(const std::string& name, std::uint64_t run, const cw_keeper_event& input);
    void execute(const std::string& name, const cw_keeper_command& command);
    void send_peer(const std::string& name, const cw_send_peer_command& command);
    void send_grant(const std::string& name, const cw_lease_grant& grant);
    void apply_grant(const std::string& name, std::uint64_t run, std::uint64_t upstream_run,
                     const cw_lease_grant& grant);
    void write(const std::string& name, const cw_write_command& command);
    void read(const std::string& name, const std::string& key);
    /// Delivers the value of a watched key if its version differs from the one delivered last.
    void watch(const std::string& name, const std::string& key);
    void deliver_value(const std::string& name, std::uint64_t run, const std::string& key,
                       cw_time_point sent);
    void fetch_table(const std::string& name, const cw_fetch_table_command& command);
    void notify_watchers(const std::string& key);
    [[nodiscard]] bool is_cut(const std::string& from, const std::string& to) const;
    [[nodiscard]] std::string domain_of(const std::string& node) const;
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] std::chrono::nanoseconds delay();
    [[nodiscard]] cw_time_point local_time(const keeper_node& node) const;
    [[nodiscard]] cw_upstream_time local_time(const upstream_node& node) const;
    [[nodiscard]] std::vector<cw_host> host_list() const;
    void draw_load();
    void count_churn(const cw_slice_table& before, const cw_slice_table& after);
    void check_owners(const std::string& upstream);
    void sample_gaps();
    node_clock random_clock();

    options options_;
    std::mt19937_64 engine_;
    cw_time_point now_{std::chrono::hours{1}};
    std::uint64_t last_sequence_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> queue_;
    std::map<std::string, keeper_node> keepers_;
    std::map<std::string, upstream_node> upstreams_;
    std::map<std::string, stored_value> store_;
    bool store_up_ = true;
    std::chrono::milliseconds store_lag_{0};
    bool hosts_frozen_ = false;
    double slow_grants_ = 0.0;
    std::vector<cw_host> listed_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::shared_ptr<const cw_config> config_;
    std::size_t two_owners_ = 0;
    std::size_t mixed_fences_ = 0;
    std::map<std::pair<std::string, std::uint64_t>, std::vector<cw_slice>> offered_;
    std::size_t store_reads_ = 0;
    std::size_t store_writes_ = 0;
    std::vector<std::string> timeline_;
    std::map<std::tuple<std::string, std::uint64_t, std::string>, std::uint64_t> watched_versions_;
    std::shared_ptr<cw_load_source> load_;
    std::size_t load_rate_ = 0;
    double churn_ = 0.0;
    std::vector<cw_time_point> last_owned_at_;
    std::vector<std::chrono::nanoseconds> gaps_;
};
