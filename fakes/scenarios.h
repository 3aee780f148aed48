#pragma once

#include "fake_fleet.h"
#include "promises.h"

#include <optional>
#include <string_view>
#include <vector>

namespace chivelock::fakes {

/** What callers and operators do; the faults come on top. */
enum class scenario : std::uint8_t {
    Lookups, ///< whole and partial lookups on all entries
    Ticket, ///< an unrepeatable lookup, asked again at another entry
    Change, ///< two catalogue changes, lookups around them
    Leaving, ///< a leaf begins to leave while lookups go on
    Stop, ///< a planned stop of one entry under lookups
    Split ///< a new snapshot with more shards under running lookups
};

/** What goes wrong at one step. */
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
    FramesDoubled,
    FramesLate,
    LeafKilled,
    LeafRevived,
    LeafFrozen,
    LeafSlow,
    LeafShedding,
    LeafCold,
    LeafRefusesLeaving,
    LeafOtherSnapshot,
    PlatformDown,
    PlatformOldPublication,
    OperatorsRace,
    ListLags,
    EntryStopped
};

inline constexpr std::size_t scenarioCount = 6;
inline constexpr std::size_t faultCount = 25;

[[nodiscard]] std::string_view toString(scenario value);
[[nodiscard]] std::string_view toString(fault value);

/** A guard that one run leaves out, to show what it prevents. */
enum class guard : std::uint8_t {
    None,
    Snapshot,
    Attempt,
    Doubled,
    NotAfter,
    FreshSigns,
    TicketIssuer,
    NeverBack,
    Notice
};

inline constexpr std::size_t guardCount = 9;

[[nodiscard]] std::string_view toString(guard value);

/** One fault and the step after which it comes. */
struct placed_fault {
    fault what = fault::None;
    std::uint64_t step = 0; ///< counted from the scenario's first action
};

struct case_result {
    std::uint64_t steps = 0; ///< that the scenario took, for placing faults
    std::vector<violation> violations;
};

/** Runs one case from a fresh fleet. */
[[nodiscard]] case_result
runCase(scenario chosen, const std::vector<placed_fault> &faults, guard leftOut, std::uint64_t seed);

} // namespace chivelock::fakes
