#pragma once

#include "nutmegtide/control/replicatedlog.h"
#include "nutmegtide/power/powerplanner.h"

#include <mutex>

namespace nutmegtide {

// Text of a committed power entry that can't be read.
class PowerLedgerError : public Error
{
public:
    using Error::Error;
};

// Writes spare records as the payload of a control log entry, and reads them
// back. Reading throws PowerLedgerError.
std::string encodeSpares(const std::vector<SpareRecord> &records);
std::vector<SpareRecord> decodeSpares(const std::string &payload);

// The state of all spare VMs as the control log has it. A control leader records
// it before it sends an order, so that the next leader repeats the same order
// instead of making another.
class PowerLedger : public StateMachine
{
public:
    void apply(std::uint64_t index, const std::string &payload) override;
    std::string snapshot() const override;
    void restore(const std::string &snapshot) override;

    std::vector<SpareRecord> records() const;

private:
    mutable std::mutex m_mutex;
    std::vector<SpareRecord> m_records;
};

} // namespace nutmegtide
