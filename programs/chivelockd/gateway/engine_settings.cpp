#include "engine_settings.h"

#include <algorithm>

namespace chivelock {

namespace {

// A leaf request costs about 60 microseconds of CPU time in total: one core processes a hundred in 6 ms, while leafs
// take 4 to 15 ms to answer. Delegating work to helpers pays off from about eight requests on.
constexpr double shardsPerCore = 100;
constexpr std::size_t minShardsAtOnce = 8;

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
    settings.maxShardsPerVm = std::max(minShardsAtOnce, static_cast<std::size_t>(from.cpuShare * shardsPerCore));
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
