#pragma once

#include "cw_host_place.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

/// Hosts of ours by name.
using cw_hosts_by_name = std::map<std::string, cw_host_place>;
/// Addresses of readers in their order, by failure domain.
using cw_readers_by_domain = std::map<std::string, std::vector<std::string>>;

/// Readers that are named in each failure domain.
inline constexpr std::size_t cw_max_readers_per_domain = 3;

/// Names the hosts of each failure domain that may read the store for the others, strongest first.
///
/// Of hosts that are equally strong those of the previous orders stay, so that a host that comes
/// does not make others change their source; the rest is drawn by name, which spreads the work of
/// several deployments.
[[nodiscard]] cw_readers_by_domain cw_rank_readers(const cw_hosts_by_name& hosts,
                                                   const cw_readers_by_domain& previous);
