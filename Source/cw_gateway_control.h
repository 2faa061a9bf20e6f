#pragma once

#include "cw_control_event.h"
#include "cw_crash_tracker.h"
#include "cw_evacuations.h"
#include "cw_gateway_view.h"
#include "cw_reader_chooser.h"
#include "cw_steward.h"
#include "cw_store_era.h"
#include "cw_upstream_directory.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// Actions that the gateway's control state requests after an event.
struct cw_control_output {
    std::vector<cw_steward_command> commands;
    /// The new view for the handling of requests; null when nothing has changed.
    std::shared_ptr<const cw_gateway_view> view;
    std::vector<cw_timeline_event> events;
    /// The steward of each service, to which this host reports; complete in each output.
    std::map<std::string, cw_steward_id> stewards;
    /// The service whose steward collects crashes, and the crashes to report to it.
    std::string crash_collecting_service;
    std::vector<cw_crash_report> crashes;
    /// Notices that upstreams are leaving, to be sent to the stewards of their services.
    std::vector<cw_leaving_notice> leaving_notices;
    /// Addresses of the hosts that read the store for this one, in order of preference.
    std::vector<std::string> readers;
};

/// The control state of one gateway: configuration, upstreams and the ownership of keys.
///
/// A deterministic state machine: it reads no clock and does no I/O.
class cw_gateway_control {
public:
    /// `host_info` describes this host; `recovery_time` is the grace period after a store outage in
    /// which upstreams write their expired entries again. Nothing may be sent to an evacuated
    /// failure domain after `evacuation_bound`; 0 if the deployment knows no evacuations.
    cw_gateway_control(cw_steward_id self, cw_host_info host_info, cw_steward_options options,
                       std::chrono::milliseconds recovery_time, std::uint64_t seed,
                       std::chrono::milliseconds evacuation_bound = {});

    /// Handles one event and returns the actions that follow from it.
    [[nodiscard]] cw_control_output decide(const cw_control_event& event, cw_boot_time now);

private:
    void handle(const cw_clock_tick& event, cw_boot_time now);
    void handle(const cw_config_received& event, cw_boot_time now);
    void handle(const cw_evacuations_received& event, cw_boot_time now);
    void handle(const cw_upstreams_listed& event, cw_boot_time now);
    void handle(const cw_upstreams_changed& event, cw_boot_time now);
    void handle(const cw_store_failed& event, cw_boot_time now);
    void handle(const cw_store_restored& event, cw_boot_time now);
    void handle(const cw_ownership_event& event, cw_boot_time now);
    void handle(const cw_steward_answer& event, cw_boot_time now);
    void handle(const cw_table_received& event, cw_boot_time now);
    void handle(const cw_succession& event, cw_boot_time now);
    void handle(const cw_host_report& event, cw_boot_time now);
    void handle(const cw_local_load& event, cw_boot_time now);
    void handle(const cw_crash_report& event, cw_boot_time now);
    void handle(const cw_leaving_notice& event, cw_boot_time now);
    void handle(const cw_ownership_limits& event, cw_boot_time now);
    void handle(const cw_stop_requested& event, cw_boot_time now);

