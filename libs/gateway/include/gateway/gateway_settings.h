#pragma once

/** @file Settings of the gateway; a part of gateway.h. */

#include <base/base.h>
#include <quarantine/quarantine.h>

#include <cstddef>
#include <map>

namespace chivelock {

/** Decisions under load that operators can switch off. Each takes effect only where the data call for it. */
struct scheduling_switches {
    bool priorities = true; ///< requests of less urgent routes yield to more urgent ones
    bool placement = true; ///< delegated work is divided by the capacity and backlog of the VMs
    bool hedging = true; ///< the time of a hedge follows from the response times of the route
    bool overload = true; ///< requests that cannot be answered in time are refused
};

/** Settings of the gateway. */
struct gateway_settings {
    zone_name zone;
    double retryRatio = 0.2; ///< extra sends allowed per request, fleet-wide
    double retrySlack = 10; ///< additional extra sends allowed per window, fleet-wide
    millis retryWindow {10000};
    millis drainLimit {3000}; ///< how long after the store's report a leaving leaf may get requests
    millis callerRoundTrip {6}; ///< assumed round trip to a caller if it was not measured; decides when to answer
    millis answerMargin {4}; ///< from the decision to answer to the last byte written, on a busy VM
    std::size_t maxShardsPerVm = 25; ///< more shards are divided among VMs, since one VM would take too long for them
    millis removalHold {2200}; ///< how long a leaf stays usable whose entry expired while the store was unavailable
    double capacity = 1; ///< CPU capacity of this VM, in cores
    std::map<zone_name, region_name> regions; ///< region of each zone, as far as they are known
    scheduling_switches scheduling;
    quarantine_settings quarantine;
};

} // namespace chivelock
