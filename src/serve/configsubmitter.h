#pragma once

#include "nutmegtide/events/recorder.h"
#include "serve/directory.h"
#include "serve/identity.h"
#include "serve/ledgermachine.h"
#include "serve/peerclient.h"

namespace nutmegtide {

// A decision, and whom to ask instead of a process that can't decide.
struct SubmitAnswer
{
    ConfigDecision decision;
    std::optional<Endpoint> leader; // where known
};

// Brings an operator's submission to the control leader, from any VM. Until a decision comes
// it is sent again, to other control VMs too: the change id makes that safe.
class ConfigSubmitter
{
public:
    ConfigSubmitter(const Identity &identity, const Directory &directory, PeerClients &peers,
                    Recorder &recorder, const LedgerMachine &ledger);

    // From now on this process decides where it leads; before the first submission.
    void attach(ReplicatedLog &log) { m_log = &log; }

    // Decides as the leader, or answers NotLeader.
    SubmitAnswer decideHere(const ConfigSubmission &submission);
    // Returns a decision, or Unknown if none has come within 8 s.
    ConfigDecision submit(const ConfigSubmission &submission);

private:
    SubmitAnswer propose(const ConfigSubmission &submission);
    std::optional<SubmitAnswer> askPeer(const Endpoint &peer, const ConfigSubmission &submission);
    std::vector<Endpoint> controlPeers() const;
    void record(const ConfigSubmission &submission, const ConfigDecision &decision);

    const Identity &m_identity;
    const Directory &m_directory;
    PeerClients &m_peers;
    Recorder &m_recorder;
    const LedgerMachine &m_ledger;
    ReplicatedLog *m_log = nullptr; // none where this VM doesn't run control
};

} // namespace nutmegtide
