#pragma once

/** @file The moments of a planned stop; a part of gateway.h. */

#include <base/base.h>

#include <string_view>

namespace chivelock {

/** Cause of an answer that is given because the process is being stopped. */
inline constexpr std::string_view stoppingCause = "stopping";

/**
 * When the steps of a planned stop happen. Each request is bounded by @ref answersBy instead of by the end of the
 * process, so that none is open when the process ends.
 */
struct stop_schedule {
    millis closesIdleAt; ///< connections without a request are closed from then on
    millis answersBy; ///< every request has got its final answer
    millis endsBy; ///< the process ends, even if callers have not read their answers

    /** @param began when the process was told to stop. @param grace from then until it is killed. */
    [[nodiscard]] static stop_schedule of(millis began, millis grace);
};

} // namespace chivelock
