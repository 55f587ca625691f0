#include "settings/schema.h"
#include "settings/section.h"

#include <algorithm>
#include <vector>

namespace nutmegtide {

namespace {

constexpr Range DrainTimeoutRange {0, 3'600'000}; // ms
constexpr Range DrainSecondsRange {0, 3'600};
constexpr Range ServerLeaveTimeRange {0, 3'600'000}; // ms
constexpr Range ToleratedLossesRange {0, 3};
constexpr Range RevocationTimeRange {1, 3'600'000}; // ms
constexpr Range CapWindowRange {100, 3'600'000}; // ms
constexpr Range CapOverageRange {0, 10};
constexpr Range CapSlackRange {0, 1'000'000}; // operations
constexpr Range BufferedRange {65'536, 1'099'511'627'776}; // bytes
constexpr Range DescriptorsRange {64, 10'000'000};
constexpr Range MessageTimeRange {100, 3'600'000}; // ms
constexpr Range PatientObjectiveRange {1, 3'600'000}; // ms
constexpr Range CallerThreadsRange {1, 10'000};
constexpr bool IsRequired = true;

const KeyRow<NodeSettings> NodeRows[] = {
        {"name", &NodeSettings::name, {}, IsRequired},
        {"failure_domain", &NodeSettings::failureDomain, {}, IsRequired},
        {"fleet", &NodeSettings::fleet, {}, IsRequired},
        {"data_dir", &NodeSettings::dataDir},
        {"control", &NodeSettings::control},
        {"seeds", &NodeSettings::seeds},
        {"platform", &NodeSettings::platform},
        {"port_file", &NodeSettings::portFile},
        {"role", &NodeSettings::role},
        {"first_start", &NodeSettings::isFirstStart},
        {"tolerated_losses", &NodeSettings::toleratedLosses, ToleratedLossesRange},
        {"promotions", &NodeSettings::promotions},
        {"drain_seconds", &NodeSettings::drainSeconds, DrainSecondsRange},
        {"drain_timeout", &NodeSettings::drainTimeout, DrainTimeoutRange},
        {"server_leave_time", &NodeSettings::serverLeaveTime, ServerLeaveTimeRange},
        {"revocation_time", &NodeSettings::revocationTime, RevocationTimeRange},
        {"caller_threads", &NodeSettings::callerThreads, CallerThreadsRange},
};

const KeyRow<ListenSettings> ListenRows[] = {
        {"callers", &ListenSettings::callers, {}, IsRequired},
        {"operators", &ListenSettings::operators, {}, IsRequired},
        {"peers", &ListenSettings::peers, {}, IsRequired},
        {"health", &ListenSettings::health},
        {"lanes", &ListenSettings::lanes},
};

const KeyRow<LogSettings> LogRows[] = {
        {"level", &LogSettings::level},
        {"dir", &LogSettings::dir},
        {"to_standard_output", &LogSettings::toStandardOutput},
};

const KeyRow<CapSettings> CapRows[] = {
        {"window", &CapSettings::window, CapWindowRange},
        {"overage", &CapSettings::overage, CapOverageRange},
        {"slack", &CapSettings::slack, CapSlackRange},
};

const KeyRow<ConnectionSettings> ConnectionRows[] = {
        {"memory", &ConnectionSettings::memory, BufferedRange},
        {"buffered", &ConnectionSettings::buffered, BufferedRange},
        {"buffered_per_caller", &ConnectionSettings::bufferedPerCaller, BufferedRange},
        {"descriptors", &ConnectionSettings::descriptors, DescriptorsRange},
        {"most_callers", &ConnectionSettings::mostCallers, DescriptorsRange},
        {"message_time", &ConnectionSettings::messageTime, MessageTimeRange},
        {"lane_memory", &ConnectionSettings::laneMemory, BufferedRange},
        {"most_lane_links", &ConnectionSettings::mostLaneLinks, DescriptorsRange},
        {"http_bodies", &ConnectionSettings::httpBodies, BufferedRange},
};

const KeyRow<BalancingSettings> BalancingRows[] = {
        {"patient_objective", &BalancingSettings::patientObjective, PatientObjectiveRange},
};

constexpr std::string_view NodeTables[] = {"node",        "listen",    "log",        "caps",
                                           "connections", "balancing", "peer_routes"};

// Port 0 stands for a port of the kernel's choice, so it never collides.
void checkListeners(const ListenSettings &listen, SectionReader &reader)
{
    struct Row
    {
        const char *key;
        const Endpoint &at;
        std::vector<Endpoint> others;
    };
    // A site's entry VM has no listener for peers, so its lanes may have that address.
    const Row rows[] = {{"listen.operators", listen.operators, {listen.callers}},
                        {"listen.peers", listen.peers, {listen.callers, listen.operators}},
                        {"listen.lanes", listen.lanes, {listen.callers, listen.operators}}};
    for (const Row &row : rows) {
        const bool isTaken = std::find(row.others.begin(), row.others.end(), row.at)
                != row.others.end();
        if (row.at.port != 0 && isTaken)
            reader.report(row.key, "another listener has the same address");
    }
}

void checkRole(const NodeSettings &settings, SectionReader &reader)
{
    if (settings.role == NodeRole::Entry && settings.listen.health.address.empty())
        reader.report("listen.health", "missing: the role entry needs it");
    if (settings.role == NodeRole::Control && settings.dataDir.empty())
        reader.report("node.data_dir", "missing: the role control needs it");
    if (settings.role != NodeRole::Proxy && settings.seeds.empty())
        reader.report("node.seeds", "missing: the roles entry and control need them");
}

void readPeerRoutes(const MergedTables &merged, SectionReader &reader, NodeSettings &settings)
{
    const std::string table = "peer_routes";
    const toml::node *node = merged.tables.get(table);
    const toml::table *routes = node == nullptr ? nullptr : reader.tableAt(*node, table);
    if (routes == nullptr)
        return;
    for (auto &&[key, route] : *routes) {
        const std::string peer(key.str());
        try {
            readValue(route, {}, settings.peerRoutes[parseEndpoint(peer)]);
        } catch (const EndpointError &error) {
            reader.reportAt(route, table + '.' + peer, error.what());
        } catch (const ValueError &error) {
            reader.reportAt(route, table + '.' + peer, error.what());
        }
    }
}

} // namespace

NodeSettings readNodeTables(MergedTables &merged)
{
    NodeSettings settings;
    SectionReader reader(merged);
    reader.readTable<NodeSettings>("node", NodeRows, settings);
    reader.readTable<ListenSettings>("listen", ListenRows, settings.listen);
    reader.readTable<LogSettings>("log", LogRows, settings.log);
    reader.readTable<CapSettings>("caps", CapRows, settings.caps);
    reader.readTable<ConnectionSettings>("connections", ConnectionRows, settings.connections);
    reader.readTable<BalancingSettings>("balancing", BalancingRows, settings.balancing);
    readPeerRoutes(merged, reader, settings);
    reader.checkUnknown(merged.tables, "", NodeTables);
    checkListeners(settings.listen, reader);
    checkRole(settings, reader);
    if (settings.drainSeconds > 0)
        settings.drainTimeout = std::chrono::milliseconds(
                static_cast<std::int64_t>(settings.drainSeconds * 1000));
    return settings;
}

} // namespace nutmegtide
