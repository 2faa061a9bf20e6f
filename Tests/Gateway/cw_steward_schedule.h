#pragma once

#include "cw_ownership_simulation.h"

#include <cstdint>
#include <random>
#include <string>

/// Injects random faults into one simulation of stewards; a seed always yields the same faults.
class cw_steward_schedule {
public:
    /// Which faults a schedule may inject.
    enum class faults {
        basic,
        /// Also a store that comes back from an older copy.
        with_restores,
        /// Also failure domains that are cut off from the others, each with its host and upstreams.
        with_domain_cuts,
        /// Also stewards that miss their succession while keys move and upstreams start again.
        with_stale_stewards,
        /// As with_domain_cuts, and one command in ten waits for its sender's thread.
        with_late_senders,
        /// Also stewards that stop gracefully.
        with_stops,
        /// As with_stale_stewards, and the length of the leases changes with the configuration.
        with_lease_changes,
        /// Also drills: the store comes back from a copy of before a move away from an upstream
        /// that was cut off, or of before the first table, and most often without the steward.
        with_drills
    };

    explicit cw_steward_schedule(std::uint64_t seed, faults kinds = faults::basic);

    /// Injects twelve faults with random delays between them, then removes all faults and runs the
    /// simulation for 14 s. Injects no further fault after the first violation.
    void run();
    [[nodiscard]] const cw_ownership_simulation& simulation() const { return simulation_; }

private:
    std::string random_host();
    std::string random_upstream();
    [[nodiscard]] bool is_running(const std::string& name) const;
    void inject_fault();
    void inject_basic_fault();
    /// The store is away for a moment and comes back from an older copy.
    void restore_store();
    /// Cuts an upstream off from all hosts until its keys have moved. The store then comes back, at
    /// random twice, from a copy of before, while something happens to the hosts.
    void drill();
    /// Ends the steward or keeps it from the store and the other hosts at random; or ends all hosts
    /// and starts them again a second later.
    void disturb_hosts();
    void start_missing_hosts();
    void disconnect_from_hosts(const std::string& name);
    /// Cuts one failure domain off from all others, and at random from the store; ends other cuts.
    void cut_domain();
    /// The steward is suspended, or cut off from the store and from all other hosts but not from
    /// the upstreams. Meanwhile keys move, and two upstreams start again under their ids.
    void make_steward_stale();
    /// The configuration calls for longer leases than before, or for the shortest ones.
    void change_leases();

    faults kinds_;
    std::mt19937_64 engine_;
    cw_ownership_simulation simulation_;
    /// True if the first fault is a drill in which the store comes back from an empty copy.
    bool loses_first_table_ = false;
};
