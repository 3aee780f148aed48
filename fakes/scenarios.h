#pragma once

#include "fake_fleet.h"
#include "promises.h"

#include <optional>
#include <string_view>
#include <vector>

namespace chivelock::fakes {

/** What callers and operators do in a case. Faults are injected in addition. */
enum class scenario : std::uint8_t {
    Lookups, ///< lookups that need complete answers and lookups that allow partial ones, on all entries
    Ticket, ///< non-idempotent lookups, retried with their tickets on the same and on other entries
    Change, ///< two catalogue changes while lookups run
    Leaving, ///< a leaf starts leaving while lookups run
    Stop, ///< a planned stop of one entry while lookups run
    Split ///< a new snapshot with more shards under running lookups
};

/** The fault that is injected at one step. */
enum class fault : std::uint8_t {
    None,
    EntryKilled,
    EntryRestarted,
    EntryFrozenShort,
    EntryFrozenLong,
    OtherKilled,
    OtherFrozenLong,
    CutOneWay,
    CutOtherWay,
    CutBothWays,
    FramesDuplicated,
    FramesReordered,
    LeafKilled,
    LeafRestarted,
    LeafFrozen,
    LeafSlow,
    LeafShedding,
    LeafCold,
    LeafRefusesLeaving,
    LeafOtherSnapshot,
    PlatformDown,
    PlatformOldPublication,
    OperatorsRace,
    VmListStale, ///< the VM list names two VMs that do not run
    EntryStopped
};

inline constexpr std::size_t scenarioCount = 6;
inline constexpr std::size_t faultCount = 25;

[[nodiscard]] std::string_view toString(scenario value);
[[nodiscard]] std::string_view toString(fault value);

/** A safety check that one case disables, to show which violation the check prevents. */
enum class guard : std::uint8_t {
    None,
    SnapshotCheck,
    AttemptCheck,
    DuplicateCheck,
    SendTimeCheck, ///< calls are not sent after their latest send time
    HealthFreshness, ///< leaf health reports are requested often and expire
    TicketIssuerCheck,
    RevisionCheck, ///< an older catalogue is refused
    StopNotice ///< a stopping entry keeps serving until the balancer has noticed
};

inline constexpr std::size_t guardCount = 9;

[[nodiscard]] std::string_view toString(guard value);

/** A fault and the step after which it is injected. */
struct placed_fault {
    fault what = fault::None;
    std::uint64_t step = 0; ///< counted from the first action of the scenario
};

struct case_result {
    std::uint64_t steps = 0; ///< number of steps at which faults can be injected into the scenario
    std::vector<violation> violations;
};

/** Runs one case on a new fleet. */
[[nodiscard]] case_result
runCase(scenario chosen, const std::vector<placed_fault> &faults, guard disabledGuard, std::uint64_t seed);

} // namespace chivelock::fakes
