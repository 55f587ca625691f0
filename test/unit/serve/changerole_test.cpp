#include "serve/changerole.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace std::chrono_literals;

namespace {

const DatabaseName Database("casks");

// A log whose leader gets no answer to a proposal. The entry is committed at commit().
class SilentLog : public ReplicatedLog
{
public:
    bool isLeader() const override { return true; }
    VmName leader() const override { return VmName("a1"); }
    std::uint64_t propose(const Command &command, std::chrono::milliseconds /*timeout*/) override
    {
        const std::lock_guard lock(m_mutex);
        m_proposed.push_back(command.payload);
        throw ProposalUnknownError("no answer");
    }
    bool hasProposal() const
    {
        const std::lock_guard lock(m_mutex);
        return !m_proposed.empty();
    }
    void commit(StateMachine &ledger) const
    {
        const std::lock_guard lock(m_mutex);
        ledger.apply(1, m_proposed.front());
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_proposed;
};

wire::GroupReport reportOfPrimary()
{
    wire::ServerReport primary;
    primary.server = "s1";
    primary.address = "127.0.0.1:1";
    primary.term = 1;
    primary.isPrimary = true;
    primary.voters = {"s1", "s2", "s3"};
    wire::GroupReport report;
    report.database = Database.text();
    report.servers = {primary};
    return report;
}

long publications(const Recorder &recorder)
{
    const std::vector<Event> events = recorder.ring().page(0, 100).events;
    return std::count_if(events.begin(), events.end(), [](const Event &event) {
        return event.kind == EventKind::PrimaryPublished;
    });
}

// Polls for 30 s at most, since a verdict must not depend on how busy the machine is.
template <typename Condition>
bool comesTrue(const Condition &condition)
{
    for (int i = 0; i < 6'000 && !condition(); ++i)
        std::this_thread::sleep_for(5ms);
    return condition();
}

} // namespace

// Guards against a group that is in force without an event that says so: the leader got no answer
// to its proposal in time, and no later leader proposes a group that is recorded already.
TEST_CASE("an adoption that is committed after its proposal has timed out is recorded once")
{
    const Identity identity {FleetId("f"), VmName("a1"), FailureDomain("fd-a"), 1};
    const SettingsSource settings;
    const Directory directory;
    Recorder recorder({identity.vm, identity.failureDomain, identity.incarnation}, 100);
    SilentLog log;
    ChangeRole role(identity, settings, directory, recorder);
    role.start(log);
    role.report(headerOf(identity, recorder), {reportOfPrimary()});
    REQUIRE(comesTrue([&log] { return log.hasProposal(); }));
    CHECK(publications(recorder) == 0);
    log.commit(role.ledger());
    CHECK(comesTrue([&recorder] { return publications(recorder) > 0; }));
    log.commit(role.ledger()); // a repeated proposal
    role.report(headerOf(identity, recorder), {reportOfPrimary()});
    role.stop();
    CHECK(publications(recorder) == 1);
}
