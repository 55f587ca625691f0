#include "nutmegtide/power/powerledger.h"

#include "nutmegtide/base/text.h"

#include <nlohmann/json.hpp>

namespace nutmegtide {

std::string encodeSpares(const std::vector<SpareRecord> &records)
{
    nlohmann::json json = nlohmann::json::array();
    for (const SpareRecord &record : records) {
        json.push_back({{"vm", record.vm.text()},
                        {"state", record.state},
                        {"database", record.database.text()},
                        {"order", record.order.text()}});
    }
    return encodeJson(json);
}

std::vector<SpareRecord> decodeSpares(const std::string &payload)
{
    try {
        std::vector<SpareRecord> records;
        for (const nlohmann::json &entry : nlohmann::json::parse(payload)) {
            records.push_back({VmName(entry.at("vm").get<std::string>()),
                               entry.at("state").get<std::string>(),
                               DatabaseName(entry.at("database").get<std::string>()),
                               OrderId(entry.at("order").get<std::string>())});
        }
        return records;
    } catch (const nlohmann::json::exception &fault) {
        throw PowerLedgerError(std::string("malformed spare records: ") + fault.what());
    }
}

void PowerLedger::apply(std::uint64_t, const std::string &payload)
{
    std::vector<SpareRecord> records = decodeSpares(payload);
    const std::lock_guard lock(m_mutex);
    m_records = std::move(records);
}

std::string PowerLedger::snapshot() const
{
    return encodeSpares(records());
}

void PowerLedger::restore(const std::string &snapshot)
{
    apply(0, snapshot);
}

std::vector<SpareRecord> PowerLedger::records() const
{
    const std::lock_guard lock(m_mutex);
    return m_records;
}

} // namespace nutmegtide
