#include "serve/wireconvert.h"

#include "nutmegtide/base/jsondepth.h"

namespace nutmegtide {

namespace {

constexpr auto LongestTimeout = std::chrono::hours(1);

std::chrono::milliseconds millisecondsLeft(TimePoint deadline, TimePoint now)
{
    return std::max(0ms, std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now));
}

Json parseJson(const std::string &text)
{
    if (isTooDeepJson(text))
        throw MessageError("a member nests over " + std::to_string(DeepestJson) + " levels");
    Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded())
        throw MessageError("a member of the message is not JSON");
    return json;
}

Ran ranFromString(const std::string &text)
{
    for (const Ran ran : {Ran::No, Ran::Yes, Ran::Unknown}) {
        if (toString(ran) == text)
            return ran;
    }
    throw MessageError("no such value of ran: " + text);
}

} // namespace

wire::Position toWire(LogPosition position)
{
    wire::Position result;
    result.term = static_cast<std::int64_t>(position.term);
    result.index = static_cast<std::int64_t>(position.index);
    return result;
}

LogPosition fromWire(const wire::Position &position)
{
    if (position.term < 0 || position.index < 0)
        throw MessageError("a log position is negative");
    return {static_cast<Term>(position.term), static_cast<std::uint64_t>(position.index)};
}

wire::StatementCall toWire(const Statement &statement, TimePoint now)
{
    wire::StatementCall call;
    call.database = statement.database.text();
    call.caller = statement.caller.text();
    call.session = statement.session.text();
    call.requestId = statement.id.text();
    call.isWrite = statement.access == Access::Write;
    call.isRepeatable = statement.isRepeatable;
    if (statement.maxAge)
        call.__set_maxAgeMilliseconds(statement.maxAge->count());
    call.timeoutMilliseconds = millisecondsLeft(statement.deadline, now).count();
    call.statement = statement.text;
    call.parameters = statement.parameters.dump();
    if (statement.seen)
        call.__set_token(toWire(*statement.seen));
    call.hasUnknownWrite = statement.unknownWrite.has_value();
    if (statement.unknownWrite)
        call.unknownWriteId = statement.unknownWrite->text();
    call.step = static_cast<wire::TransactionStep::type>(statement.step);
    call.transaction = statement.transaction.text();
    return call;
}

Statement fromWire(const wire::StatementCall &call, TimePoint now)
{
    const std::chrono::milliseconds timeout(call.timeoutMilliseconds);
    if (timeout < 0ms || timeout > LongestTimeout)
        throw MessageError("timeout out of range: " + std::to_string(timeout.count()) + " ms");
    Statement statement;
    statement.database = DatabaseName(call.database);
    statement.caller = CallerId(call.caller);
    statement.session = SessionId(call.session);
    statement.id = RequestId(call.requestId);
    statement.access = call.isWrite ? Access::Write : Access::Read;
    statement.isRepeatable = call.isRepeatable;
    if (call.__isset.maxAgeMilliseconds)
        statement.maxAge = std::chrono::milliseconds(call.maxAgeMilliseconds);
    statement.deadline = now + timeout;
    statement.text = call.statement;
    statement.parameters = parseJson(call.parameters);
    if (call.__isset.token)
        statement.seen = fromWire(call.token);
    if (call.hasUnknownWrite)
        statement.unknownWrite = RequestId(call.unknownWriteId);
    if (call.step < wire::TransactionStep::NONE || call.step > wire::TransactionStep::ROLLBACK)
        throw MessageError("no such transaction step");
    statement.step = static_cast<TransactionStep>(call.step);
    statement.transaction = TransactionId(call.transaction);
    return statement;
}

wire::StatementAnswer toWire(const StatementResult &result)
{
    wire::StatementAnswer answer;
    answer.requestId = result.id.text();
    answer.result = result.result.dump();
    answer.position = toWire(result.position);
    answer.server = result.server.text();
    answer.isPrimary = result.role == ServerRole::Primary;
    answer.ageMilliseconds = result.age.count();
    answer.isReplay = result.isReplay;
    answer.settledUnknownWrite = result.settledUnknownWrite;
    answer.transaction = result.transaction.text();
    return answer;
}

StatementResult fromWire(const wire::StatementAnswer &answer)
{
    StatementResult result;
    result.id = RequestId(answer.requestId);
    result.result = parseJson(answer.result);
    result.position = fromWire(answer.position);
    result.server = ServerId(answer.server);
    result.role = answer.isPrimary ? ServerRole::Primary : ServerRole::Replica;
    result.age = std::chrono::milliseconds(answer.ageMilliseconds);
    result.isReplay = answer.isReplay;
    result.settledUnknownWrite = answer.settledUnknownWrite;
    result.transaction = TransactionId(answer.transaction);
    return result;
}

wire::StatementFault toWire(const StatementError &error, const RequestId &id)
{
    wire::StatementFault fault;
    fault.type = toString(error.failure());
    fault.ran = toString(error.ran());
    fault.message = error.what();
    fault.retryAfterMilliseconds = error.retryAfter().count();
    fault.requestId = id.text();
    fault.cause = error.cause();
    return fault;
}

StatementError fromWire(const wire::StatementFault &fault)
{
    const auto failure = statementFailureFromString(fault.type);
    if (!failure)
        throw MessageError("no such failure: " + fault.type);
    StatementError error(*failure, ranFromString(fault.ran), fault.message,
                         std::chrono::milliseconds(fault.retryAfterMilliseconds));
    error.setCause(fault.cause);
    return error;
}

wire::RequestFateReply toWire(const RequestRecord &record)
{
    wire::RequestFateReply reply;
    reply.ran = record.ran == Ran::Yes;
    reply.isKnown = record.ran != Ran::Unknown;
    reply.position = toWire(record.position);
    reply.result = record.result.dump();
    return reply;
}

RequestRecord fromWire(const wire::RequestFateReply &reply)
{
    RequestRecord record;
    if (reply.isKnown)
        record.ran = reply.ran ? Ran::Yes : Ran::No;
    record.position = fromWire(reply.position);
    record.result = parseJson(reply.result);
    return record;
}

} // namespace nutmegtide
