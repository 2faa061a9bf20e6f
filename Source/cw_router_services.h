#pragma once

#include "cw_router_options.h"

#include <memory>
#include <vector>

class cw_kernel;
class cw_router_shared;
struct cw_traffic_context;

/// Starts the service "control": it takes routes as JSON text (std::string) and publishes the view
/// by which traffic threads work.
void cw_start_router_control(cw_kernel& kernel, cw_router_shared& shared);

/// Starts the service "report": once a second it tells the own keeper the load per slice and new
/// time line events.
void cw_start_router_report(cw_kernel& kernel, cw_router_shared& shared,
                            const cw_router_options& options,
                            std::vector<cw_traffic_context*> traffic);
