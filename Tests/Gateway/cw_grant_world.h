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
class cw_grant_world {
public:
    static constexpr const char* service = "gallery";

    explicit cw_grant_world(std::uint64_t seed, cw_steward_options options = {});
    ~cw_grant_world();

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
    void begin_work(const std::string& id, std::chrono::milliseconds length);
    /// Ends a life: it holds nothing any more, and nothing listens at its address.
    void crash_upstream(const std::string& id);
    /// Announces that it will end.
    void drain_upstream(const std::string& id);
    /// Its entry lapses although it lives.
    void lapse_upstream(const std::string& id);

    /// Nothing passes between a host and an upstream, another host, or the store ("store").
    void cut(const std::string& host, const std::string& other);
    void heal();
    void set_store_down(bool down) { store_down_ = down; }
    /// Share of the store's writes that are done and not answered.
    void set_lost_replies(double share) { lost_replies_ = share; }
    /// Share of the orders that get no answer and are carried out 2 to 12 s later.
    void set_late_orders(double share) { late_orders_ = share; }
    /// Requests a second for one sample key.
    void set_load(std::size_t sample, double rate) { load_[sample] = rate; }

    void run(std::chrono::milliseconds length);

    /// What was wrong so far, one line each.
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    /// Longest time for which a sample key had no holder since the last call of forget_absence().
    [[nodiscard]] std::chrono::milliseconds longest_absence() const { return longest_absence_; }
    void forget_absence();
    /// Share of all keys that changed owners since the beginning, first grants left out.
    [[nodiscard]] double moved() const;
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

    void at(std::chrono::milliseconds after, action what);
    void tick_host(const std::string& name, std::uint64_t incarnation);
    void report(const std::string& name, std::uint64_t incarnation);
    void carry_out(host_process& host, const cw_steward::commands& commands);
    void carry_out(host_process& host, const cw_key_order& order);
    void carry_out(host_process& host, const cw_read_table& command);
    void carry_out(host_process& host, const cw_write_table& command);
    void carry_out(host_process& host, const cw_write_beat& command);
    void carry_out(host_process& host, const cw_read_beat& command);
    void carry_out(host_process& host, const cw_tell_predecessor& command);
    /// Hands something to a host when it is not frozen, if it still is the same process.
    void deliver(const std::string& host, std::uint64_t incarnation,
                 const std::function<void(host_process&, cw_steward::commands&)>& what);
    void answer_table(const host_process& host, cw_table_answer answer, bool lost);
    /// Carries an order out. `released` is raised to the end of the work on keys that it ends the
    /// lease of; only then does the upstream answer.
    cw_order_ended obey(upstream_process& upstream, const cw_key_order& order,
                        cw_boot_time& released);
    void check_work(const std::string& taker, std::size_t sample);
    void tell_hosts();
    void look();
    [[nodiscard]] bool is_cut(const std::string& one, const std::string& other) const;
    [[nodiscard]] bool chance(double share);

    cw_steward_options options_;
    std::mt19937_64 engine_;
    cw_boot_time now_{std::chrono::seconds{1'000}};
    std::multimap<cw_boot_time, action> queue_;
    std::map<std::string, std::unique_ptr<host_process>> hosts_;
    std::map<std::string, std::unique_ptr<upstream_process>> upstreams_;
    std::uint64_t next_incarnation_ = 1;
    std::uint64_t next_life_ = 1;

    std::string table_;
    std::uint64_t revision_ = 0;
    std::uint64_t beat_ = 0;
    bool store_down_ = false;
    double lost_replies_ = 0.0;
    double late_orders_ = 0.0;
    std::size_t store_calls_ = 0;
    std::map<std::size_t, double> load_;

    std::set<std::pair<std::string, std::string>> cuts_;
    std::vector<std::string> violations_;
    std::vector<std::string> history_;
    std::vector<cw_boot_time> held_at_;
    std::vector<std::uint64_t> fences_;
    std::vector<std::string> last_holder_;
    std::size_t moves_ = 0;
    std::chrono::milliseconds longest_absence_{0};
};
