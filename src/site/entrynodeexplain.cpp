// Answers of an entry VM to operators: where a request would go, and metrics.
#include "nutmegtide/base/text.h"
#include "site/entrynode.h"
#include "site/explainquery.h"

#include <nlohmann/json.hpp>

namespace nutmegtide {

namespace {

using Json = nlohmann::json;

HttpResponse refusal(int status, const Json &body)
{
    HttpResponse response;
    response.status = status;
    response.body = encodeJsonLossy(body);
    return response;
}

HttpResponse refusalOf(QuestionFault fault, const RouteQuestion &question)
{
    switch (fault) {
    case QuestionFault::UnknownDatabase:
        return refusal(404, {{"error", "unknown database \"" + question.database.text() + '"'}});
    case QuestionFault::UnknownWorkspace:
        return refusal(404, {{"error", "unknown workspace \"" + question.workspace.text() + '"'}});
    case QuestionFault::AgeNotApplicable:
        return refusal(400,
                       {{"error", "age: only for reads of a route that allows an age"},
                        {"parameter", "age"}});
    default:
        return refusal(503, {{"error", "no configuration yet"}});
    }
}

} // namespace

EntryNode::ExplainAnswer EntryNode::explain(const RouteQuestion &question) const
{
    const TimePoint now = EventLoop::now();
    const RouteAnswer answer = m_proxy.explain(question, now);
    if (const auto *fault = std::get_if<QuestionFault>(&answer))
        return *fault;
    const auto &route = std::get<RouteExplanation>(answer);
    SiteExplanation explanation {m_settings.name.text(), route, question.workspace, ""};
    if (!route.server)
        return explanation;
    const auto home = route.idleConnection != 0
            ? m_links.homeOf(route.idleConnection)
            : m_links.nextHomeOf(*route.server, question.workspace, now);
    if (home)
        explanation.home = toString(*home);
    return explanation;
}

// Runs on a thread of the HTTP listener; the state belongs to the thread of the event loop.
HttpResponse EntryNode::answerExplain(const HttpRequest &request)
{
    if (request.method != "GET")
        return refusal(405, {{"error", "only GET"}});
    RouteQuestion question;
    try {
        question = readExplainQuery(request.query);
    } catch (const QueryParameterError &error) {
        return refusal(400, {{"error", error.what()}, {"parameter", error.parameter()}});
    }
    const auto answer = m_explainQuestion.ask([this, question] { return explain(question); });
    if (!answer)
        return refusal(503, {{"error", "busy"}});
    if (const auto *fault = std::get_if<QuestionFault>(&*answer))
        return refusalOf(*fault, question);
    HttpResponse response;
    response.body = encodeJsonLossy(toJson(std::get<SiteExplanation>(*answer)));
    return response;
}

HttpResponse EntryNode::answerOperators(const HttpRequest &request)
{
    if (request.path == "/v1/explain")
        return answerExplain(request);
    HttpResponse response;
    if (request.path != "/metrics") {
        response.status = 404;
        return response;
    }
    response.contentType = "text/plain; version=0.0.4";
    response.body = m_metrics.text();
    return response;
}

} // namespace nutmegtide
