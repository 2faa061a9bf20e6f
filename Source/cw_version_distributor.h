#pragma once

#include "cw_time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

/// Notifies a host that the sender has a version.
struct cw_offer_message {
    std::uint64_t version = 0;
};

/// Confirms an offer: the receiver has the version or is fetching it.
struct cw_offer_ack_message {
    std::uint64_t version = 0;
};

/// An action that a distributor requests from its caller.
struct cw_version_distributor_command {
    enum class kind { offer, acknowledge, fetch };

    kind action = kind::offer;
    /// Host id of the other side.
    std::string host;
    std::uint64_t version = 0;
};

/// Settings of a distributor.
struct cw_version_distributor_options {
    /// Children of each host in its domain's tree.
    std::size_t fanout = 6;
    /// Hosts per domain that watch the store.
    std::size_t watchers = 2;
    /// Time after which an unacknowledged offer is sent to the unresponsive host's children
    /// instead.
    std::chrono::milliseconds ack_timeout{150};
    /// Interval between two offers to a random host, which reach hosts that the tree missed.
    std::chrono::milliseconds repair_interval{2'000};
    /// Time after which an incomplete fetch may be repeated from another host.
    std::chrono::milliseconds fetch_timeout{1'000};
};

/// Distributes the newest version to all hosts while only a few of them watch the store.
///
/// The hosts of a domain form a tree in the order of their names. The first hosts watch the store,
/// and offer each version to their children and to the first hosts of the other domains. Versions
/// never decrease.
class cw_version_distributor {
public:
    cw_version_distributor(std::string self, cw_version_distributor_options options,
                           std::uint64_t seed);

    /// Sets the hosts of this domain and, as `remote_hosts`, the first hosts of the other domains;
    /// both sorted by name.
    void set_hosts(std::vector<std::string> domain, std::vector<std::string> remote_hosts);
    /// Records that this host has a complete version, from the store or another host.
    void on_version(std::uint64_t version, cw_time_point now);
    void on_offer(const std::string& from, std::uint64_t version, cw_time_point now);
    void on_acknowledgement(const std::string& from, std::uint64_t version);
    void on_tick(cw_time_point now);

    /// True when this host is one of those that watch the store.
    [[nodiscard]] bool watches_store() const;
    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] std::vector<cw_version_distributor_command> take_commands();

private:
    struct pending_offer {
        std::uint64_t version = 0;
        cw_time_point due_at;
    };

    void emit(cw_version_distributor_command::kind action, const std::string& host,
              std::uint64_t version);
    void offer_to(std::size_t index, cw_time_point now);
    void offer_to_children(std::size_t index, cw_time_point now);
    [[nodiscard]] std::size_t index_of(const std::string& host) const;

    std::string self_;
    cw_version_distributor_options options_;
    std::minstd_rand engine_;
    std::vector<std::string> domain_;
    std::vector<std::string> remote_hosts_;
    std::size_t own_index_ = 0;
    std::uint64_t version_ = 0;
    std::uint64_t fetching_version_ = 0;
    cw_time_point fetch_deadline_{};
    std::map<std::size_t, pending_offer> offers_;
    cw_time_point next_repair_{};
    std::vector<cw_version_distributor_command> commands_;
};
