#pragma once

#include "nutmegtide/statement/admissionqueue.h"
#include "nutmegtide/statement/retrybudget.h"
#include "nutmegtide/statement/statement.h"
#include "serve/homegroup.h"
#include "serve/settingssource.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

namespace nutmegtide {

// Blocks a statement's thread until an AdmissionQueue starts or refuses it.
//
//   Admission::Pass pass = admission.acquire(statement);
//   reply = connection->execute(...);
//   pass.setEnd(AdmissionEnd::Answered);
class Admission
{
public:
    // One started statement; the end of its life ends the statement's turn.
    class Pass
    {
    public:
        Pass(Admission &admission, AdmissionTicket ticket)
            : m_admission(&admission)
            , m_ticket(ticket)
        { }
        Pass(Pass &&other) noexcept;
        Pass &operator=(Pass &&) = delete;
        ~Pass();

        void setEnd(AdmissionEnd end) { m_end = end; }
        // Waits, after a busy refusal, until the statement is to be sent again. Throws
        // StatementError with Overloaded, and the pass has ended then.
        void resend();

    private:
        Admission *m_admission;
        AdmissionTicket m_ticket;
        AdmissionEnd m_end = AdmissionEnd::Failed;
    };

    void setBounds(const ServerCapacity &capacity, int queueLength);
    // Throws StatementError with Overloaded, which says when to come back.
    Pass acquire(const Statement &statement);

private:
    // These expect the mutex to be held.
    void take(const AdmissionActions &actions);
    void waitForChange(std::unique_lock<std::mutex> &lock);
    // Throws StatementError when the statement is refused.
    void waitForStart(AdmissionTicket ticket, std::unique_lock<std::mutex> &lock);
    void resend(AdmissionTicket ticket);
    void finish(AdmissionTicket ticket, AdmissionEnd end);

    std::mutex m_mutex;
    std::condition_variable m_decided;
    AdmissionQueue m_queue;
    std::map<AdmissionTicket, AdmissionAction> m_decisions; // not yet seen by their threads
    AdmissionTicket m_next = 1;
};

// The admission of every backend server that this process sends statements to.
class Admissions
{
public:
    explicit Admissions(const SettingsSource &settings)
        : m_settings(settings)
    { }

    // Throws StatementError.
    Admission::Pass acquire(const HomeGroup &group, const Statement &statement,
                            const ServerId &server);

private:
    using Key = std::pair<DatabaseName, ServerId>;

    const SettingsSource &m_settings;
    std::mutex m_mutex;
    std::map<Key, std::unique_ptr<Admission>> m_admissions;
};

// The retry budget of one process, shared by its threads.
class SharedRetryBudget
{
public:
    explicit SharedRetryBudget(const SettingsSource &settings);

    void noteFresh();
    bool takeRetry();
    // As takeRetry(), but waits a bounded time for fresh statements to allow it.
    bool waitForRetry(TimePoint deadline);

private:
    const SettingsSource &m_settings;
    std::mutex m_mutex;
    std::condition_variable m_refilled;
    RetryBudget m_budget;
};

} // namespace nutmegtide
