#pragma once

#include "cw_host_info.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

/// Hosts of ours by name.
using cw_host_places = std::map<std::string, cw_host_info>;
/// Addresses of readers in their order, by failure domain.
using cw_reader_orders = std::map<std::string, std::vector<std::string>>;

/// Readers that are named in each failure domain.
inline constexpr std::size_t cw_readers_each_domain = 3;

/// Names the hosts of each failure domain that may read the store for the others, strongest first.
///
/// Of hosts that are equally strong those of the previous orders stay, so that a host that comes
/// does not make others change their source; the rest is drawn by name, which spreads the work of
/// several deployments.
[[nodiscard]] cw_reader_orders cw_rank_readers(const cw_host_places& hosts,
                                               const cw_reader_orders& previous);
