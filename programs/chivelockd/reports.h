#pragma once

#include "events.h"

#include <metrics/metrics.h>

namespace chivelock {

/** Builds the readiness, status or audit page. */
[[nodiscard]] report_page writeReport(const report_requested &request, const entry_core &core, millis now);

/** Converts the counters into metrics. */
[[nodiscard]] std::vector<metric_value> metricValues(const metrics_page &page);

} // namespace chivelock
