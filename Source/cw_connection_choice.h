#pragma once

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
    /// An idle one. The peer has answered on it before, so it receives the request as soon as it
    /// arrives. Fails without sending anything if no connection is idle.
    only_idle
};
