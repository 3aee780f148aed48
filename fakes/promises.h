#pragma once

#include "fake_fleet.h"

#include <string>
#include <vector>

namespace chivelock::fakes {

/** A promise that was broken, with what the fakes saw. */
struct violation {
    std::string promise;
    std::string detail;
};

/** Checks every answer against what leafs and callers saw; nothing that the system says of itself is believed. */
[[nodiscard]] std::vector<violation> checkPromises(fake_fleet &fleet);

} // namespace chivelock::fakes
