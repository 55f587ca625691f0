#pragma once

#include "nutmegtide/base/errors.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/settings/nodesettings.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegtide {

// Returns "info", "warning" or "error".
std::string_view toString(LogLevel level);

// A log folder that can't be written.
class LogError : public Error
{
public:
    using Error::Error;
};

// What a log line is about; empty fields are left out of the line.
struct LogContext
{
    VmName vm {};
    FailureDomain failureDomain {};
    std::string role {};
    DatabaseName database {};
    Term term = 0; // 0 for none
    RequestId request {};
};

struct LogField
{
    std::string key;
    std::string value;
};

// Writes event=... and the fields as key=value on one line. A value with spaces, quotes,
// "=" or control characters is quoted, with these escaped.
std::string logLine(std::string_view event, const LogContext &context,
                    const std::vector<LogField> &fields = {});

// Sets up glog; called once per process, before the first line. Throws LogError.
void initLogging(const NodeSettings &settings);

// Returns whether all lines were written within the time. Where not, the process should end without
// the usual clean-up, which would wait for the same reader.
bool flushLog(std::chrono::milliseconds limit);

// Writes one line if the level is in force. Thread-safe, and never waits for a reader once
// initLogging() was called.
//
//   logEvent(LogLevel::Warning, "server_lost", context, {{"server", id.text()}});
void logEvent(LogLevel level, std::string_view event, const LogContext &context,
              const std::vector<LogField> &fields = {});

} // namespace nutmegtide
