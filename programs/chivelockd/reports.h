#pragma once

#include "events.h"

#include <metrics/metrics.h>

namespace chivelock {

/** Readiness, status or audit trail as a page. */
[[nodiscard]] report_page writeReport(const report_wanted &wanted, const entry_core &core, millis now);

/** The counts of one moment as metrics. */
[[nodiscard]] std::vector<metric_value> metricValues(const metrics_page &page);

} // namespace chivelock
