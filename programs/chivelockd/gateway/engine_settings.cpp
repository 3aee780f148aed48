#include "engine_settings.h"

#include <algorithm>

namespace chivelock {

namespace {

// A leaf request costs some 60 microseconds of a core, all included: a core does a hundred in 6 ms, beside leafs that
// take 4 to 15 ms. Handing work out pays from about eight requests on.
constexpr double shardsPerCore = 100;
constexpr std::size_t leastShardsAtOnce = 8;

// From deciding to the answer's last byte on its way: part of it is work, half a millisecond of a core for the merged
// answer of some hundred shards behind whatever the VM is doing.
constexpr millis leastAnswerMargin(3);
constexpr millis answerWork(0.5);

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
    settings.answerMargin = leastAnswerMargin + answerWork * (1 / from.cpuShare);
    settings.shardsAtOnce = std::max(leastShardsAtOnce, static_cast<std::size_t>(from.cpuShare * shardsPerCore));
    settings.quarantine.hold = from.quarantineHold;
    settings.quarantine.capacity = from.quarantineEntries;
    constexpr double holdShare = 0.73; // of the drain limit; the rest is for the store's word to arrive
    settings.removalHold = from.drainLimit * holdShare;
    return settings;
}

} // namespace chivelock
