#include "process/support/changestream.h"

namespace nutmegtide::test {

namespace {

constexpr std::chrono::milliseconds PauseBetweenChanges {20};

} // namespace

ChangeStream::ChangeStream(const Endpoint &operators)
    : m_thread([this, operators] { run(operators); })
{ }

void ChangeStream::stop()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

std::string ChangeStream::fault() const
{
    const std::lock_guard lock(m_mutex);
    return m_fault;
}

std::string ChangeStream::changeId(std::uint64_t revision)
{
    return "change-" + std::to_string(revision);
}

void ChangeStream::run(const Endpoint &operators)
{
    HttpClient client(operators);
    for (std::uint64_t revision = 1; !m_isStopping && fault().empty(); ++revision) {
        while (!m_isStopping && !submit(client, revision))
            std::this_thread::sleep_for(PauseBetweenChanges);
        std::this_thread::sleep_for(PauseBetweenChanges);
    }
}

bool ChangeStream::submit(HttpClient &client, std::uint64_t revision)
{
    const Json change {{"change_id", changeId(revision)},
                       {"base_revision", revision - 1},
                       {"toml", "[limits]\nqueue_length = " + std::to_string(revision) + "\n"}};
    try {
        const HttpAnswer answer = client.post("/v1/config", change);
        const Json body = answer.json();
        const std::string outcome = body.value("outcome", "");
        if (outcome == "unknown")
            return false;
        if (outcome == "accepted" && body.value("revision", 0ULL) == revision) {
            m_accepted = revision;
            return true;
        }
        const std::lock_guard lock(m_mutex);
        m_fault = changeId(revision) + ": " + answer.body;
        return true;
    } catch (const HttpError &) {
        return false;
    }
}

} // namespace nutmegtide::test
