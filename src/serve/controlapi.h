#pragma once

#include "serve/controllog.h"
#include "serve/routes.h"

#include <nlohmann/json.hpp>

namespace nutmegtide {

// What operators ask of the control log, and the changes of its members:
//
//   GET    /v1/control                                     the log as this VM sees it
//   POST   /v1/control/members  {"add": VM, "folder": ID}  at the leader
//   POST   /v1/control/members  {"remove": VM}             at the leader
class ControlApi
{
public:
    explicit ControlApi(ControlLog &log)
        : m_log(log)
    { }

    void addTo(std::vector<HttpRoute> &routes);
    nlohmann::json status() const;

private:
    HttpResponse changeMembers(const HttpRequest &request);
    void change(const nlohmann::json &order);

    ControlLog &m_log;
};

} // namespace nutmegtide
