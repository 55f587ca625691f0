#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/errors.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace nutmegtide {

// No connection came about, so nothing was sent.
class UnreachableError : public Error
{
public:
    using Error::Error;
};

// The request may have been sent, but no whole answer came.
class NoAnswerError : public Error
{
public:
    using Error::Error;
};

// An answer with a status that is no success.
class RefusedError : public Error
{
public:
    using Error::Error;
};

struct PlainHttpAnswer
{
    long status = 0; // of HTTP
    std::string body;
};

// Makes HTTP requests to one listener, one connection a request. The commands use it
// towards an operators' listener, the power role towards the platform.
// Throws UnreachableError or NoAnswerError.
//
//   PlainHttpClient client(options.at);
//   const nlohmann::json status = jsonOf(client.get("/v1/status"));
class PlainHttpClient
{
public:
    explicit PlainHttpClient(Endpoint at,
                             std::chrono::milliseconds timeout = std::chrono::seconds(30));

    PlainHttpAnswer get(const std::string &path) const;
    // The headers are sent beside the content type, each as "Name: value".
    PlainHttpAnswer post(const std::string &path, const std::string &body,
                         const std::vector<std::string> &headers = {}) const;

private:
    PlainHttpAnswer perform(const std::string &path, const std::string *body,
                            const std::vector<std::string> &headers) const;

    Endpoint m_at;
    std::chrono::milliseconds m_timeout;
};

// Throws RefusedError for a status that is no success.
void checkSuccess(const PlainHttpAnswer &answer);

// Returns the body of a success. Throws RefusedError for any other status and
// MessageError when the body is no JSON.
nlohmann::json jsonOf(const PlainHttpAnswer &answer);

} // namespace nutmegtide
