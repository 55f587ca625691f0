#pragma once

#include "nutmegtide/control/configledger.h"

#include <functional>
#include <mutex>

namespace nutmegtide {

// The ledger of a control VM, shared by the control log, which applies entries, and by the
// threads that answer submissions. Thread-safe.
class LedgerMachine : public StateMachine
{
public:
    // Called after each change, without the lock held.
    using OnChange = std::function<void()>;

    explicit LedgerMachine(OnChange onChange,
                           std::size_t remembered = ConfigLedger::DefaultMaxDecisions,
                           const AcceptanceRule &rule = compareAndSwapRule())
        : m_onChange(std::move(onChange))
        , m_ledger(remembered, rule)
    { }

    void apply(std::uint64_t index, const std::string &payload) override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_ledger.apply(index, payload);
        }
        m_onChange();
    }
    std::string snapshot() const override
    {
        const std::lock_guard lock(m_mutex);
        return m_ledger.snapshot();
    }
    void restore(const std::string &snapshot) override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_ledger.restore(snapshot);
        }
        m_onChange();
    }

    std::optional<ConfigDecision> find(const ConfigSubmission &submission) const
    {
        const std::lock_guard lock(m_mutex);
        return m_ledger.find(submission);
    }
    ConfigRevision latest() const
    {
        const std::lock_guard lock(m_mutex);
        return m_ledger.latest();
    }
    Revision revision() const
    {
        const std::lock_guard lock(m_mutex);
        return m_ledger.latest().revision;
    }

private:
    const OnChange m_onChange;
    mutable std::mutex m_mutex;
    ConfigLedger m_ledger;
};

} // namespace nutmegtide
