#pragma once

#include "cw_error.h"
#include "cw_peer_message.h"

#include <cstdint>
#include <span>
#include <vector>

/// Encodes a message between keepers as MessagePack; one message is one datagram.
[[nodiscard]] std::vector<std::uint8_t> cw_encode_peer_message(const cw_peer_message& message);

/// Decodes one datagram; malformed data is an error.
[[nodiscard]] cw_result<cw_peer_message> cw_decode_peer_message(std::span<const std::uint8_t> data);
