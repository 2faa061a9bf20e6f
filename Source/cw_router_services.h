#pragma once

#include "cw_router_options.h"

#include <memory>
#include <vector>

class cw_kernel;
class cw_router_shared;
struct cw_traffic_context;

/// Starts the service "control". It receives routes as JSON text (std::string) and publishes the
/// view that the traffic threads use.
void cw_start_router_control(cw_kernel& kernel, cw_router_shared& shared);

/// Starts the service "report". Once a second it sends the load per slice and new events of the
/// time line to the keeper on this host; crash reports are sent at once.
void cw_start_router_report(cw_kernel& kernel, cw_router_shared& shared,
                            const cw_router_options& options,
                            std::vector<cw_traffic_context*> traffic);
