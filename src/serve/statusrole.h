#pragma once

#include "serve/directory.h"
#include "serve/homegroups.h"
#include "serve/identity.h"
#include "serve/routes.h"
#include "serve/transactions.h"

#include <functional>

namespace nutmegtide {

// Answers GET /v1/status: what this process knows of the fleet, with what is
// wrong at the top, in words.
class StatusRole
{
public:
    // Adds a section of another role under its own key.
    using Section = std::function<Json()>;

    StatusRole(const Identity &identity, const SettingsSource &settings, const Directory &directory,
               const HomeGroups &groups, const Transactions &transactions)
        : m_identity(identity)
        , m_settings(settings)
        , m_directory(directory)
        , m_groups(groups)
        , m_transactions(transactions)
    { }

    void addTo(std::vector<HttpRoute> &routes);
    // Call before the listeners open.
    void addSection(const std::string &key, Section section);

private:
    Json status() const;
    Json members(Json &problems) const;
    Json groups(Json &problems) const;
    Json group(const DatabaseName &database, const HomeGroup &group, Json &problems) const;

    const Identity &m_identity;
    const SettingsSource &m_settings;
    const Directory &m_directory;
    const HomeGroups &m_groups;
    const Transactions &m_transactions;
    std::map<std::string, Section> m_sections;
};

} // namespace nutmegtide
