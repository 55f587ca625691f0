#include "serve/serve.h"

#include "base/log.h"
#include "serve/node.h"
#include "site/servesite.h"

#include <csignal>
#include <curl/curl.h>
#include <thrift/TOutput.h>
#include <unistd.h>

namespace nutmegtide {

namespace {

constexpr auto LastLinesTime = 300ms; // for a reader of the log to take what is left

// The signals are blocked before the first thread starts, so that only
// sigwait() receives them.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    return signals;
}

// Thrift reports refused connections and closed peers here; the callers of the
// failed calls decide what they mean.
void dropThriftMessage(const char *) { }

int run(const NodeSettings &settings, const std::string &config, const sigset_t &signals)
{
    try {
        if (settings.role != NodeRole::Proxy) {
            serveSite(settings, config, signals);
            return 0;
        }
        Node node(settings);
        int received = SIGHUP;
        // A proxy's own settings hold for its life; the fleet's are applied through control.
        while (received == SIGHUP)
            sigwait(&signals, &received);
        node.drain();
        return 0;
    } catch (const Error &fault) {
        logEvent(LogLevel::Error, "start_failed", {}, {{"message", fault.what()}});
        return 1;
    }
}

} // namespace

int serve(const NodeSettings &settings, const std::string &config)
{
    apache::thrift::GlobalOutput.setOutputFunction(&dropThriftMessage);
    const sigset_t signals = blockStopSignals();
    initLogging(settings);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const int code = run(settings, config, signals);
    if (!flushLog(LastLinesTime))
        _exit(code);
    return code;
}

} // namespace nutmegtide
