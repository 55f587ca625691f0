#include "serve/timelinerole.h"

#include "nutmegtide/backend/messages.h"

#include <future>

namespace nutmegtide {

namespace {

constexpr std::size_t EventsPerPage = 2'000;
constexpr auto AnswerTime = 2s;

wire::EventRecord toWire(const Event &event)
{
    wire::EventRecord record;
    record.physicalMicroseconds = event.time.physicalMicroseconds;
    record.logical = static_cast<std::int32_t>(event.time.logical);
    record.vm = event.vm.text();
    record.failureDomain = event.failureDomain.text();
    record.kind = toString(event.kind);
    record.database = event.database.text();
    record.term = static_cast<std::int64_t>(event.term);
    record.requestId = event.request.text();
    record.id = event.id.text();
    record.cause = event.cause.text();
    record.details = event.details;
    return record;
}

Event fromWire(const wire::EventRecord &record)
{
    Event event;
    event.time = {record.physicalMicroseconds, static_cast<std::uint32_t>(record.logical)};
    event.vm = VmName(record.vm);
    event.failureDomain = FailureDomain(record.failureDomain);
    event.details = record.details;
    event.kind = eventKindFromString(record.kind).value_or(EventKind::Other);
    if (event.kind == EventKind::Other)
        event.details["kind"] = record.kind;
    event.database = DatabaseName(record.database);
    event.term = static_cast<Term>(record.term);
    event.request = RequestId(record.requestId);
    event.id = EventId(record.id);
    event.cause = EventId(record.cause);
    return event;
}

Json toJsonPart(const TimelinePart &part)
{
    Json events = Json::array();
    for (const Event &event : part.events)
        events.push_back(Json::parse(toJson(event)));
    return {{"vm", part.vm.text()}, {"dropped", part.dropped}, {"events", std::move(events)}};
}

} // namespace

void TimelineRole::addTo(PeerHandlers &handlers)
{
    handlers.events = [this](std::int64_t after) { return page(after); };
}

void TimelineRole::addTo(std::vector<HttpRoute> &routes)
{
    routes.push_back({"GET", "/v1/timeline", [this](const HttpRequest &) { return collectAll(); }});
}

wire::EventPage TimelineRole::page(std::int64_t after) const
{
    const EventRingPage page = m_recorder.ring().page(static_cast<std::uint64_t>(after),
                                                      EventsPerPage);
    wire::EventPage reply;
    reply.dropped = static_cast<std::int64_t>(page.dropped);
    reply.nextSequence = static_cast<std::int64_t>(page.nextSequence);
    for (const Event &event : page.events)
        reply.events.push_back(toWire(event));
    return reply;
}

TimelinePart TimelineRole::collectOwn() const
{
    TimelinePart part;
    part.vm = m_identity.vm;
    std::uint64_t after = 0;
    while (true) {
        EventRingPage page = m_recorder.ring().page(after, EventsPerPage);
        part.dropped += page.dropped;
        if (page.events.empty())
            return part;
        part.events.insert(part.events.end(), page.events.begin(), page.events.end());
        after = page.nextSequence;
    }
}

TimelinePart TimelineRole::collectFrom(const VmRecord &vm)
{
    TimelinePart part;
    part.vm = vm.vm;
    std::int64_t after = 0;
    while (true) {
        const auto page = m_peers.call(vm.peers, AnswerTime, [&](wire::PeerClient &client) {
            wire::EventPage reply;
            client.events(reply, m_peers.header(), after);
            return reply;
        });
        part.dropped += static_cast<std::uint64_t>(page.dropped);
        if (page.events.empty())
            return part;
        for (const wire::EventRecord &record : page.events)
            part.events.push_back(fromWire(record));
        after = page.nextSequence;
    }
}

HttpResponse TimelineRole::collectAll()
{
    std::map<VmName, std::future<TimelinePart>> pending;
    for (const VmRecord &vm : m_directory.all()) {
        if (vm.vm == m_identity.vm)
            continue;
        pending[vm.vm] = std::async(std::launch::async, [this, vm] { return collectFrom(vm); });
    }
    Json parts = Json::array({toJsonPart(collectOwn())});
    Json unreachable = Json::array();
    for (auto &[vm, future] : pending) {
        try {
            parts.push_back(toJsonPart(future.get()));
        } catch (const Error &fault) {
            unreachable.push_back({{"vm", vm.text()}, {"reason", fault.what()}});
        } catch (const wire::PeerRefusal &refusal) {
            unreachable.push_back({{"vm", vm.text()}, {"reason", refusal.message}});
        }
    }
    HttpResponse response;
    response.body = Json {{"parts", parts}, {"unreachable", unreachable}}.dump();
    return response;
}

} // namespace nutmegtide
