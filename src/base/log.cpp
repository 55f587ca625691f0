#include "base/log.h"

#include "base/logqueue.h"
#include "logsink/logsink.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <dlfcn.h>
#include <filesystem>
#include <memory>
#include <unistd.h>

namespace nutmegtide {

namespace {

constexpr std::array<std::string_view, 3> LevelNames = {"info", "warning", "error"};

std::atomic<LogLevel> levelInForce {LogLevel::Info};

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
               const auto byte = static_cast<unsigned char>(c);
               return byte <= ' ' || byte == 0x7f || c == '"' || c == '=' || c == '\\';
           });
}

std::string escaped(char c)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\')
        return {'\\', c};
    if (c == '\n')
        return "\\n";
    if (byte >= ' ' && byte != 0x7f)
        return {c};
    return {'\\', 'x', Digits[byte / 16], Digits[byte % 16]};
}

std::string quote(std::string_view value)
{
    std::string text = "\"";
    for (const char c : value)
        text += escaped(c);
    return text + '"';
}

void append(std::string &line, std::string_view key, std::string_view value)
{
    if (!line.empty())
        line += ' ';
    line += key;
    line += '=';
    line += needsQuotes(value) ? quote(value) : std::string(value);
}

void appendIfSet(std::string &line, std::string_view key, std::string_view value)
{
    if (!value.empty())
        append(line, key, value);
}

// The loaded log module.
struct LogSink
{
    decltype(&nutmegtideLogStart) start = nullptr;
    decltype(&nutmegtideLogWrite) write = nullptr;
};

// The module stands beside the binary. Its whole path is named, since a sanitizer's own dlopen
// searches the sanitizer's folders instead of those that the binary names.
LogSink loadLogSink()
{
#ifdef NUTMEGTIDE_LINK_LOG
    return {&nutmegtideLogStart, &nutmegtideLogWrite};
#else
    std::error_code fault;
    const auto binary = std::filesystem::read_symlink("/proc/self/exe", fault);
    const std::string path = binary.parent_path() / "libnutmegtide_log.so";
    void *module = dlopen(path.c_str(), RTLD_NOW | RTLD_LOCAL);
    if (!module)
        throw LogError(std::string("cannot load the log module: ") + dlerror());
    LogSink sink;
    sink.start = reinterpret_cast<decltype(sink.start)>(dlsym(module, "nutmegtideLogStart"));
    sink.write = reinterpret_cast<decltype(sink.write)>(dlsym(module, "nutmegtideLogWrite"));
    if (!sink.start || !sink.write)
        throw LogError("the log module is of another version");
    return sink;
#endif
}

// Throws LogError where the module can't be loaded.
const LogSink &logSink()
{
    static const LogSink sink = loadLogSink();
    return sink;
}

std::unique_ptr<LogQueue> logQueue; // null until initLogging(), which comes before other threads

void writeToSink(int level, const std::string &line)
{
    logSink().write(level, line.c_str());
}

} // namespace

std::string_view toString(LogLevel level)
{
    return LevelNames.at(static_cast<std::size_t>(level));
}

std::string logLine(std::string_view event, const LogContext &context,
                    const std::vector<LogField> &fields)
{
    std::string line;
    append(line, "event", event);
    appendIfSet(line, "vm", context.vm.text());
    appendIfSet(line, "failure_domain", context.failureDomain.text());
    appendIfSet(line, "role", context.role);
    appendIfSet(line, "database", context.database.text());
    if (context.term != 0)
        append(line, "term", std::to_string(context.term));
    appendIfSet(line, "request_id", context.request.text());
    for (const LogField &field : fields)
        append(line, field.key, field.value);
    return line;
}

void initLogging(const NodeSettings &settings)
{
    const std::string &folder = settings.log.dir;
    if (!folder.empty() && access(folder.c_str(), W_OK | X_OK) != 0)
        throw LogError("cannot write to the log folder " + quote(folder));
    levelInForce = settings.log.level;
    logSink().start(folder.c_str(), settings.log.toStandardOutput ? 1 : 0);
    if (!logQueue)
        logQueue = std::make_unique<LogQueue>(&writeToSink);
}

void logEvent(LogLevel level, std::string_view event, const LogContext &context,
              const std::vector<LogField> &fields)
{
    if (level < levelInForce.load())
        return;
    const std::string line = logLine(event, context, fields);
    std::string whole = "level=" + std::string(toString(level)) + ' ' + line;
    if (logQueue)
        logQueue->put(static_cast<int>(level), std::move(whole));
    else
        writeToSink(static_cast<int>(level), whole);
}

bool flushLog(std::chrono::milliseconds limit)
{
    return !logQueue || logQueue->flush(limit);
}

} // namespace nutmegtide
