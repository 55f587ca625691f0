#pragma once

#include "nutmegtide/control/replicatedlog.h"
#include "nutmegtide/power/powerplanner.h"

#include <mutex>

namespace nutmegtide {

// Thrown for a committed power entry that can't be parsed.
class PowerLedgerError : public Error
{
public:
    using Error::Error;
};

// Convert spare records to and from the payload of a control log entry. Decoding throws
// PowerLedgerError.
std::string encodeSpares(const std::vector<SpareRecord> &records);
std::vector<SpareRecord> decodeSpares(const std::string &payload);

// The state of all spare VMs as stored in the control log. A control leader records the state
// before it sends an order, so that the next leader repeats that order instead of making another
// one. Thread-safe.
class PowerLedger : public StateMachine
{
public:
    // apply() and restore() throw PowerLedgerError and then keep the present state.
    void apply(std::uint64_t index, const std::string &payload) override;
    std::string snapshot() const override;
    void restore(const std::string &snapshot) override;

    std::vector<SpareRecord> records() const;

private:
    mutable std::mutex m_mutex;
    std::vector<SpareRecord> m_records;
};

} // namespace nutmegtide
