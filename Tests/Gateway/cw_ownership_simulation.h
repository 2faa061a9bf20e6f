#pragma once

#include "cw_steward.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

/// A world of stewards, upstreams that hold keys and a store, in virtual time.
///
/// Upstreams obey the platform's rules: a lease counts from the arrival of its grant by a clock
/// that runs 2% slow, a higher fence that was seen refuses lower ones, a release is never refused,
/// and an order without an answer may be carried out seconds later. Keys are looked at by samples.
class cw_ownership_simulation {
public:
    static constexpr const char* service = "gallery";

    explicit cw_ownership_simulation(std::uint64_t seed, cw_steward_options options = {});
    ~cw_ownership_simulation();

    void start_host(const std::string& host);
    /// Ends a host's process; its orders under way arrive all the same.
    void kill_host(const std::string& host);
    /// A frozen host does nothing until it thaws; answers wait for it.
    void freeze_host(const std::string& host, std::chrono::milliseconds length);
    void stop_host(const std::string& host);

    /// Hosts learn of the new life from its entry after the lag, and that it is slow for a while.
    void start_upstream(const std::string& id, std::chrono::milliseconds entry_lag = {},
                        std::chrono::milliseconds cold = {});
    /// Requests for all keys that the upstream holds run there for so long from now on.
    void start_work(const std::string& id, std::chrono::milliseconds length);
    /// Ends a life: it holds nothing any more, and nothing listens at its address.
    void crash_upstream(const std::string& id);
    /// Announces that it will end.
    void drain_upstream(const std::string& id);
    /// Its entry lapses although it lives.
    void expire_upstream_entry(const std::string& id);

    /// Nothing passes between a host and an upstream, another host, or the store ("store").
    void disconnect(const std::string& host, const std::string& other);
    void reconnect_all();
    void set_store_down(bool down) { store_down_ = down; }
    /// Share of the store's writes that are done and not answered.
    void set_lost_replies(double share) { lost_replies_ = share; }
    /// Share of the orders that get no answer and are carried out 2 to 12 s later.
    void set_late_commands(double share) { late_commands_ = share; }
    /// Requests a second for one sample key.
    void set_load(std::size_t sample, double rate) { load_[sample] = rate; }

    void run(std::chrono::milliseconds length);

    /// What was wrong so far, one line each.
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    /// Longest time for which a sample key had no holder since the last call of
    /// reset_unheld_time().
    [[nodiscard]] std::chrono::milliseconds max_unheld_time() const { return max_unheld_time_; }
    void reset_unheld_time();
    /// Share of all keys that changed owners since the beginning, first grants left out.
    [[nodiscard]] double moved_share() const;
    [[nodiscard]] std::string steward() const;
    /// The upstream that holds a sample key; empty when none does.
    [[nodiscard]] std::string holder(std::size_t sample) const;
    [[nodiscard]] std::vector<std::string> hosts() const;
    [[nodiscard]] std::vector<std::string> upstreams() const;
    [[nodiscard]] std::size_t store_calls() const { return store_calls_; }
    /// Decisions of all stewards with the time, for a failure's report.
    [[nodiscard]] const std::vector<std::string>& history() const { return history_; }

    static constexpr std::size_t samples = 64;

private:
    struct host_process;
    struct upstream_process;
    using action = std::function<void()>;

    void schedule(std::chrono::milliseconds after, action what);
    void tick_host(const std::string& name, std::uint64_t incarnation);
    void send_report(const std::string& name, std::uint64_t incarnation);
    void execute(host_process& host, const cw_steward::commands& commands);
    void execute(host_process& host, const cw_ownership_command& command);
    void execute(host_process& host, const cw_read_table& command);
    void execute(host_process& host, const cw_write_table& command);
    void execute(host_process& host, const cw_write_heartbeat& command);
    void execute(host_process& host, const cw_read_heartbeat& command);
    void execute(host_process& host, const cw_notify_predecessor& command);
    /// Hands something to a host when it is not frozen, if it still is the same process.
    void deliver(const std::string& host, std::uint64_t incarnation,
                 const std::function<void(host_process&, cw_steward::commands&)>& what);
    void answer_table(const host_process& host, cw_table_answer answer, bool lost);
    /// Carries an order out. `released` is raised to the end of the work on keys that it ends the
    /// lease of; only then does the upstream answer.
    cw_ownership_command_ended apply_command(upstream_process& upstream,
                                             const cw_ownership_command& command,
                                             cw_boot_time& released);
    void check_running_work(const std::string& taker, std::size_t sample);
    void publish_entries();
    void check_samples();
    [[nodiscard]] bool is_disconnected(const std::string& one, const std::string& other) const;
    [[nodiscard]] bool draw(double share);

    cw_steward_options options_;
    std::mt19937_64 engine_;
    cw_boot_time now_{std::chrono::seconds{1'000}};
    std::multimap<cw_boot_time, action> queue_;
    std::map<std::string, std::unique_ptr<host_process>> hosts_;
    std::map<std::string, std::unique_ptr<upstream_process>> upstreams_;
    std::uint64_t next_host_incarnation_ = 1;
    std::uint64_t next_upstream_incarnation_ = 1;

    std::string table_;
    std::uint64_t revision_ = 0;
    std::uint64_t heartbeat_ = 0;
    bool store_down_ = false;
    double lost_replies_ = 0.0;
    double late_commands_ = 0.0;
    std::size_t store_calls_ = 0;
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
