#include "serve/controlapi.h"

#include "nutmegtide/base/text.h"

namespace nutmegtide {

namespace {

HttpResponse answer(int status, const nlohmann::json &body)
{
    HttpResponse response;
    response.status = status;
    response.body = encodeJsonLossy(body);
    return response;
}

HttpResponse refusal(int status, const char *type, const std::exception &fault)
{
    return answer(status, {{"error", {{"type", type}, {"message", fault.what()}}}});
}

} // namespace

void ControlApi::addTo(std::vector<HttpRoute> &routes)
{
    routes.push_back(
            {"GET", "/v1/control", [this](const HttpRequest &) { return answer(200, status()); }});
    routes.push_back({"POST", "/v1/control/members",
                      [this](const HttpRequest &request) { return changeMembers(request); }});
}

nlohmann::json ControlApi::status() const
{
    const RaftStatus status = m_log.status();
    nlohmann::json members = nlohmann::json::array();
    for (const ControlMember &member : status.members)
        members.push_back({{"vm", member.vm.text()}, {"folder", member.folder}});
    nlohmann::json refused = nlohmann::json::object();
    for (const auto &[vm, folder] : status.refusedFolders)
        refused[vm.text()] = folder;
    nlohmann::json refusedBy = nlohmann::json::object();
    for (const auto &[vm, reason] : m_log.folderRefusals())
        refusedBy[vm.text()] = reason;
    return {{"leader", status.leader.text()},    {"term", status.term},
            {"last_index", status.last},         {"commit_index", status.commit},
            {"snapshot_index", status.snapshot}, {"members", members},
            {"refused_folders", refused},        {"folder_refused_by", refusedBy}};
}

HttpResponse ControlApi::changeMembers(const HttpRequest &request)
{
    try {
        change(nlohmann::json::parse(request.body));
        return answer(202, {{"state", "under_way"}});
    } catch (const nlohmann::json::exception &fault) {
        return refusal(400, "bad_request", fault);
    } catch (const NotLeaderError &fault) {
        return refusal(409, "not_leader", fault);
    } catch (const MembershipError &fault) {
        return refusal(409, "not_now", fault);
    } catch (const ProposalUnknownError &fault) {
        return refusal(504, "outcome_unknown", fault);
    }
}

void ControlApi::change(const nlohmann::json &order)
{
    if (order.contains("remove"))
        return m_log.removeMember(VmName(order.at("remove").get<std::string>()));
    m_log.addMember(
            {VmName(order.at("add").get<std::string>()), order.at("folder").get<std::string>()});
}

} // namespace nutmegtide
