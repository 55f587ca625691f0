#include "logsink/logsink.h"

#include "nutmegtide/settings/nodesettings.h"

#include <cstdio>
#include <glog/logging.h>
#include <string>

namespace {

int severityOf(nutmegtide::LogLevel level)
{
    switch (level) {
    case nutmegtide::LogLevel::Info:
        return google::GLOG_INFO;
    case nutmegtide::LogLevel::Warning:
        return google::GLOG_WARNING;
    case nutmegtide::LogLevel::Error:
        break;
    }
    return google::GLOG_ERROR;
}

} // namespace

void nutmegtideLogStart(const char *folder, int toStandardOutput)
{
    const std::string text = folder;
    FLAGS_logtostderr = text.empty() && toStandardOutput == 0;
    FLAGS_logtostdout = text.empty() && toStandardOutput != 0;
    // A pipe would else keep whole lines back until a block is full.
    if (FLAGS_logtostdout)
        std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    FLAGS_log_dir = text;
    FLAGS_logbufsecs = 0;
    if (!google::IsGoogleLoggingInitialized())
        google::InitGoogleLogging("nutmegtide");
}

void nutmegtideLogWrite(int level, const char *line)
{
    const auto severity = severityOf(static_cast<nutmegtide::LogLevel>(level));
    google::LogMessage("nutmegtide", 0, severity).stream() << line;
}
