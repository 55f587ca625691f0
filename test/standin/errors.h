#pragma once

#include "nutmegtide/backend/messages.h"
#include "nutmegtide/base/errors.h"

#include <string>
#include <utility>

namespace nutmegtide::standin {

// A refusal that a handler turns into an HTTP answer. Nothing was executed.
class RefusalError : public Error
{
public:
    RefusalError(int status, std::string type, const std::string &message, Term term = 0)
        : Error(message)
        , m_status(status)
        , m_type(std::move(type))
        , m_term(term)
    { }

    int status() const { return m_status; }
    BackendRefusal refusal() const { return {m_type, what(), m_term}; }

private:
    int m_status;
    std::string m_type;
    Term m_term; // the server's own; 0 where the state had no say
};

// A failure of the journal file or of the listener.
class StandinError : public Error
{
public:
    using Error::Error;
};

} // namespace nutmegtide::standin
