#include "site/sitewire.h"

#include "base/log.h"
#include "nutmegtide/base/text.h"
#include "serve/wireconvert.h"

#include <algorithm>

namespace nutmegtide {

namespace {

// Upper bound for the leaving time that a peer reports; no server takes longer to leave.
constexpr std::chrono::milliseconds LongestLeave = 24h;

// Throws MessageError for a name that can't be sent on in lines and in JSON.
void checkNames(const ServerAnnouncement &announcement)
{
    if (!isWord(announcement.server.text()))
        throw MessageError("the server's id is no word");
    if (!isWord(announcement.service.text()))
        throw MessageError("the service of server " + announcement.server.text() + " is no word");
    if (!isUtf8(announcement.failureDomain.text()))
        throw MessageError("the failure domain of server " + announcement.server.text()
                           + " is not UTF-8");
}

} // namespace

std::vector<wire::AgedProof> toWire(const std::vector<AgedProof> &proofs)
{
    std::vector<wire::AgedProof> result;
    for (const AgedProof &proof : proofs) {
        wire::AgedProof encoded;
        encoded.serviceName = proof.service.text();
        encoded.position = toWire(proof.position);
        // Rounded up, since a proof must never look younger than it is.
        encoded.ageMicroseconds = std::chrono::ceil<std::chrono::microseconds>(proof.age).count();
        result.push_back(encoded);
    }
    return result;
}

std::vector<AgedProof> fromWire(const std::vector<wire::AgedProof> &proofs)
{
    std::vector<AgedProof> result;
    for (const wire::AgedProof &encoded : proofs) {
        const std::int64_t age = std::max<std::int64_t>(0, encoded.ageMicroseconds);
        result.push_back({ServiceName(encoded.serviceName), fromWire(encoded.position),
                          std::chrono::microseconds(age)});
    }
    return result;
}

wire::OpenChanges toWire(const OpenChanges &changes, TimePoint now)
{
    wire::OpenChanges result;
    for (const ServiceName &service : changes.services)
        result.services.push_back(service.text());
    // Rounded up, since they must never look younger than they are.
    result.ageMicroseconds = std::chrono::ceil<std::chrono::microseconds>(now - changes.asOf).count();
    return result;
}

OpenChanges fromWire(const wire::OpenChanges &changes, TimePoint askedAt)
{
    const std::int64_t age = std::max<std::int64_t>(0, changes.ageMicroseconds);
    return {{changes.services.begin(), changes.services.end()},
            askedAt - std::chrono::microseconds(age)};
}

wire::ServerRecord toWire(const ServerRecord &record, TimePoint now)
{
    wire::ServerRecord result;
    const ServerAnnouncement &announcement = record.announcement;
    result.server = announcement.server.text();
    result.serviceName = announcement.service.text();
    result.address = toString(announcement.address);
    result.failureDomain = announcement.failureDomain.text();
    result.slots = announcement.slots;
    result.isLeaving = announcement.isLeaving;
    result.isPrimary = announcement.isPrimary;
    result.lifetime = static_cast<std::int64_t>(announcement.lifetime);
    result.sequence = static_cast<std::int64_t>(announcement.sequence);
    result.isGone = record.isGone;
    result.confirmedTerm = static_cast<std::int64_t>(record.confirmedTerm);
    if (record.departedAfter) {
        result.__set_readySequence(static_cast<std::int64_t>(record.readySequence));
        result.__set_departedAfter(static_cast<std::int64_t>(*record.departedAfter));
    }
    if (record.leavingSince) {
        // Rounded up, since the time may be overestimated but not underestimated.
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - *record.leavingSince);
        result.__set_leavingMilliseconds(age.count());
    }
    return result;
}

