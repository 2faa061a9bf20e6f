#pragma once

#include "cw_host_info.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

/// The gateway hosts, by host name.
using cw_hosts_by_name = std::map<std::string, cw_host_info>;
/// Addresses ("IP:port") of the readers of each failure domain, best first.
using cw_readers_by_domain = std::map<std::string, std::vector<std::string>>;

/// Number of readers in a failure domain at most.
inline constexpr std::size_t cw_max_readers_per_domain = 3;

/// Ranks the hosts of each failure domain that may read the store for the others, by CPU capacity.
///
/// Between hosts of equal capacity, the readers of `previous` come first, so that a host that joins
/// does not make others change their source. Remaining ties are broken by a hash of the host name,
/// which distributes the work of several deployments. Hosts without a known failure domain are left
/// out. When calls to the store fail on all readers that this would choose, hosts on which they are
/// not known to fail come first.
[[nodiscard]] cw_readers_by_domain cw_rank_readers(const cw_hosts_by_name& hosts,
                                                   const cw_readers_by_domain& previous);
