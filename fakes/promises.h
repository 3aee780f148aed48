#pragma once

#include "fake_fleet.h"

#include <string>
#include <vector>

namespace chivelock::fakes {

/** A broken guarantee and the evidence that the fakes recorded. */
struct violation {
    std::string promise;
    std::string detail;
};

/**
 * Checks every answer against what leafs executed and callers received. Uses no figures that the system reports about
 * itself, apart from the catalogue revisions that the entries hold.
 */
[[nodiscard]] std::vector<violation> checkPromises(fake_fleet &fleet);

} // namespace chivelock::fakes
