#include "serve/routes.h"

#include "serve/callerapi.h"

namespace nutmegtide {

namespace {

HttpResponse refuse(int status, const std::string &message)
{
    HttpResponse response = errorResponse({StatementFailure::BadRequest, Ran::No, message}, {});
    response.status = status;
    return response;
}

} // namespace

HttpResponse dispatch(const std::vector<HttpRoute> &routes, const HttpRequest &request)
{
    bool isPathKnown = false;
    for (const HttpRoute &route : routes) {
        if (route.path != request.path)
            continue;
        isPathKnown = true;
        if (route.method != request.method)
            continue;
        try {
            return route.handler(request);
        } catch (const MessageError &fault) {
            return refuse(400, fault.what());
        }
    }
    if (isPathKnown)
        return refuse(405, "the path takes no " + request.method);
    return refuse(404, "no such path: " + request.path);
}

} // namespace nutmegtide
