#include "serve/entryrunner.h"

#include "serve/announceapi.h"
#include "serve/exchange.h"
#include "serve/wireconvert.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr std::size_t MostHomesTried = 3;
constexpr auto PeerAnswerTime = 200ms; // beyond the statement's own deadline

// These say something of one home proxy, not of the statement.
bool isWorthAnotherHome(const StatementError &error)
{
    switch (error.failure()) {
    case StatementFailure::NoPrimary:
    case StatementFailure::NoConnection:
    case StatementFailure::StaleTerm:
    case StatementFailure::UnknownDatabase:
    case StatementFailure::Draining:
        return error.ran() == Ran::No;
    default:
        return false;
    }
}

// A home that has no share of the connections refuses before it does any work. A begin
// fails in the same way once its connection broke.
bool isRefusedForShare(const StatementError &error, const Statement &statement)
{
    return error.failure() == StatementFailure::NoConnection && error.ran() == Ran::No
            && statement.step != TransactionStep::Begin;
}

// Once the statement may have run at one home, a refusal by another proves nothing.
StatementError afterLostAnswer(const StatementError &error)
{
    if (error.ran() != Ran::No)
        return error;
    return {StatementFailure::OutcomeUnknown, Ran::Unknown,
            std::string("an earlier answer was lost; then: ") + error.what(), RetryAfterNoPrimary};
}

} // namespace

EntryRunner::EntryRunner(const Identity &identity, const Directory &directory,
                         const SettingsSource &settings, PeerClients &peers, StatementRunner &home,
                         RequestFates &homeFates)
    : m_identity(identity)
    , m_directory(directory)
    , m_settings(settings)
    , m_peers(peers)
    , m_home(home)
    , m_homeFates(homeFates)
    , m_retries(settings)
{ }

StatementResult EntryRunner::run(const Statement &statement)
{
    if (statement.step != TransactionStep::None && statement.step != TransactionStep::Begin) {
        const auto owner = ownerOf(statement.transaction);
        if (!owner) {
            throw StatementError(StatementFailure::UnknownTransaction, Ran::No,
                                 "not a transaction id: " + statement.transaction.text());
        }
        return runAtOwner(statement, *owner);
    }
    return runAtHome(statement);
}

StatementResult EntryRunner::runAtHome(const Statement &statement)
{
    m_retries.noteFresh();
    StatementError error(StatementFailure::NoConnection, Ran::No, "no home proxy can be reached",
                         RetryAfterNoPrimary);
    bool isMaybeRun = false;
    std::size_t tried = 0;
    Reach reach = Reach::Unsent;
    for (const VmRecord &home : homesByDistance(statement.database)) {
        // A refusal before any work costs next to nothing and isn't a retry.
        const bool isRetry = reach == Reach::Sent;
        if (tried == MostHomesTried || (isRetry && !m_retries.takeRetry()))
            break;
        try {
            return runAt(home, statement, reach);
        } catch (const StatementError &fault) {
            error = fault;
            isMaybeRun = isMaybeRun || fault.ran() == Ran::Unknown;
            if (!isWorthAnotherHome(fault) && fault.failure() != StatementFailure::NoConnection)
                break;
        }
        // Any home may be the one that holds a share.
        if (reach != Reach::Refused)
            ++tried;
        if (timeLeft(statement.deadline) <= 0ms)
            break;
    }
    throw isMaybeRun && statement.access == Access::Write ? afterLostAnswer(error) : error;
}

std::vector<VmRecord> EntryRunner::homesByDistance(const DatabaseName &database) const
{
    const PlacementRule rule = placementRule(*m_settings.current(), database);
    std::vector<VmRecord> homes;
    for (const VmName &vm : m_directory.homesOf(database, rule)) {
        if (const auto record = m_directory.find(vm))
            homes.push_back(*record);
    }
    std::stable_sort(homes.begin(), homes.end(), [this](const auto &left, const auto &right) {
        const auto distance = [this](const VmRecord &record) {
            if (record.vm == m_identity.vm)
                return 0;
            return record.failureDomain == m_identity.failureDomain ? 1 : 2;
        };
        return distance(left) < distance(right);
    });
    return homes;
}

