#include "serve/exchange.h"

#include <algorithm>
#include <array>

namespace nutmegtide {

namespace {

struct RefusalRow
{
    std::string_view type;
    StatementFailure failure;
    std::chrono::milliseconds retryAfter;
};

constexpr std::array<RefusalRow, 9> RefusalRows = {{
        {"stale_term", StatementFailure::StaleTerm, RetryAfterNoPrimary},
        {"not_primary", StatementFailure::NoPrimary, RetryAfterNoPrimary},
        {"key_reused", StatementFailure::KeyReused, 0ms},
        {"rejected", StatementFailure::StatementRejected, 0ms},
        {"no_transaction", StatementFailure::TransactionLost, 0ms},
        {"busy", StatementFailure::Overloaded, RetryAfterBusy},
        {"too_many_connections", StatementFailure::Overloaded, RetryAfterBusy},
        {"leaving", StatementFailure::NoPrimary, RetryAfterNoPrimary},
        {"joining", StatementFailure::NoPrimary, RetryAfterNoPrimary},
}};

} // namespace

std::chrono::milliseconds timeLeft(TimePoint deadline)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
    return std::max(0ms, left);
}

ExecuteRequest makeExecuteRequest(const Statement &statement, Term term)
{
    ExecuteRequest request;
    request.term = term;
    request.requestId = statement.id;
    request.caller = statement.caller;
    request.access = statement.access;
    if (!statement.transaction.isEmpty())
        request.transaction = statement.transaction;
    request.statement = statement.text;
    request.parameters = statement.parameters;
    return request;
}

ExecuteReply executeInTerm(HomeGroup &group, BackendConnection &connection,
                           const Statement &statement, Term term)
{
    return connection.execute(makeExecuteRequest(statement, term), timeLeft(statement.deadline),
                              [&group, term] { return group.term() > term; });
}

StatementResult makeResult(const Statement &statement, const ExecuteReply &reply,
                           const ServerId &server)
{
    StatementResult result;
    result.id = statement.id;
    result.result = reply.result;
    result.position = reply.position;
    result.server = server;
    result.role = reply.role;
    result.isReplay = reply.isReplay;
    result.transaction = statement.transaction;
    return result;
}

StatementError errorOfRefusal(HomeGroup &group, const ServerId &server,
                              const RefusedByServer &refused)
{
    const BackendRefusal &refusal = refused.refusal();
    group.observeTerm(server, refusal.term);
    for (const RefusalRow &row : RefusalRows) {
        if (row.type == refusal.type)
            return {row.failure, Ran::No, refused.what(), row.retryAfter};
    }
    return {StatementFailure::StatementRejected, Ran::Unknown, refused.what()};
}

LogPosition positionToConfirm(const ExecuteReply &reply)
{
    if (reply.position.term == reply.term)
        return reply.position;
    return {reply.term, reply.position.index + 1};
}

void confirmWrite(HomeGroup &group, const ExecuteReply &reply, TimePoint deadline)
{
    if (group.waitForMajority(positionToConfirm(reply), deadline))
        return;
    throw StatementError(StatementFailure::OutcomeUnknown, Ran::Unknown,
                         "no majority confirmed the write in its term", RetryAfterNoPrimary);
}

} // namespace nutmegtide
