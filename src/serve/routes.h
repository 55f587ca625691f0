#pragma once

#include "serve/httpserver.h"

#include <functional>
#include <vector>

namespace nutmegtide {

// One path of a listener and what answers it.
struct HttpRoute
{
    std::string method;
    std::string path;
    HttpServer::Handler handler;
};

// Returns the answer of the route that fits, 404 or 405 where none does. A
// handler's MessageError is answered with 400.
HttpResponse dispatch(const std::vector<HttpRoute> &routes, const HttpRequest &request);

} // namespace nutmegtide
