#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/errors.h"

#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace nutmegtide::test {

using Json = nlohmann::json;

// No HTTP answer came: the connection was refused, lost, or silent for too long.
class HttpError : public Error
{
public:
    using Error::Error;
};

using HttpHeaders = std::map<std::string, std::string>; // names in lower case in an answer

struct HttpAnswer
{
    int status = 0;
    HttpHeaders headers;
    std::string body;

    // Null if the body is no JSON.
    Json json() const { return Json::parse(body, nullptr, false); }
    // Empty if there is no such header; the name is given in lower case.
    std::string header(const std::string &name) const;
};

// An HTTP client that keeps its connection. One thread uses it at a time.
//
//   HttpClient client(parseEndpoint("127.0.0.1:8080"));
//   CHECK(client.get("/healthz").status == 200);
class HttpClient
{
public:
    explicit HttpClient(Endpoint server,
                        std::chrono::milliseconds timeout = std::chrono::seconds(60));
    ~HttpClient();
    HttpClient(HttpClient &&) noexcept;
    HttpClient &operator=(HttpClient &&) noexcept;

    // Both throw HttpError. The body of post() is sent as it is.
    HttpAnswer get(const std::string &path, const HttpHeaders &headers = {});
    HttpAnswer post(const std::string &path, const std::string &body,
                    const HttpHeaders &headers = {});
    HttpAnswer post(const std::string &path, const Json &body, const HttpHeaders &headers = {});

    // Connections opened since the client was made.
    long connectionsOpened() const;

private:
    struct Handle;

    HttpAnswer perform(const std::string &path, const HttpHeaders &headers);

    Endpoint m_server;
    std::unique_ptr<Handle> m_handle;
};

} // namespace nutmegtide::test
