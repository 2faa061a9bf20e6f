#pragma once

#include <string>

/// Role of a host in the platform's host list.
enum class cw_host_kind { entry, upstream };

/// One entry of the platform's host list.
struct cw_host {
    std::string id;
    cw_host_kind kind = cw_host_kind::entry;
    /// Failure domain of the host.
    std::string domain;
    /// Service of an upstream; empty for entry hosts.
    std::string service;
    /// "IP:port" of an upstream's HTTP interface or of a keeper's control interface.
    std::string address;
    /// True if the platform has announced that the host will be removed.
    bool leaving = false;

    friend bool operator==(const cw_host&, const cw_host&) = default;
};
