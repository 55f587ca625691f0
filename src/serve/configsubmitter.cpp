#include "serve/configsubmitter.h"

#include "serve/configwire.h"

#include <thread>

namespace nutmegtide {

namespace {

constexpr auto ProposalTimeout = 2s;
constexpr auto PeerTimeout = 3s; // longer than the proposal that the peer makes
constexpr auto SubmitTimeout = 8s; // shorter than the command line's patience
constexpr auto RetryInterval = 100ms;

bool isDecided(const ConfigDecision &decision)
{
    return decision.outcome != ConfigOutcome::Unknown
            && decision.outcome != ConfigOutcome::NotLeader;
}

SubmitAnswer undecided(ConfigOutcome outcome, const std::string &message)
{
    return {{outcome, 0, {}, message}, std::nullopt};
}

} // namespace

ConfigSubmitter::ConfigSubmitter(const Identity &identity, const Directory &directory,
                                 PeerClients &peers, Recorder &recorder,
                                 const LedgerMachine &ledger)
    : m_identity(identity)
    , m_directory(directory)
    , m_peers(peers)
    , m_recorder(recorder)
    , m_ledger(ledger)
{ }

SubmitAnswer ConfigSubmitter::decideHere(const ConfigSubmission &submission)
{
    if (m_log == nullptr)
        return undecided(ConfigOutcome::NotLeader, "this VM doesn't run control");
    if (const auto known = m_ledger.find(submission))
        return {*known, std::nullopt};
    const std::string fault = validationError(submission);
    if (!fault.empty())
        return {{ConfigOutcome::Invalid, m_ledger.revision(), {}, fault}, std::nullopt};
    return propose(submission);
}

SubmitAnswer ConfigSubmitter::propose(const ConfigSubmission &submission)
{
    try {
        m_log->propose({CommandKind::Config, encode(submission)}, ProposalTimeout);
    } catch (const NotLeaderError &error) {
        SubmitAnswer answer = undecided(ConfigOutcome::NotLeader, error.what());
        if (const auto leader = m_directory.find(error.leader()))
            answer.leader = leader->peers;
        return answer;
    } catch (const ProposalError &error) {
        return undecided(ConfigOutcome::Unknown, error.what());
    }
    const auto decision = m_ledger.find(submission);
    if (!decision)
        return undecided(ConfigOutcome::Unknown, "the decision isn't remembered");
    record(submission, *decision);
    return {*decision, std::nullopt};
}

ConfigDecision ConfigSubmitter::submit(const ConfigSubmission &submission)
{
    const std::string fault = validationError(submission);
    if (!fault.empty())
        return {ConfigOutcome::Invalid, 0, {}, fault};
    SubmitAnswer answer = decideHere(submission);
    const TimePoint latest = Clock::now() + SubmitTimeout;
    for (std::size_t attempt = 0; !isDecided(answer.decision) && Clock::now() < latest; ++attempt) {
        std::vector<Endpoint> targets = controlPeers();
        if (answer.leader)
            targets = {*answer.leader};
        std::optional<SubmitAnswer> next;
        if (!targets.empty())
            next = askPeer(targets[attempt % targets.size()], submission);
        // A peer that is silent is no reason to keep its name for the leader's.
        answer = next ? *next : decideHere(submission);
        if (!isDecided(answer.decision))
            std::this_thread::sleep_for(RetryInterval);
    }
    return answer.decision;
}

std::optional<SubmitAnswer> ConfigSubmitter::askPeer(const Endpoint &peer,
                                                     const ConfigSubmission &submission)
{
    try {
        const auto reply = m_peers.call(peer, PeerTimeout, [&](wire::PeerClient &client) {
            wire::SubmitReply answer;
            client.submitConfig(answer, m_peers.header(), toWire(submission));
            return answer;
        });
        return fromWire(reply);
    } catch (const PeerError &) {
        return std::nullopt;
    } catch (const wire::PeerRefusal &) {
        return std::nullopt;
    }
}

std::vector<Endpoint> ConfigSubmitter::controlPeers() const
{
    std::vector<Endpoint> peers;
    for (const VmRecord &record : m_directory.all()) {
        if (record.isControl && record.vm != m_identity.vm)
            peers.push_back(record.peers);
    }
    return peers;
}

void ConfigSubmitter::record(const ConfigSubmission &submission, const ConfigDecision &decision)
{
    EventFields fields;
    fields.details["revision"] = std::to_string(decision.revision);
    fields.details["change_id"] = submission.changeId.text();
    fields.details["base_revision"] = std::to_string(submission.baseRevision);
    if (!submission.operatorName.empty())
        fields.details["operator"] = submission.operatorName;
    if (decision.outcome == ConfigOutcome::Accepted) {
        m_recorder.record(EventKind::ConfigAccepted, fields);
        return;
    }
    fields.details["winner"] = decision.winner.text();
    m_recorder.record(EventKind::ConfigConflict, fields);
}

} // namespace nutmegtide
