#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// Sends bytes to a port on the loopback address, as a stranger might, and takes what comes back.
///
/// The pieces are sent one after the other with the pause between them. Returns when the other side
/// ends the connection, or after the time given, with a line "(open)" behind what came.
[[nodiscard]] std::string cw_send_raw(std::uint16_t port, const std::vector<std::string>& pieces,
                                      std::chrono::milliseconds pause,
                                      std::chrono::milliseconds max_wait);

/// The status of an answer's first line; 0 when there is none.
[[nodiscard]] int cw_status_of(const std::string& answer);
