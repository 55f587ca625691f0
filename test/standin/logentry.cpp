#include "logentry.h"

namespace nutmegtide::standin {

void to_json(Json &json, const LogEntry &entry)
{
    json = Json {{"position", entry.position},    {"request_id", entry.requestId.text()},
                 {"caller", entry.caller.text()}, {"content_hash", entry.contentHash},
                 {"statement", entry.statement},  {"changes", entry.changes},
                 {"result", entry.result}};
}

void from_json(const Json &json, LogEntry &entry)
{
    json.at("position").get_to(entry.position);
    entry.requestId = RequestId(json.at("request_id").get<std::string>());
    entry.caller = CallerId(json.at("caller").get<std::string>());
    json.at("content_hash").get_to(entry.contentHash);
    json.at("statement").get_to(entry.statement);
    json.at("changes").get_to(entry.changes);
    entry.result = json.at("result");
}

void to_json(Json &json, const LogFeed &feed)
{
    json = Json {{"term", feed.term},
                 {"previous", feed.previous},
                 {"last_index", feed.lastIndex},
                 {"entries", feed.entries}};
}

void from_json(const Json &json, LogFeed &feed)
{
    json.at("term").get_to(feed.term);
    json.at("previous").get_to(feed.previous);
    json.at("last_index").get_to(feed.lastIndex);
    json.at("entries").get_to(feed.entries);
}

} // namespace nutmegtide::standin
