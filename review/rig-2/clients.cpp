#include "clients.h"

#include <array>
#include <unistd.h>

namespace rig {

using namespace std::chrono_literals;

namespace {

constexpr auto StartTime = 2s; // for READY after START
constexpr auto ReconnectPause = 50ms;

bool isPromise(const std::string &line)
{
    static constexpr std::array<const char *, 6> Codes = {"BUSY",     "ABORTED",   "LAGGING",
                                                          "READONLY", "MISROUTED", "TOOMANY"};
    for (const char *code : Codes) {
        if (line.rfind(std::string("ERR ") + code, 0) == 0)
            return true;
    }
    return false;
}

} // namespace

Clients::Clients(Settings settings, Record &record)
    : m_settings(std::move(settings))
    , m_record(record)
{
    for (int session = 0; session < m_settings.sessions; ++session)
        m_threads.emplace_back([this, session] { run(session); });
}

Clients::~Clients()
{
    m_isStopping = true;
    for (std::thread &thread : m_threads)
        thread.join();
}

std::vector<std::string> Clients::acknowledged() const
{
    const std::lock_guard lock(m_mutex);
    return m_acknowledged;
}

std::vector<std::string> Clients::nothingKept() const
{
    const std::lock_guard lock(m_mutex);
    return m_nothingKept;
}

void Clients::note(const std::string &request, Told told)
{
    const std::lock_guard lock(m_mutex);
    if (told == Told::Acknowledged)
        m_acknowledged.push_back(request);
    if (told == Told::NothingKept)
        m_nothingKept.push_back(request);
}

void Clients::run(int session)
{
    unsigned random = static_cast<unsigned>(session) * 2654435761U + 1;
    while (!m_isStopping) {
        const int socket = connectTo(m_settings.ingress(session), StartTime);
        if (socket >= 0) {
            converse(session, socket, random);
            ::close(socket);
        }
        std::this_thread::sleep_for(ReconnectPause);
    }
}

void Clients::converse(int session, int socket, unsigned &random)
{
    LineReader reader(socket);
    std::string line;
    sendAll(socket, "START " + m_settings.database + " c" + std::to_string(session) + "\r\n");
    if (reader.next(line, StartTime) != LineReader::Result::Line || line.rfind("READY", 0) != 0)
        return;
    while (!m_isStopping) {
        random = random * 1103515245U + 12345U;
        const unsigned draw = random >> 16U;
        std::this_thread::sleep_for(m_settings.pause * (50 + static_cast<int>(draw % 100)) / 100);
        const bool isWrite = static_cast<int>(draw % 100) < m_settings.writePercent;
        const std::string request = "q" + std::to_string(++m_number);
        const std::string item = "k" + std::to_string(session);
        m_record.add("client " + std::to_string(session) + " sends " + request
                     + (isWrite ? " WRITE" : " READ"));
        if (!sendAll(socket,
                     "QUERY " + request
                             + (isWrite ? " WRITE " + item + ' ' + request : " READ " + item)
                             + "\r\n"))
            return;
        std::string result;
        const auto until = std::chrono::steady_clock::now() + m_settings.budget;
        while (result.empty() || line.rfind("READY", 0) != 0) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                    until - std::chrono::steady_clock::now());
            if (reader.next(line, left) != LineReader::Result::Line) {
                m_record.add("client " + std::to_string(session) + " has no answer to " + request);
                return;
            }
            if (line.rfind("DONE", 0) == 0 || line.rfind("ERR", 0) == 0)
                result = line;
        }
        m_record.add("client " + std::to_string(session) + " gets " + result + " for " + request);
        const bool isDone = result.rfind("DONE", 0) == 0;
        m_served += isDone ? 1 : 0;
        if (isWrite)
            note(request,
                 isDone                      ? Told::Acknowledged
                         : isPromise(result) ? Told::NothingKept
                                             : Told::Unknown);
    }
}

} // namespace rig
