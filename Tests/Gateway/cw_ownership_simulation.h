#pragma once

#include "cw_steward.h"
#include "cw_upstream_continuity.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Simulation of stewards, upstreams that hold keys and a store, in virtual time.
///
/// Upstreams follow the platform's rules: a lease counts from the arrival of its grant by a clock
/// that runs 2% slow, a grant with a lower fence than one that was seen is refused, a release is
/// never refused, and a command without an answer may arrive seconds later. Keys are checked by
/// samples.
class cw_ownership_simulation {
public:
    static constexpr const char* service = "gallery";

    explicit cw_ownership_simulation(std::uint64_t seed, cw_steward_options options = {});
    ~cw_ownership_simulation();

    void start_host(const std::string& host);
    /// Ends a host's process; commands that it has sent still arrive.
    void kill_host(const std::string& host);
    /// Suspends a host's process for the given time; answers to it are delivered afterwards.
    void freeze_host(const std::string& host, std::chrono::milliseconds length);
    /// Stops a host gracefully; its process ends 2.5 s later.
    void stop_host(const std::string& host);

    /// Starts a new incarnation of an upstream. Its entry shows the incarnation after `entry_lag`,
    /// and shows the upstream as cold for the time `cold`.
    void start_upstream(const std::string& id, std::chrono::milliseconds entry_lag = {},
                        std::chrono::milliseconds cold = {});
    /// Makes the upstream cold for the given time from now on, without a restart.
    void cool_upstream(const std::string& id, std::chrono::milliseconds cold);
    /// Sets whether the service has a limit for cold upstreams, on hosts that start from now on.
    void set_cold_limit(bool has_cold_limit) { has_cold_limit_ = has_cold_limit; }
    /// Sets the longest target latency of the service's routes. Each host learns of it within the
    /// given time.
    void set_longest_target(std::chrono::milliseconds target, std::chrono::milliseconds max_delay);
    /// Starts requests for all keys that the upstream holds; they run for the given time.
    void start_work(const std::string& id, std::chrono::milliseconds length);
    /// Ends an upstream's process: it holds no keys and refuses connections. Its entry is removed
    /// 2.6 s later.
    void crash_upstream(const std::string& id);
    /// Marks the upstream's entry as leaving.
    void drain_upstream(const std::string& id);
    /// Removes the upstream's entry although its process still runs.
    void expire_upstream_entry(const std::string& id);

    /// Drops all messages between a host and an upstream, another host, or the store ("store").
    void disconnect(const std::string& host, const std::string& other);
    void reconnect_all();
    void set_store_down(bool down) { store_down_ = down; }
    /// The store comes back from a copy of the given age, 10 s at most: claims, moves and
    /// heartbeats since are lost, revisions are given out again, and the era rises. The copy may be
    /// older than that of the restore before. Hosts that reach the store learn of it within a
    /// second.
    void restore_store(std::chrono::milliseconds age);
    /// Share of the table writes that take effect but whose answer is lost.
    void set_lost_replies(double share) { lost_replies_ = share; }
    /// Share of the commands that get no answer and arrive 2 to 12 s later. A late command has an
    /// effect only if its lease is longer than the delay.
    void set_late_commands(double share) { late_commands_ = share; }
    /// Share of the commands that wait up to 800 ms for their sender's thread. A sender sends none
    /// after its time.
    void set_late_senders(double share) { late_senders_ = share; }
    /// Sets the requests per second for one sample key.
    void set_load(std::size_t sample, double rate) { load_[sample] = rate; }

    void run(std::chrono::milliseconds length);

    /// Violations of the rules so far, one line each.
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    /// Longest time for which a sample key had no holder since the last call of
    /// reset_unheld_time().
    [[nodiscard]] std::chrono::milliseconds max_unheld_time() const { return max_unheld_time_; }
    void reset_unheld_time();
    /// Changes of owner since the start, first grants excluded, as a share of the sample keys.
    [[nodiscard]] double moved_share() const;
    /// Hosts that are the steward by their own table.
    [[nodiscard]] std::vector<std::string> stewards() const;
    /// The host that may grant keys and is not frozen; empty if there is none.
    [[nodiscard]] std::string steward() const;
    /// The upstream that holds a sample key; empty if none does.
    [[nodiscard]] std::string holder(std::size_t sample) const;
    [[nodiscard]] std::vector<std::string> hosts() const;
    [[nodiscard]] std::vector<std::string> upstreams() const;
    [[nodiscard]] std::size_t store_calls() const { return store_calls_; }
    /// Decisions of all stewards with their time in ms, for the report of a failure.
    [[nodiscard]] const std::vector<std::string>& history() const { return history_; }

