#include "nutmegtide/base/errors.h"

#include <algorithm>
#include <array>

namespace nutmegtide {

namespace {

struct FailureRow
{
    StatementFailure failure;
    std::string_view name;
    int httpStatus;
};

constexpr std::array<FailureRow, 16> FailureRows = {{
        {StatementFailure::BadRequest, "bad_request", 400},
        {StatementFailure::BadToken, "bad_token", 400},
        {StatementFailure::UnknownDatabase, "unknown_database", 404},
        {StatementFailure::UnknownTransaction, "unknown_transaction", 404},
        {StatementFailure::KeyReused, "key_reused", 409},
        {StatementFailure::TooLarge, "too_large", 413},
        {StatementFailure::Overloaded, "overloaded", 429},
        {StatementFailure::NoPrimary, "no_primary", 503},
        {StatementFailure::NoConnection, "no_connection", 503},
        {StatementFailure::DeadlinePassed, "deadline_passed", 503},
        {StatementFailure::Draining, "draining", 503},
        {StatementFailure::StaleTerm, "stale_term", 503},
        {StatementFailure::TransactionLost, "transaction_lost", 503},
        {StatementFailure::StatementRejected, "statement_rejected", 422},
        {StatementFailure::NoAgedReplica, "no_aged_replica", 503},
        {StatementFailure::OutcomeUnknown, "outcome_unknown", 504},
}};

const FailureRow &rowOf(StatementFailure failure)
{
    return *std::find_if(FailureRows.begin(), FailureRows.end(),
                         [failure](const FailureRow &row) { return row.failure == failure; });
}

} // namespace

std::string_view toString(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Yes:
        return "yes";
    case Ran::Unknown:
        break;
    }
    return "unknown";
}

std::string_view toString(StatementFailure failure)
{
    return rowOf(failure).name;
}

std::optional<StatementFailure> statementFailureFromString(std::string_view text)
{
    for (const FailureRow &row : FailureRows) {
        if (row.name == text)
            return row.failure;
    }
    return std::nullopt;
}

int httpStatus(StatementFailure failure)
{
    return rowOf(failure).httpStatus;
}

} // namespace nutmegtide
