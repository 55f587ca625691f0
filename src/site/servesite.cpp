#include "site/servesite.h"

#include "base/log.h"
#include "nutmegtide/settings/loader.h"
#include "serve/signal.h"
#include "site/controlnode.h"
#include "site/entrynode.h"

#include <atomic>
#include <filesystem>
#include <functional>
#include <thread>

namespace nutmegtide {

namespace {

constexpr auto SettingsPollInterval = 1s; // the file may change without a signal

// Reloads a changed settings file. An invalid file leaves the previous settings in force.
class SettingsWatch
{
public:
    using OnChange = std::function<void(const NodeSettings &)>;

    SettingsWatch(NodeSettings settings, std::string config, OnChange onChange)
        : m_settings(std::move(settings))
        , m_config(std::move(config))
        , m_onChange(std::move(onChange))
        , m_thread([this] { run(); })
    { }
    ~SettingsWatch()
    {
        m_isStopping = true;
        m_signal.notify();
        m_thread.join();
    }
    SettingsWatch(const SettingsWatch &) = delete;
    SettingsWatch &operator=(const SettingsWatch &) = delete;

    // Checks the file without waiting for the next interval.
    void checkNow() { m_signal.notify(); }

private:
    void run()
    {
        while (!m_isStopping) {
            m_signal.restUntil(Clock::now() + SettingsPollInterval);
            check();
        }
    }
    void check()
    {
        std::string errors;
        try {
            const NodeSettings read = loadNodeSettings(m_config);
            m_loggedErrors.clear();
            if (read == m_settings)
                return;
            m_settings = read;
            m_onChange(read);
            return;
        } catch (const SettingsError &error) {
            errors = error.what();
        }
        if (errors == m_loggedErrors)
            return;
        m_loggedErrors = errors;
        logEvent(LogLevel::Error, "settings_refused", {m_settings.name}, {{"reason", errors}});
    }

    NodeSettings m_settings;
    const std::string m_config;
    const OnChange m_onChange;
    std::string m_loggedErrors; // as last logged
    Signal m_signal;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

// Returns once a stop signal arrived.
void waitForStop(const sigset_t &signals, SettingsWatch &watch)
{
    int received = 0;
    while (sigwait(&signals, &received) == 0 && received == SIGHUP)
        watch.checkNow();
}

} // namespace

void serveSite(const NodeSettings &settings, const std::string &config, const sigset_t &signals)
{
    if (settings.role == NodeRole::Control) {
        ControlNode node(settings);
        SettingsWatch watch(settings, config,
                            [&node](const NodeSettings &changed) { node.reload(changed); });
        waitForStop(signals, watch);
        return;
    }
    EntryNode node(settings);
    std::thread loop([&node] { node.run(); });
    {
        SettingsWatch watch(settings, config,
                            [&node](const NodeSettings &changed) { node.reload(changed); });
        waitForStop(signals, watch);
        node.stop();
    }
    loop.join();
}

} // namespace nutmegtide