ServerRecord fromWire(const wire::ServerRecord &record, TimePoint now)
{
    ServerRecord result;
    ServerAnnouncement &announcement = result.announcement;
    announcement.server = ServerId(record.server);
    announcement.service = ServiceName(record.serviceName);
    announcement.address = parseEndpoint(record.address);
    announcement.failureDomain = FailureDomain(record.failureDomain);
    announcement.slots = record.slots;
    announcement.isLeaving = record.isLeaving;
    announcement.isPrimary = record.isPrimary;
    announcement.lifetime = static_cast<std::uint64_t>(record.lifetime);
    announcement.sequence = static_cast<std::uint64_t>(record.sequence);
    result.isGone = record.isGone;
    result.confirmedTerm = static_cast<Term>(record.confirmedTerm);
    if (record.__isset.readySequence)
        result.readySequence = static_cast<std::uint64_t>(record.readySequence);
    if (record.__isset.departedAfter)
        result.departedAfter = static_cast<std::uint64_t>(record.departedAfter);
    if (record.__isset.leavingMilliseconds) {
        const std::chrono::milliseconds age(record.leavingMilliseconds);
        result.leavingSince = now - std::clamp(age, 0ms, LongestLeave);
    }
    return result;
}

ReceivedServers fromWire(const std::vector<wire::ServerRecord> &records, TimePoint now)
{
    ReceivedServers received;
    for (const wire::ServerRecord &record : records) {
        try {
            ServerRecord taken = fromWire(record, now);
            checkNames(taken.announcement);
            received.records.push_back(std::move(taken));
        } catch (const MessageError &fault) {
            received.refusals.emplace_back(fault.what());
        } catch (const EndpointError &fault) {
            received.refusals.emplace_back(fault.what());
        }
    }
    return received;
}

void logRefusedServers(const ReceivedServers &received, const std::string &peer)
{
    if (received.refusals.empty())
        return;
    logEvent(LogLevel::Warning, "server_records_refused", {},
             {{"peer", peer},
              {"count", std::to_string(received.refusals.size())},
              {"first_reason", received.refusals.front()}});
}

std::vector<wire::HomeVm> toWire(const std::vector<HomeCandidate> &candidates)
{
    std::vector<wire::HomeVm> result;
    for (const HomeCandidate &candidate : candidates) {
        wire::HomeVm encoded;
        encoded.vm = candidate.vm.text();
        encoded.lanes = toString(candidate.lanes);
        encoded.failureDomain = candidate.failureDomain.text();
        result.push_back(encoded);
    }
    return result;
}

std::vector<HomeCandidate> fromWire(const std::vector<wire::HomeVm> &candidates)
{
    std::vector<HomeCandidate> result;
    for (const wire::HomeVm &encoded : candidates)
        result.push_back({VmName(encoded.vm), FailureDomain(encoded.failureDomain),
                          parseEndpoint(encoded.lanes)});
    return result;
}

std::vector<wire::ServerHome> toWire(const ServerHomes &homes)
{
    std::vector<wire::ServerHome> result;
    for (const auto &[server, lanes] : homes) {
        for (const Endpoint &home : lanes) {
            wire::ServerHome encoded;
            encoded.server = server.text();
            encoded.lanes = toString(home);
            result.push_back(encoded);
        }
    }
    return result;
}

ServerHomes fromWire(const std::vector<wire::ServerHome> &homes)
{
    ServerHomes result;
    for (const wire::ServerHome &encoded : homes)
        result[ServerId(encoded.server)].push_back(parseEndpoint(encoded.lanes));
    return result;
}

RecordedServers recordedServers(std::set<ServerId> servers)
{
    std::string names;
    for (const ServerId &server : servers)
        names += server.text() + '\n';
    const auto version = static_cast<std::int64_t>(std::hash<std::string>()(names));
    return {std::move(servers), version};
}

void putRecordedServers(const RecordedServers &recorded, const wire::FollowRequest &request,
                        wire::FollowReply &reply)
{
    reply.__set_recordedVersion(recorded.version);
    if (request.__isset.recordedVersion && request.recordedVersion == recorded.version)
        return;
    std::vector<std::string> names;
    for (const ServerId &server : recorded.servers)
        names.push_back(server.text());
    reply.__set_recordedServers(names);
}

std::optional<RecordedServers> recordedServersOf(const wire::FollowReply &reply)
{
    if (!reply.__isset.recordedServers)
        return std::nullopt;
    RecordedServers recorded;
    for (const std::string &server : reply.recordedServers)
        recorded.servers.insert(ServerId(server));
    recorded.version = reply.recordedVersion;
    return recorded;
}

} // namespace nutmegtide
