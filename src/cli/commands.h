#pragma once

#include "cli/options.h"

namespace nutmegtide {

// Each runs one command and returns its exit code. Failures that have no exit
// code of their own are thrown as Error.
int runServe(const ServeOptions &options);
int runCheck(const CheckOptions &options);
int runApply(const ApplyOptions &options);
int runStatus(const StatusOptions &options);
int runExplain(const ExplainOptions &options);
int runTimeline(const TimelineOptions &options);
int runDrain(const DrainOptions &options);

} // namespace nutmegtide