    /// Passes the upstreams to the stewards and the next view if they have changed.
    void publish_upstreams(bool changed, cw_boot_time now);
    /// Failure domains of the known hosts and upstreams.
    [[nodiscard]] std::set<std::string> known_domains() const;
    /// The upstreams for the stewards. Those in evacuated domains count as leaving, so that their
    /// keys move.
    [[nodiscard]] std::map<std::string, cw_upstream_entry> steward_entries() const;
    [[nodiscard]] bool is_keyed(const std::string& service) const;
    /// Services all of whose upstreams are in evacuated domains.
    [[nodiscard]] std::set<std::string, std::less<>> services_without_upstreams() const;
    /// Marks an upstream as leaving and records the event; false if nothing changed.
    bool apply_leaving(const cw_leaving_notice& leaving, std::string detail, cw_boot_time now);
    void add_steward(const std::string& service, cw_boot_time now);
    /// Applies a crash, or an answer that resets a request's crashes, to the crash tracker if this
    /// host collects crashes; false if it does not.
    bool apply_crash_report(const cw_crash_report& crash, cw_boot_time now);
    /// True when this host collects the crashes of all hosts, as the steward of the first service
    /// does.
    [[nodiscard]] bool is_crash_collector() const;
    /// Removes hosts that no longer report, and counts the remaining ones if this host is a
    /// steward.
    void update_host_count(cw_boot_time now);
    /// Chooses the readers of each failure domain while this host collects crashes.
    void choose_readers(cw_boot_time now);
    /// True when this host may be a reader of its failure domain.
    [[nodiscard]] bool is_reader() const;
    void set_readers(const std::vector<std::string>& readers);
    void record_event(std::string type, std::string subject, std::string detail);
    [[nodiscard]] std::shared_ptr<const cw_gateway_view> make_view();
    [[nodiscard]] std::shared_ptr<const cw_upstream_lists> make_upstream_lists() const;
    [[nodiscard]] std::shared_ptr<const cw_crash_counts> current_crash_counts();
    /// The table object of the last view, or a new copy if the table has changed.
    [[nodiscard]] std::shared_ptr<const cw_key_table>
    current_table(const std::string& service, const cw_steward& steward) const;
    [[nodiscard]] bool tables_changed() const;
    /// True when the last view has no table of the service or another version of it.
    [[nodiscard]] bool table_changed(const std::string& service, const cw_steward& steward) const;
    /// This host's cw_steward of a service; null if there is none.
    cw_steward* find_steward(const std::string& service);

    cw_steward_id self_;
    cw_host_info host_info_;
    cw_steward_options options_;
    std::uint64_t random_seed_;
    cw_upstream_directory directory_;
    cw_evacuations evacuations_;
    std::shared_ptr<const cw_site_config> config_;
    std::map<std::string, std::unique_ptr<cw_steward>> stewards_;
    /// For stewards of services that are added later.
    cw_store_era store_era_;
    /// Hosts that report to this one, with the time of their last report.
    std::map<std::string, cw_boot_time> last_reports_;
    cw_hosts_by_name host_infos_;
    /// When the last clock tick was handled, and the time from the one before. A long time shows
    /// that the control state is behind with its work.
    cw_boot_time last_tick_{};
    std::chrono::milliseconds tick_gap_{0};
    cw_reader_chooser reader_chooser_;
    /// Addresses of the readers of this host's failure domain, in order of preference.
    std::vector<std::string> readers_;
    /// Number of hosts that share the retry budgets; 0 until it is known.
    std::uint32_t host_count_ = 0;
    cw_crash_tracker crash_tracker_{cw_crash_options{}};
    /// The crash counts last received from the steward that collects them.
    cw_crash_counts received_crash_counts_;
    /// Cached crash counts of the view; null when they must be rebuilt for the next view.
    std::shared_ptr<const cw_crash_counts> crash_counts_;
    bool are_counts_collected_here_ = false;
    /// Crashes seen by this host and not yet sent to the steward that collects them.
    std::vector<cw_crash_report> unsent_crashes_;
    /// Notices of leaving upstreams that this host has received and not yet sent to the stewards.
    std::vector<cw_leaving_notice> unsent_leaving_notices_;
    bool stopping_ = false;
    bool view_outdated_ = false;
    bool store_unreachable_ = false;
    /// Services of which this host is the steward and requests a successor, because the store does
    /// not answer it.
    std::set<std::string> requesting_successor_;
    std::shared_ptr<const cw_gateway_view> view_;
    /// Cached upstreams of the view; null when they must be rebuilt for the next view.
    std::shared_ptr<const cw_upstream_lists> upstream_lists_;
    /// As of the same moment.
    std::set<std::string, std::less<>> services_without_upstreams_;
    std::vector<cw_steward_command> commands_;
    std::vector<cw_timeline_event> events_;
};
