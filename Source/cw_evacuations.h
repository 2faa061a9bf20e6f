#pragma once

#include "cw_boot_clock.h"
#include "cw_evacuation_view.h"
#include "cw_store_position.h"
#include "cw_timeline_event.h"

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Decides which failure domains are evacuated and from when on nothing at all is sent to their
/// upstreams. A deterministic state machine.
class cw_evacuations {
public:
    using milliseconds = std::chrono::milliseconds;

    /// `bound` is the time after which nothing may be sent to an evacuated domain any more.
    explicit cw_evacuations(milliseconds bound)
        : bound_{bound} {}

    /// Sets the names of all evacuation objects, as of the position and with the time for which a
    /// change may have been unknown here. True if the set of evacuated domains has changed.
    bool on_names(const std::set<std::string>& names, cw_store_position position, milliseconds lag,
                  cw_boot_time now);
    /// Sets the known failure domains. A name of another domain has no effect. True if the set of
    /// evacuated domains has changed.
    bool on_domains(const std::set<std::string>& domains);
    /// Drops domains whose time after the return has passed, and reports unknown names.
    void on_tick(cw_boot_time now);

    /// True while there is a name that is no known failure domain.
    [[nodiscard]] bool has_unknown_name() const;
    [[nodiscard]] bool is_empty() const { return evacuated_.empty(); }
    [[nodiscard]] bool is_evacuated(std::string_view domain) const {
        return evacuated_.contains(domain);
    }
    /// Services are left empty.
    [[nodiscard]] cw_evacuation_view view() const { return {evacuated_, returned_, {}}; }
    /// Events since the last call.
    [[nodiscard]] std::vector<cw_timeline_event> take_events();

private:
    struct evacuation {
        cw_boot_time learned_at;
        /// Position, and time for which the evacuation may have been unknown here.
        cw_store_position position;
        milliseconds lag{0};
        bool is_unknown_reported = false;
    };

    void start(const std::string& domain, const evacuation& known);
    void end(const std::string& domain, const evacuation& known, cw_store_position position,
             cw_boot_time now);

    milliseconds bound_;
    /// All names that apply, whether they are known failure domains or not.
    std::map<std::string, evacuation> names_;
    /// Those that are; see cw_evacuation_view.
    std::map<std::string, cw_boot_time, std::less<>> evacuated_;
    std::map<std::string, cw_boot_time, std::less<>> returned_;
    std::set<std::string> domains_;
    std::vector<cw_timeline_event> events_;
};