StatementResult EntryRunner::runAtOwner(const Statement &statement, const TransactionOwner &owner)
{
    const auto record = m_directory.find(owner.vm);
    const bool isSelf = owner.vm == m_identity.vm;
    const Incarnation known = isSelf ? m_identity.incarnation : record ? record->incarnation : 0;
    if (known == owner.incarnation && isSelf)
        return m_home.run(statement);
    if (known == owner.incarnation) {
        Reach reach = Reach::Unsent;
        try {
            return runAt(*record, statement, reach);
        } catch (const StatementError &error) {
            if (reach != Reach::Unsent || error.failure() != StatementFailure::NoConnection)
                throw;
        }
    }
    throw lostWithOwner(statement, "the transaction's owner " + owner.vm.text() + " is gone");
}

StatementResult EntryRunner::runAt(const VmRecord &vm, const Statement &statement, Reach &reach)
{
    reach = Reach::Sent;
    if (vm.vm == m_identity.vm)
        return runHere(statement, reach);
    const bool isSafeToResend = statement.access == Access::Read
            && statement.step != TransactionStep::Commit;
    try {
        const auto timeout = timeLeft(statement.deadline) + PeerAnswerTime;
        const wire::StatementReply reply =
                m_peers.call(vm.peers, timeout, [&](wire::PeerClient &client) {
                    wire::StatementReply answer;
                    client.execute(answer, m_peers.header(), toWire(statement, Clock::now()));
                    return answer;
                });
        if (reply.__isset.answer)
            return fromWire(reply.answer);
        const StatementError fault = fromWire(reply.fault);
        reach = isRefusedForShare(fault, statement) ? Reach::Refused : Reach::Sent;
        throw fault;
    } catch (const wire::PeerRefusal &refusal) {
        throw StatementError(StatementFailure::NoConnection, Ran::No, refusal.message,
                             RetryAfterNoPrimary);
    } catch (const MessageError &fault) {
        throw StatementError(StatementFailure::OutcomeUnknown, Ran::Unknown, fault.what());
    } catch (const PeerError &fault) {
        reach = fault.wasSent() ? Reach::Sent : Reach::Unsent;
        const Ran ran = fault.wasSent() && !isSafeToResend ? Ran::Unknown : Ran::No;
        throw StatementError(StatementFailure::NoConnection, ran, fault.what(), RetryAfterNoPrimary);
    }
}

StatementResult EntryRunner::runHere(const Statement &statement, Reach &reach)
{
    try {
        return m_home.run(statement);
    } catch (const StatementError &fault) {
        reach = isRefusedForShare(fault, statement) ? Reach::Refused : Reach::Sent;
        throw;
    }
}

RequestRecord EntryRunner::find(const DatabaseName &database, const CallerId &caller,
                                const RequestId &id)
{
    RequestRecord record;
    bool isAnyAsked = false;
    for (const VmRecord &home : homesByDistance(database)) {
        try {
            record = findAt(home, database, caller, id);
        } catch (const Error &) {
            continue;
        } catch (const wire::PeerRefusal &) {
            continue;
        }
        isAnyAsked = true;
        if (record.ran != Ran::Unknown)
            break;
    }
    if (isAnyAsked)
        return record;
    throw StatementError(StatementFailure::NoConnection, Ran::Unknown,
                         "no home proxy of " + database.text() + " can say", RetryAfterNoPrimary);
}

RequestRecord EntryRunner::findAt(const VmRecord &vm, const DatabaseName &database,
                                  const CallerId &caller, const RequestId &id)
{
    if (vm.vm == m_identity.vm)
        return m_homeFates.find(database, caller, id);
    const auto timeout = m_settings.current()->limits.defaultTimeout + PeerAnswerTime;
    const auto reply = m_peers.call(vm.peers, timeout, [&](wire::PeerClient &client) {
        wire::RequestFateReply answer;
        client.requestFate(answer, m_peers.header(), database.text(), caller.text(), id.text());
        return answer;
    });
    return fromWire(reply);
}

} // namespace nutmegtide