    static constexpr std::size_t samples = 64;

private:
    struct host_process;
    struct upstream_process;
    struct connection;
    using action = std::function<void()>;

    void schedule(std::chrono::milliseconds after, action task);
    void tick_host(const std::string& name, std::uint64_t incarnation);
    void send_report(const std::string& name, std::uint64_t incarnation);
    void execute(host_process& host, const cw_steward::commands& commands);
    void execute(host_process& host, const cw_ownership_command& command);
    /// Sends a command for which its thread has time now.
    void send_command(host_process& host, const cw_ownership_command& command);
    /// Sends a command once its thread has time after the delay.
    void send_late(const std::string& host, std::uint64_t incarnation,
                   const cw_ownership_command& command, std::chrono::milliseconds delay);
    void execute(host_process& host, const cw_read_table& command);
    void execute(host_process& host, const cw_write_table& command);
    void execute(host_process& host, const cw_write_heartbeat& command);
    void execute(host_process& host, const cw_read_heartbeat& command);
    void execute(host_process& host, const cw_notify_predecessor& command);
    /// Calls a function with the host's process once it is not frozen, and executes the commands
    /// that result. Does nothing if the process has ended.
    void deliver(const std::string& host, std::uint64_t incarnation,
                 const std::function<void(host_process&, cw_steward::commands&)>& handler);
    void answer_table(const host_process& host, cw_table_answer answer, bool is_answer_lost);
    /// Executes a command on an upstream. Raises `released` to the end of the work on keys whose
    /// lease the command ends; the upstream does not answer earlier.
    cw_ownership_command_ended apply_command(upstream_process& upstream,
                                             const cw_ownership_command& command,
                                             cw_boot_time& released);
    /// The upstream's process to which a connection leads on which the host may send the grant.
    /// None if there is no such connection; the host has opened one then.
    std::optional<std::uint64_t> connected_process(host_process& host,
                                                   const cw_ownership_command& grant) const;
    /// Updates the host's connections for an answer to a grant.
    void on_grant_answered(const std::string& host, std::uint64_t incarnation,
                           const cw_ownership_command& grant, cw_boot_time sent_at);
    void check_running_work(const std::string& new_owner, std::size_t sample);
    void publish_entries();
    void check_samples();
    [[nodiscard]] bool is_disconnected(const std::string& one, const std::string& other) const;
    [[nodiscard]] bool chance(double share);

    cw_steward_options options_;
    std::mt19937_64 engine_;
    cw_boot_time now_{std::chrono::seconds{1'000}};
    std::multimap<cw_boot_time, action> queue_;
    std::map<std::string, std::unique_ptr<host_process>> hosts_;
    std::map<std::string, std::unique_ptr<upstream_process>> upstreams_;
    std::uint64_t next_host_incarnation_ = 1;
    std::uint64_t next_upstream_incarnation_ = 1;

    /// What the store holds.
    struct store_content {
        std::string table;
        std::uint64_t revision = 0;
        std::uint64_t heartbeat = 0;
    };
    void keep_copy();

    store_content store_;
    std::uint64_t store_era_ = 1;
    /// Copies of the last seconds, by the time at which they were taken.
    std::map<cw_boot_time, store_content> store_copies_;
    bool store_down_ = false;
    double lost_replies_ = 0.0;
    double late_commands_ = 0.0;
    double late_senders_ = 0.0;
    bool has_cold_limit_ = false;
    std::chrono::milliseconds longest_target_{0};
    std::size_t store_calls_ = 0;
    std::uint64_t grant_answers_ = 0;
    std::map<std::size_t, double> load_;

    std::set<std::pair<std::string, std::string>> disconnected_pairs_;
    std::vector<std::string> violations_;
    std::vector<std::string> history_;
    std::vector<cw_boot_time> last_held_;
    std::vector<std::uint64_t> fences_;
    std::vector<std::string> last_holder_;
    std::size_t moves_ = 0;
    std::chrono::milliseconds max_unheld_time_{0};
};
