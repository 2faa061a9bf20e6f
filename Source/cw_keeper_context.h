#pragma once

#include "cw_config.h"
#include "cw_host.h"
#include "cw_keeper_command.h"
#include "cw_keeper_event.h"
#include "cw_ring_member.h"
#include "cw_slice_table.h"
#include "cw_time.h"
#include "cw_timings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// A slice table and its version in the store.
struct cw_stored_table {
    cw_slice_table table;
    std::uint64_t store_version = 0;
    /// Epoch of the newest table that this keeper read from the store, not from a peer.
    std::uint64_t read_epoch = 0;
};

/// State that the parts of the keeper's decision code share, and the commands that they emit.
class cw_keeper_context {
public:
    cw_keeper_context(cw_ring_member self, std::string domain, cw_timings timings)
        : self_{std::move(self)},
          domain_{std::move(domain)},
          timings_{timings} {}

    [[nodiscard]] const cw_ring_member& self() const { return self_; }
    [[nodiscard]] const std::string& domain() const { return domain_; }
    [[nodiscard]] const cw_timings& timings() const { return timings_; }
    [[nodiscard]] const cw_config* config() const { return config_.get(); }
    [[nodiscard]] const std::map<std::string, cw_host>& hosts() const { return hosts_; }
    [[nodiscard]] const std::map<std::string, cw_stored_table>& tables() const { return tables_; }
    [[nodiscard]] const cw_stored_table* table(const std::string& service) const;
    [[nodiscard]] const cw_host* host(const std::string& id) const;
    /// True if the host has been missing from the host list for cw_timings::host_absence_timeout.
    [[nodiscard]] bool is_host_gone(const std::string& id, cw_time_point now) const;
    /// Entry hosts of a domain, by id.
    [[nodiscard]] std::vector<std::string> entry_hosts(const std::string& domain) const;
    /// Listed upstreams of a service that are not leaving, by id.
    [[nodiscard]] std::vector<cw_upstream_location>
    live_upstreams(const std::string& service) const;
    [[nodiscard]] const cw_service_config* service_config(const std::string& service) const;

    void set_config(std::shared_ptr<const cw_config> config) { config_ = std::move(config); }
    void set_hosts(const std::vector<cw_host>& hosts, cw_time_point now);
    /// Stores a table unless the same or a newer one is known; true if it was stored.
    bool set_table(const cw_table_event& event);

    /// Returns an identifier for a write that is unique over all processes.
    [[nodiscard]] std::string next_writer();
    /// Returns a number that this process has not used before.
    [[nodiscard]] std::uint64_t next_id() { return ++last_id_; }

    /// Appends a command to those that take_commands() returns.
    void emit(cw_keeper_command command) { commands_.push_back(std::move(command)); }
    /// Records an event of the time line.
    void record_event(std::string type, std::string subject, std::string detail = "");
    void send(const std::string& to, cw_peer_body body);
    /// Sends to every other keeper of the organization (`firm`) that this keeper's domain belongs
    /// to.
    void send_to_firm(const cw_peer_body& body);
    [[nodiscard]] std::vector<cw_keeper_command> take_commands();

private:
    cw_ring_member self_;
    std::string domain_;
    cw_timings timings_;
    std::shared_ptr<const cw_config> config_;
    std::map<std::string, cw_host> hosts_;
    std::map<std::string, cw_time_point> missing_since_;
    std::map<std::string, cw_stored_table> tables_;
    std::vector<cw_keeper_command> commands_;
    std::uint64_t last_id_ = 0;
};
