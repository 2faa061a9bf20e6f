#pragma once

#include <string>

/// The part a host plays, as the platform's host list states it.
enum class cw_host_kind { entry, upstream };

/// One line of the platform's host list.
struct cw_host {
    std::string id;
    cw_host_kind kind = cw_host_kind::entry;
    /// Failure domain of the host.
    std::string domain;
    /// Service of an upstream; empty for entry hosts.
    std::string service;
    /// "IP:port" of an upstream's HTTP interface or of a keeper's control interface.
    std::string address;
    /// True when the platform has announced that the host will go.
    bool leaving = false;

    friend bool operator==(const cw_host&, const cw_host&) = default;
};
