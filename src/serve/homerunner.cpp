#include "serve/homerunner.h"

#include "serve/exchange.h"

namespace nutmegtide {

namespace {

constexpr int MostReadAttempts = 3;
constexpr std::chrono::milliseconds WakeTime {100};
constexpr std::chrono::milliseconds ExpiryInterval {500};
// A transaction without a statement for so many default timeouts is rolled back.
constexpr int IdleTimeouts = 2;

StatementError noPrimary(const std::string &message)
{
    return {StatementFailure::NoPrimary, Ran::No, message, RetryAfterNoPrimary};
}

// The home can't use the server now; another home may.
StatementError noShare(const std::string &message)
{
    return {StatementFailure::NoConnection, Ran::No, message, RetryAfterNoPrimary};
}

StatementError outcomeUnknown(const std::string &message)
{
    return {StatementFailure::OutcomeUnknown, Ran::Unknown, message, RetryAfterNoPrimary};
}

// Says what an unsent statement failed for.
StatementError errorOfUnsent(HomeGroup &group, const ServerId &server, const LinkError &fault)
{
    if (fault.fault() == LinkFault::NoConnectionFree)
        return {StatementFailure::Overloaded, Ran::No, fault.what(), RetryAfterBusy};
    group.observeRefusal(server);
    return noPrimary(fault.what());
}

} // namespace

HomeRunner::HomeRunner(HomeGroups &groups, Transactions &transactions,
                       const SettingsSource &settings, FailureDomain ownDomain)
    : m_groups(groups)
    , m_transactions(transactions)
    , m_settings(settings)
    , m_ownDomain(std::move(ownDomain))
    , m_admissions(settings)
    , m_retries(settings)
    , m_generator(std::random_device()())
    , m_expiry([this](const std::stop_token &stop) { expireTransactions(stop); })
{ }

void HomeRunner::expireTransactions(const std::stop_token &stop)
{
    std::unique_lock lock(m_expiryMutex);
    while (!m_expiryWanted.wait_for(lock, stop, ExpiryInterval,
                                    [&stop] { return stop.stop_requested(); })) {
        m_transactions.expire(IdleTimeouts * m_settings.current()->limits.defaultTimeout);
    }
}

StatementResult HomeRunner::run(const Statement &statement)
{
    m_transactions.refuseOfFormerRun(statement);
    HomeGroup &group = groupOf(statement.database);
    m_retries.noteFresh();
    if (timeLeft(statement.deadline) <= 0ms)
        throw StatementError(StatementFailure::DeadlinePassed, Ran::No, "the timeout is over");
    // An open transaction keeps its connection until its end.
    if (statement.step != TransactionStep::None && statement.step != TransactionStep::Begin)
        return m_transactions.run(group, statement);
    if (!group.hasAnyShare())
        throw noShare("this home has no share of the group's connections");
    if (statement.step == TransactionStep::Begin)
        return begin(group, statement);
    return statement.access == Access::Write ? write(group, statement) : read(group, statement);
}

HomeGroup &HomeRunner::groupOf(const DatabaseName &database) const
{
    HomeGroup *group = m_groups.find(database);
    if (group && group->isKnown())
        return *group;
    throw StatementError(StatementFailure::UnknownDatabase, Ran::No,
                         "no backend server of " + database.text() + " has announced itself");
}

StatementResult HomeRunner::begin(HomeGroup &group, const Statement &statement)
{
    const ServerId server = confirmedPrimary(group, statement);
    Admission::Pass pass = m_admissions.acquire(group, statement, server);
    try {
        StatementResult result = m_transactions.begin(group, statement, server);
        pass.setEnd(AdmissionEnd::Answered);
        return result;
    } catch (const StatementError &error) {
        if (error.failure() == StatementFailure::Overloaded)
            pass.setEnd(AdmissionEnd::Busy);
        throw;
    }
}

ExecuteReply HomeRunner::execute(HomeGroup &group, const Statement &statement,
                                 const ServerId &server)
{
    Admission::Pass pass = m_admissions.acquire(group, statement, server);
    while (true) {
        try {
            const auto wait = std::min(BorrowWait, timeLeft(statement.deadline));
            BackendPool::Lease connection = group.borrow(server, wait);
            const TimePoint sentAt = Clock::now();
            const ExecuteReply reply = executeInTerm(group, *connection, statement, group.term());
            pass.setEnd(AdmissionEnd::Answered);
            group.observeAnswer(server, reply, sentAt);
            return reply;
        } catch (const RefusedByServer &refused) {
            if (refused.refusal().type != "busy")
                throw;
            pass.setEnd(AdmissionEnd::Busy);
            if (!m_retries.waitForRetry(statement.deadline))
                throw;
        }
        pass.resend();
        pass.setEnd(AdmissionEnd::Failed);
    }
}

RequestRecord HomeRunner::find(const DatabaseName &database, const CallerId &caller,
                               const RequestId &id)
{
    HomeGroup &group = groupOf(database);
    Statement question;
    question.database = database;
    question.deadline = Clock::now() + m_settings.current()->limits.defaultTimeout;
    RequestRecord record;
    try {
        const ServerId server = confirmedPrimary(group, question);
        const Term term = group.term();
        BackendPool::Lease connection = group.borrow(server, BorrowWait);
        const RequestOutcome fate = connection->requestFate(caller, id, timeLeft(question.deadline));
        // A primary that was replaced before the answer knows nothing of what ran since.
        if (!group.confirmLeadershipSince(term, Clock::now(), timeLeft(question.deadline)))
            return record;
        if (!fate.ran) {
            record.ran = Ran::No;
            return record;
        }
        ExecuteReply reply;
        reply.term = term;
        reply.position = fate.position;
        confirmWrite(group, reply, question.deadline);
        record.ran = Ran::Yes;
        record.position = fate.position;
        record.result = fate.result;
    } catch (const Error &) {
        record.ran = Ran::Unknown;
    }
    return record;
}

ServerId HomeRunner::confirmedPrimary(HomeGroup &group, const Statement &statement)
{
    const std::chrono::milliseconds detection = m_settings.current()->failover.detectionTime;
    if (!group.confirmLeadership(std::min(detection, timeLeft(statement.deadline))))
        throw noPrimary("no majority confirms a primary");
    const auto primary = group.primary();
    if (!primary)
        throw noPrimary("the group has no primary");
    if (!group.hasShare(*primary))
        throw noShare("this home has no share of the connections of " + primary->text());
    return *primary;
}

StatementResult HomeRunner::write(HomeGroup &group, const Statement &statement)
{
    ServerId server = confirmedPrimary(group, statement);
    const auto ackTimeout = m_settings.current()->failover.ackTimeout;
    ExecuteReply reply;
    try {
        reply = execute(group, statement, server);
    } catch (const RefusedByServer &refused) {
        throw errorOfRefusal(group, server, refused);
    } catch (const LinkError &fault) {
        if (fault.isUnsent())
            throw errorOfUnsent(group, server, fault);
        if (fault.isRefusing())
            group.observeRefusal(server);
        reply = resend(group, statement, server);
    }
    confirmWrite(group, reply, std::min(statement.deadline, Clock::now() + ackTimeout));
    return makeResult(statement, reply, server);
}

ExecuteReply HomeRunner::resend(HomeGroup &group, const Statement &statement, ServerId &server)
{
    if (!m_retries.takeRetry())
        throw outcomeUnknown("the answer was lost, and the retry budget is used up");
    try {
        server = confirmedPrimary(group, statement);
        return execute(group, statement, server);
    } catch (const Error &fault) {
        throw outcomeUnknown(std::string("the answer was lost, and asking again failed: ")
                             + fault.what());
    }
}

ReadDecision HomeRunner::route(HomeGroup &group, const Statement &statement)
{
    const auto settings = m_settings.current();
    const ReadRouter router(std::make_unique<BoundedWait>(settings->reads.replicaWait),
                            RetryAfterNoPrimary);
    ReadNeed need;
    need.token = statement.seen;
    need.hasUnknownWrite = statement.unknownWrite.has_value();
    need.maxAge = statement.maxAge;
    need.failureDomain = m_ownDomain;
    need.deadline = statement.deadline;
    const std::lock_guard lock(m_generatorMutex);
    return router.decide(group.snapshot(), need, Clock::now(), m_generator);
}

StatementResult HomeRunner::read(HomeGroup &group, const Statement &statement)
{
    group.wakeIfIdle(std::min(WakeTime, timeLeft(statement.deadline)));
    for (int attempt = 0; attempt < MostReadAttempts && statement.maxAge; ++attempt) {
        const ReadDecision decision = route(group, statement);
        std::optional<ServerId> replica;
        if (const auto *serve = std::get_if<ServeBy>(&decision))
            replica = serve->server;
        if (const auto *wait = std::get_if<WaitFor>(&decision)) {
            replica = wait->server;
            group.waitForApplied(wait->server, *statement.seen, wait->upTo);
        }
        if (!replica)
            break;
        if (auto result = readReplica(group, statement, *replica))
            return *result;
        if (!m_retries.takeRetry()) {
            throw StatementError(StatementFailure::Overloaded, Ran::No,
                                 "no replica could serve it, and the retry budget is used up",
                                 RetryAfterBusy);
        }
    }
    return readPrimary(group, statement, confirmedPrimary(group, statement));
}

std::optional<StatementResult> HomeRunner::readReplica(HomeGroup &group, const Statement &statement,
                                                       const ServerId &server)
{
    try {
        const ExecuteReply reply = execute(group, statement, server);
        const auto age = group.provedAge(reply.position);
        if (!age || *age > *statement.maxAge || !isTokenSatisfied(reply.position, statement.seen))
            return std::nullopt;
        StatementResult result = makeResult(statement, reply, server);
        result.age = std::chrono::ceil<std::chrono::milliseconds>(*age);
        return result;
    } catch (const RefusedByServer &refused) {
        const StatementError error = errorOfRefusal(group, server, refused);
        if (error.failure() == StatementFailure::StatementRejected)
            throw error;
    } catch (const StatementError &) {
        // Its queue is full, and another server may have room.
        return std::nullopt;
    } catch (const LinkError &fault) {
        if (fault.isRefusing())
            group.observeRefusal(server);
    }
    return std::nullopt;
}

StatementResult HomeRunner::readPrimary(HomeGroup &group, const Statement &statement,
                                        const ServerId &server)
{
    try {
        const bool isSettled = settleUnknownWrite(group, statement, server);
        const ExecuteReply reply = execute(group, statement, server);
        if (!isTokenSatisfied(reply.position, statement.seen))
            throw noPrimary("the primary is behind what the session has seen");
        StatementResult result = makeResult(statement, reply, server);
        result.settledUnknownWrite = isSettled;
        return result;
    } catch (const RefusedByServer &refused) {
        throw errorOfRefusal(group, server, refused);
    } catch (const LinkError &fault) {
        if (fault.isUnsent())
            throw errorOfUnsent(group, server, fault);
        if (fault.isRefusing())
            group.observeRefusal(server);
        // A read changes nothing, so a lost answer leaves nothing unknown behind.
        throw noPrimary(fault.what());
    }
}

bool HomeRunner::settleUnknownWrite(HomeGroup &group, const Statement &statement,
                                    const ServerId &server)
{
    if (!statement.unknownWrite)
        return false;
    BackendPool::Lease connection = group.borrow(server, BorrowWait);
    const RequestOutcome fate = connection->requestFate(statement.caller, *statement.unknownWrite,
                                                        timeLeft(statement.deadline));
    // A request that has not run may still be on its way, so the mark stays.
    return fate.ran;
}

} // namespace nutmegtide
