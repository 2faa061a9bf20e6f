#pragma once

/// Header fields of the interfaces to callers and upstreams, described in docs/CALLERS.md and
/// docs/UPSTREAMS.md.

inline constexpr const char* cw_header_outcome = "Cuminwinch-Outcome";
inline constexpr const char* cw_header_retry_after_ms = "Cuminwinch-Retry-After-Ms";
inline constexpr const char* cw_header_deadline_ms = "Cuminwinch-Deadline-Ms";
inline constexpr const char* cw_header_request_id = "Cuminwinch-Request-Id";
inline constexpr const char* cw_header_generation = "Cuminwinch-Generation";
inline constexpr const char* cw_header_key_hash = "Cuminwinch-Key-Hash";
inline constexpr const char* cw_header_refused = "Cuminwinch-Refused";
