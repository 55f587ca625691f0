#pragma once

#include "nutmegtide/statement/statement.h"
#include "serve/homegroup.h"

namespace nutmegtide {

// When a caller that was refused should ask again.
constexpr std::chrono::milliseconds RetryAfterNoPrimary {100};
constexpr std::chrono::milliseconds RetryAfterBusy {20};
// An admitted statement finds a connection at once, unless a transaction just took it.
constexpr std::chrono::milliseconds BorrowWait {20};

// Returns the time left before the deadline, 0 once it has passed.
std::chrono::milliseconds timeLeft(TimePoint deadline);

ExecuteRequest makeExecuteRequest(const Statement &statement, Term term);

// Sends a statement in a term and waits for the answer until the statement's deadline. The wait
// ends as soon as the group has a higher term, since the server that was asked is fenced by
// then: its answer can't be acknowledged any more. Throws LinkError or RefusedByServer.
ExecuteReply executeInTerm(HomeGroup &group, BackendConnection &connection,
                           const Statement &statement, Term term);
StatementResult makeResult(const Statement &statement, const ExecuteReply &reply,
                           const ServerId &server);

// Turns a backend server's refusal into the error that the caller gets, and
// notes in the group what the refusal tells of the server.
StatementError errorOfRefusal(HomeGroup &group, const ServerId &server,
                              const RefusedByServer &refused);

// Returns the position that a majority must hold before the write in the reply
// is acknowledged. A request that had run in an older term counts once a
// majority holds an entry of the present term after it.
LogPosition positionToConfirm(const ExecuteReply &reply);

// Waits for the majority. Throws StatementError with OutcomeUnknown without it.
void confirmWrite(HomeGroup &group, const ExecuteReply &reply, TimePoint deadline);

} // namespace nutmegtide
