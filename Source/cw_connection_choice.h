#pragma once

#include "cw_boot_clock.h"

/// On which connection an HTTP client sends a request.
enum class cw_connection_choice {
    /// An idle one, or a new one if none is idle. If the idle one has broken, for example because
    /// the peer closed it, the request is sent once more on a new one; the peer may receive it
    /// twice.
    idle_or_new,
    /// A new one. The peer receives the request once at most. Its operating system may establish
    /// the connection long before the peer takes it, so the peer may receive the request at any
    /// time later, even if the connection has been reset meanwhile.
    only_new,
    /// The idle one that has been idle for longest. The peer has answered on it before, so it
    /// receives the request as soon as it arrives. Fails without sending anything if no connection
    /// is idle.
    only_idle,
    /// One that cw_http_client::open() has opened and on which nothing has been sent; the peer may
    /// take it late, as with `only_new`. Fails without sending anything if there is none.
    only_unused
};

/// Conditions under which an HTTP client sends a request.
struct cw_send_conditions {
    cw_connection_choice choice = cw_connection_choice::idle_or_new;
    /// Connections that were established later are not used; `idle_or_new` and `only_new` ignore
    /// this.
    cw_boot_time established_by = cw_boot_time::max();
    /// The request is not written after this time.
    cw_boot_time send_by = cw_boot_time::max();
};
