#pragma once

/// What the gateway does with an upstream's response because of its status code.
enum class cw_status_class {
    /// Counts as the response to the request.
    final,
    /// Is skipped, since the final response follows on the same connection.
    interim,
    /// Counts as no response. No response follows a change of the protocol (101), and an upstream
    /// in trouble may respond with a status that HTTP does not define, such as 000.
    invalid
};

[[nodiscard]] constexpr cw_status_class cw_class_of_status(unsigned status) {
    constexpr unsigned first_interim = 100;
    constexpr unsigned switching_protocols = 101;
    constexpr unsigned first_final = 200;
    constexpr unsigned last_final = 599;
    if (status >= first_final && status <= last_final) {
        return cw_status_class::final;
    }
    const bool is_interim =
        status >= first_interim && status < first_final && status != switching_protocols;
    return is_interim ? cw_status_class::interim : cw_status_class::invalid;
}
