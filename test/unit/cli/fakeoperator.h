#pragma once

#include "nutmegtide/base/endpoint.h"

#include <civetweb.h>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace nutmegtide {

// An operators' listener on a port of the kernel's choice that gives the same
// answer on a path each time. A path whose status is 0 closes the connection
// without an answer; a path without an entry is 404. Stopping takes CivetWeb up
// to 2 s, so a test case has one fake and changes its answers.
class FakeOperator
{
public:
    struct Answer
    {
        int status = 200;
        std::string body;
    };

    FakeOperator()
    {
        const char *options[] = {"listening_ports", "127.0.0.1:0", "num_threads", "2", nullptr};
        m_server = mg_start(nullptr, this, options);
        mg_set_request_handler(m_server, "**", &FakeOperator::handle, this);
    }
    ~FakeOperator() { mg_stop(m_server); }
    FakeOperator(const FakeOperator &) = delete;
    FakeOperator &operator=(const FakeOperator &) = delete;

    Endpoint endpoint() const
    {
        mg_server_port port {};
        mg_get_server_ports(m_server, 1, &port);
        return {"127.0.0.1", static_cast<std::uint16_t>(port.port)};
    }
    // Replaces all answers and forgets the bodies that came.
    void setAnswers(std::map<std::string, Answer> answers)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_answers = std::move(answers);
        m_posted.clear();
    }
    // The bodies of all POST requests, in the order they came.
    std::vector<std::string> posted() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_posted;
    }

private:
    static int handle(mg_connection *connection, void *self)
    {
        return static_cast<FakeOperator *>(self)->answer(connection);
    }
    int answer(mg_connection *connection)
    {
        const mg_request_info *request = mg_get_request_info(connection);
        if (std::string(request->request_method) == "POST")
            keepBody(connection, request->content_length);
        const Answer answer = answerOf(request->local_uri);
        if (answer.status != 0) {
            mg_printf(connection, "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n\r\n%s", answer.status,
                      answer.body.size(), answer.body.c_str());
        }
        return answer.status == 0 ? 500 : answer.status;
    }
    Answer answerOf(const std::string &path) const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_answers.find(path);
        return found == m_answers.end() ? Answer {404, ""} : found->second;
    }
    void keepBody(mg_connection *connection, long long length)
    {
        std::string body(static_cast<std::size_t>(length), '\0');
        mg_read(connection, body.data(), body.size());
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_posted.push_back(body);
    }

    std::map<std::string, Answer> m_answers;
    mg_context *m_server = nullptr;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_posted;
};

} // namespace nutmegtide
