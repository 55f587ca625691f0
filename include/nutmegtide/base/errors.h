#pragma once

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace nutmegtide {

// The root of every failure of the project. Modules derive a type for each
// failure that a caller of theirs may want to tell from the others.
class Error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// Text that is not a numeric address with a port.
class EndpointError : public Error
{
public:
    using Error::Error;
};

// A listener that could not be opened.
class ListenError : public Error
{
public:
    using Error::Error;
};

// A message of another process or of a backend server that doesn't have the agreed form.
class MessageError : public Error
{
public:
    using Error::Error;
};

// Whether a refused or failed statement was executed.
enum class Ran {
    No, // proved: never sent, or refused before execution
    Yes,
    Unknown,
};

std::string_view toString(Ran ran);

// Why a statement got no result. The names on the wire and the HTTP status of
// each stand in one table in errors.cpp.
enum class StatementFailure {
    BadRequest,
    BadToken,
    UnknownDatabase,
    UnknownTransaction,
    KeyReused, // an idempotency key came again with other content
    TooLarge,
    Overloaded,
    NoPrimary,
    NoConnection,
    DeadlinePassed, // given up on before it was sent
    Draining,
    StaleTerm,
    TransactionLost, // its owner or its connection is gone; rolled back
    StatementRejected, // the backend server ran it and reports an error of its own
    NoAgedReplica,
    OutcomeUnknown,
};

// Returns the name that callers see in the "type" of an error.
std::string_view toString(StatementFailure failure);

// Reads the name that toString() writes; nothing for any other text.
std::optional<StatementFailure> statementFailureFromString(std::string_view text);

// Returns the status of the HTTP answer for a failure.
int httpStatus(StatementFailure failure);

// A statement that got no result. It always says whether the statement ran and,
// where asking again makes sense, when.
class StatementError : public Error
{
public:
    StatementError(StatementFailure failure, Ran ran, const std::string &message,
                   std::chrono::milliseconds retryAfter = std::chrono::milliseconds::zero())
        : Error(message)
        , m_failure(failure)
        , m_ran(ran)
        , m_retryAfter(retryAfter)
    { }

    StatementFailure failure() const { return m_failure; }
    Ran ran() const { return m_ran; }
    // Zero where asking again doesn't help.
    std::chrono::milliseconds retryAfter() const { return m_retryAfter; }

    // The id of the event of the time line that is behind the failure, empty for none.
    const std::string &cause() const { return m_cause; }
    void setCause(std::string cause) { m_cause = std::move(cause); }

private:
    StatementFailure m_failure;
    Ran m_ran;
    std::chrono::milliseconds m_retryAfter;
    std::string m_cause;
};

} // namespace nutmegtide
