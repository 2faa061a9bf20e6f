#pragma once

#include "cw_control_event.h"
#include "cw_crash_ledger.h"
#include "cw_gateway_view.h"
#include "cw_steward.h"
#include "cw_upstream_directory.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// What a gateway's control state wants done after an event.
struct cw_control_output {
    std::vector<cw_steward_command> commands;
    /// What traffic is to work by from now on; null when nothing has changed.
    std::shared_ptr<const cw_gateway_view> view;
    std::vector<cw_timeline_event> events;
    /// Services whose steward is to be reported to, with the steward; all of them each time.
    std::map<std::string, cw_steward_id> stewards;
    /// The service whose steward gathers crashes, and crashes to report to it.
    std::string crash_collecting_service;
    std::vector<cw_crash_report> crashes;
    /// Upstreams that said that they leave, to be told to their services' stewards.
    std::vector<cw_leaving_notice> leaving;
    /// Addresses of the hosts that read the store for this one, in their order.
    std::vector<std::string> readers;
};

/// The control state of one gateway: configuration, upstreams and the ownership of keys.
///
/// A deterministic state machine: it reads no clock and does no I/O.
class cw_gateway_control {
public:
    /// `place` is that of this host; `return_time` is how long lapsed entries may take to come
    /// back.
    cw_gateway_control(cw_steward_id self, cw_host_place host_info, cw_steward_options options,
                       std::chrono::milliseconds recovery_time, std::uint64_t seed);

    [[nodiscard]] cw_control_output decide(const cw_control_event& event, cw_boot_time now);

private:
    void handle(const cw_clock_tick& event, cw_boot_time now);
    void handle(const cw_config_received& event, cw_boot_time now);
    void handle(const cw_upstreams_listed& event, cw_boot_time now);
    void handle(const cw_upstreams_changed& event, cw_boot_time now);
    void handle(const cw_store_failed& event, cw_boot_time now);
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

    void publish_upstreams(bool changed, cw_boot_time now);
    /// An upstream says that it leaves; true when that is news.
    bool apply_leaving(const cw_leaving_notice& leaving, std::string detail, cw_boot_time now);
    void add_steward(const std::string& service, cw_boot_time now);
    /// Adds a crash to the ledger of all hosts if this host keeps it; true when it does.
    bool record_crash(const cw_crash_report& crash, cw_boot_time now);
    /// True when this host is the steward that gathers crashes: that of the first service.
    [[nodiscard]] bool is_crash_collector() const;
    void update_host_count(cw_boot_time now);
    /// Names the readers of each failure domain while this host gathers.
    void choose_readers(cw_boot_time now);
    /// True when this host may have to read the store for others.
    [[nodiscard]] bool is_reader() const;
    void set_readers(const std::vector<std::string>& readers);
    void record_event(std::string what, std::string subject, std::string detail);
    [[nodiscard]] std::shared_ptr<const cw_gateway_view> make_view();
    [[nodiscard]] std::shared_ptr<const cw_upstream_lists> make_upstream_lists() const;
    [[nodiscard]] std::shared_ptr<const cw_crash_marks> current_crash_counts();
    /// The table as the last view shows it, or a new copy when it has changed.
    [[nodiscard]] std::shared_ptr<const cw_key_table>
    current_table(const std::string& service, const cw_steward& steward) const;
    [[nodiscard]] bool tables_changed() const;
    /// True when the last view shows another table of the service.
    [[nodiscard]] bool table_changed(const std::string& service, const cw_steward& steward) const;
    cw_steward* find_steward(const std::string& service);

    cw_steward_id self_;
    cw_host_place host_info_;
    cw_steward_options options_;
    std::uint64_t seed_;
    cw_upstream_directory directory_;
    std::shared_ptr<const cw_site_config> config_;
    std::map<std::string, std::unique_ptr<cw_steward>> stewards_;
    /// Hosts that have reported here, with the moment of their last report.
    std::map<std::string, cw_boot_time> last_reports_;
    cw_host_places host_infos_;
    bool host_infos_changed_ = true;
    /// When this host began to gather; the clock's beginning while it does not.
    cw_boot_time collector_since_{};
    cw_reader_orders readers_by_domain_;
    /// Readers of this host's failure domain.
    std::vector<std::string> readers_;
    /// Hosts that share the budgets. Until a steward has told, many are assumed.
    std::uint32_t host_count_ = assumed_host_count;
    static constexpr std::uint32_t assumed_host_count = 8;
    cw_crash_ledger crash_tracker_{cw_crash_options{}};
    /// The ledger of the steward that gathers crashes, as it told last.
    cw_crash_marks received_crashes_;
    /// The marks as the next view shows them; null when they have changed since the last.
    std::shared_ptr<const cw_crash_marks> crash_counts_;
    bool counts_are_collected_ = false;
    /// Crashes seen by this host that the gathering steward has not been told of.
    std::vector<cw_crash_report> unsent_crashes_;
    /// Upstreams whose leaving this host has heard of and not told the stewards.
    std::vector<cw_leaving_notice> unsent_leaving_;
    bool stopping_ = false;
    bool view_outdated_ = false;
    bool store_unreachable_ = false;
    /// Services whose steward this host is without an answer from the store.
    std::set<std::string> requesting_successor_;
    std::shared_ptr<const cw_gateway_view> view_;
    /// The upstreams as the next view shows them; null when they have changed since the last.
    std::shared_ptr<const cw_upstream_lists> upstream_lists_;
    std::vector<cw_steward_command> commands_;
    std::vector<cw_timeline_event> events_;
};
