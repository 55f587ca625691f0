#pragma once

#include "logentry.h"

namespace nutmegtide::standin {

// A view of the table with the changes of one statement or transaction on top.
class TableView
{
public:
    TableView(const Table &table, Table &changes, Table &reads)
        : m_table(table)
        , m_changes(changes)
        , m_reads(reads)
    { }

    // Null for a key without a value. Notes what the table held, for a check at commit.
    Json value(const std::string &key);
    void setValue(const std::string &key, Json value) { m_changes[key] = std::move(value); }
    Json list(const std::string &prefix);

private:
    const Table &m_table;
    Table &m_changes;
    Table &m_reads;
};

// Whether the statement changes the table.
bool isWriteStatement(const std::string &statement);

// Runs put, get, add, transfer or list. Throws RefusalError "rejected" for
// another statement or for parameters of the wrong form.
Json runStatement(const std::string &statement, const Json &parameters, TableView &view);

} // namespace nutmegtide::standin
