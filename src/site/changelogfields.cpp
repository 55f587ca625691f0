#include "site/changelogfields.h"

namespace nutmegtide {

namespace {

void append(std::string &list, const std::string &item)
{
    if (!list.empty())
        list += ' ';
    list += item;
}

std::string describe(const std::map<ServerId, LogPosition> &servers)
{
    std::string list;
    for (const auto &[server, position] : servers)
        append(list, server.text() + "@" + textOf(position));
    return list;
}

std::string describe(const std::set<ServerId> &servers)
{
    std::string list;
    for (const ServerId &server : servers)
        append(list, server.text());
    return list;
}

std::string nameOf(const QueryStatus & /*action*/)
{
    return "ask";
}

std::string nameOf(const HoldServer & /*action*/)
{
    return "hold";
}

std::string nameOf(const DemoteServer & /*action*/)
{
    return "demote";
}

std::string nameOf(const ResumeServer & /*action*/)
{
    return "resume";
}

std::string nameOf(const ReserveToken & /*action*/)
{
    return "reserve";
}

std::string nameOf(const OrderPromotion & /*action*/)
{
    return "order";
}

} // namespace

std::string textOf(const LogPosition &position)
{
    return std::to_string(position.term) + "." + std::to_string(position.index);
}

std::vector<LogField> fieldsOf(const ServiceName &service, const FenceReport &report)
{
    return {{"service", service.text()},
            {"term", std::to_string(report.term)},
            {"chosen", report.chosen.text()},
            {"position", textOf(report.position)},
            {"fenced", describe(report.fenced)},
            {"missing", describe(report.missing)},
            {"open_orders", describe(report.openOrders)}};
}

std::string describe(const SemiSyncChangeActions &actions)
{
    std::string list;
    for (const SemiSyncChangeAction &action : actions) {
        append(list,
               std::visit([](const auto &one) { return nameOf(one) + ":" + one.server.text(); },
                          action));
    }
    return list;
}

} // namespace nutmegtide
