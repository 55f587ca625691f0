#include "soak/soakcallers.h"

namespace nutmegtide::test {

namespace {

constexpr std::chrono::milliseconds RetryPause {30};
const std::set<std::string> Promises {"BUSY",     "ABORTED",   "LAGGING",
                                      "READONLY", "MISROUTED", "TOOMANY"};

} // namespace

SoakCaller::SoakCaller(int number, std::uint64_t seed, DatabaseGroup &group, Choose choose)
    : m_number(number)
    , m_group(group)
    , m_choose(std::move(choose))
    , m_generator(seed)
    , m_thread([this] { run(); })
{ }

SoakCaller::~SoakCaller()
{
    stop();
    join();
}

void SoakCaller::join()
{
    if (m_thread.joinable())
        m_thread.join();
}

void SoakCaller::run()
{
    int served = -1;
    while (!m_isStopping) {
        const bool isFailing = m_served == served;
        served = m_served;
        if (isFailing)
            std::this_thread::sleep_for(RetryPause);
        if (!m_client && !connect())
            continue;
        switch (m_generator() % 4) {
        case 0:
            write();
            break;
        case 1:
            transaction();
            break;
        default:
            read();
            break;
        }
    }
}

// A new session reads its own writes only, so the others' count for nothing there.
bool SoakCaller::connect()
{
    try {
        m_client = std::make_unique<LineClient>(m_choose());
    } catch (const SocketError &) {
        return false;
    }
    m_leastValue = 0;
    m_group.note("caller " + std::to_string(m_number) + " connects");
    if (m_client->ask("START casks soak").rfind("READY I", 0) == 0)
        return true;
    m_client.reset();
    return false;
}

SoakCaller::Answer SoakCaller::ask(const std::string &statement, std::string &request)
{
    std::string lines;
    const Answer answer = exchange(statement, request, lines);
    m_group.note("caller " + std::to_string(m_number) + " \"" + request + ' ' + statement
                 + "\": " + lines);
    return answer;
}

SoakCaller::Answer SoakCaller::exchange(const std::string &statement, std::string &request,
                                        std::string &lines)
{
    request = std::to_string(m_number) + '-' + std::to_string(++m_requests);
    m_group.expect(request);
    m_client->send("QUERY " + request + ' ' + statement);
    Answer answer;
    bool isAnswered = false;
    while (true) {
        const std::string line = m_client->ask("");
        lines += line + ';';
        if (line.rfind("ROW ", 0) == 0) {
            answer.row = line.substr(4);
        } else if (line.rfind("DONE ", 0) == 0) {
            isAnswered = true;
            answer.outcome = Outcome::Done;
            const bool isForwarded = statement != "BEGIN" && statement != "ROLLBACK";
            if (isForwarded && line != "DONE proof." + request)
                m_violations.push_back("another statement's proof for " + request + ": " + line);
        } else if (line.rfind("ERR ", 0) == 0) {
            isAnswered = true;
            const std::string code = line.substr(4, line.find(' ', 4) - 4);
            answer.outcome = Promises.count(code) != 0 ? Outcome::Refused : Outcome::Unknown;
        } else {
            if (line.rfind("READY", 0) != 0 || !isAnswered) {
                m_client.reset();
                return {};
            }
            // After a failed transaction the caller starts a new session, as clients here do.
            if (line.rfind("READY E", 0) == 0)
                m_client.reset();
            return answer;
        }
    }
}

void SoakCaller::settle(const std::vector<std::string> &requests, Outcome outcome, int value)
{
    if (outcome == Outcome::Done) {
        m_acknowledged.insert(requests.begin(), requests.end());
        m_leastValue = value;
        ++m_served;
    }
    if (outcome == Outcome::Refused)
        m_promisedNotRun.insert(requests.begin(), requests.end());
}

void SoakCaller::write()
{
    std::string request;
    const int value = ++m_value;
    const Answer answer = ask("WRITE k" + std::to_string(m_number) + ' ' + std::to_string(value),
                              request);
    settle({request}, answer.outcome, value);
}

void SoakCaller::read()
{
    std::string request;
    const int least = m_leastValue;
    const Answer answer = ask("READ k" + std::to_string(m_number), request);
    if (answer.outcome != Outcome::Done)
        return;
    ++m_served;
    checkRead(answer.row, least);
}

void SoakCaller::checkRead(const std::string &row, int least)
{
    if (row.empty() || std::stoi(row) < least)
        m_violations.push_back("caller " + std::to_string(m_number) + " read \"" + row
                               + "\", expected " + std::to_string(least) + " or later");
}

void SoakCaller::transaction()
{
    std::string request;
    std::vector<std::string> writes;
    if (ask("BEGIN", request).outcome != Outcome::Done || !m_client)
        return;
    int value = m_leastValue;
    for (int statement = 0; statement < 3; ++statement) {
        const bool isRead = m_generator() % 2 == 0;
        const std::string key = " k" + std::to_string(m_number);
        if (!isRead)
            value = ++m_value;
        const Answer answer = ask(isRead ? "READ" + key
                                         : "WRITE" + key + ' ' + std::to_string(value),
                                  request);
        if (!isRead)
            writes.push_back(request);
        if (answer.outcome != Outcome::Done || !m_client) {
            // No commit was sent, so nothing of it may be kept.
            m_promisedNotRun.insert(writes.begin(), writes.end());
            m_client.reset();
            return;
        }
        if (isRead)
            checkRead(answer.row, value);
    }
    const Outcome outcome = ask("COMMIT", request).outcome;
    if (!writes.empty())
        settle(writes, outcome, value);
}

} // namespace nutmegtide::test
