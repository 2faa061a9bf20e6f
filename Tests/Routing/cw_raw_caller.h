#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// Sends arbitrary bytes, valid HTTP or not, to a port on the loopback address and returns the
/// bytes received.
///
/// The pieces are sent one after another, with the pause after each. Returns when the peer closes
/// the connection, or after `max_wait`; then "(open)" is appended to the bytes received.
[[nodiscard]] std::string cw_send_raw(std::uint16_t port, const std::vector<std::string>& pieces,
                                      std::chrono::milliseconds pause,
                                      std::chrono::milliseconds max_wait);

/// The status code in an answer's status line; 0 when there is none.
[[nodiscard]] int cw_status_of(const std::string& answer);
