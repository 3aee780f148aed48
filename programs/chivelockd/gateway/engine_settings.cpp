#include "engine_settings.h"

#include <placement/placement.h>

#include <algorithm>

namespace chivelock {

namespace {

// Time from the decision to answer until the last byte of the answer is sent. Part of it is CPU time: half a
// millisecond of a core for the merged answer of about a hundred shards, queued behind whatever else the VM is doing.
constexpr millis minAnswerMargin(3);
constexpr millis answerCpuTime(0.5);

} // namespace

gateway_settings engineSettings(const gateway_daemon_settings &from)
{
    gateway_settings settings;
    settings.zone = from.zone;
    settings.retryRatio = from.retryRatio;
    settings.retrySlack = from.retrySlack;
    settings.retryWindow = from.retryWindow;
    settings.drainLimit = from.drainLimit;
    settings.callerRoundTrip = from.callerRoundTrip;
    settings.answerMargin = minAnswerMargin + answerCpuTime * (1 / from.cpuShare);
    settings.maxShardsPerVm = placement::shardsAtOnce(from.cpuShare);
    settings.capacity = from.cpuShare;
    settings.regions = from.regions;
    settings.scheduling = from.scheduling;
    settings.quarantine.hold = from.quarantineHold;
    settings.quarantine.capacity = from.quarantineEntries;
    constexpr double removalHoldShare = 0.73; // of the drain limit; the rest is left for the store's update to arrive
    settings.removalHold = from.drainLimit * removalHoldShare;
    return settings;
}

} // namespace chivelock
