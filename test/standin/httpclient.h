#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/errors.h"
#include "serve/transfer.h"

#include <chrono>
#include <string>

namespace nutmegtide::standin {

// A request that got no answer within its timeout.
class HttpError : public Error
{
public:
    using Error::Error;
};

struct HttpAnswer
{
    long status = 0;
    std::string body;
};

// Keeps one connection open to the server it asked last. For one thread.
class HttpClient
{
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Throws HttpError, also once the answer is no longer wanted.
    HttpAnswer get(const Endpoint &server, const std::string &path,
                   std::chrono::milliseconds timeout, const GiveUpCheck &isGivenUp = {});

private:
    CURL *m_curl;
    CURLM *m_multi; // holds the open connection
};

} // namespace nutmegtide::standin
