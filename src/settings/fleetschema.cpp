#include "settings/schema.h"
#include "settings/section.h"

namespace nutmegtide {

namespace {

constexpr double Second = 1'000; // ms
constexpr double Hour = 3'600 * Second;
constexpr double Day = 24 * Hour;
constexpr double Kibibyte = 1'024; // bytes
constexpr double Gibibyte = Kibibyte * Kibibyte * Kibibyte;

const KeyRow<DatabaseSettings> DatabaseRows[] = {
        {"voters", &DatabaseSettings::voters, {1, 9}},
        {"homes_per_domain", &DatabaseSettings::homesPerDomain, {1, 64}},
        {"request_id_kept", &DatabaseSettings::requestIdKept, {Second, 30 * Day}},
};

const KeyRow<ReadSettings> ReadRows[] = {
        {"replica_wait", &ReadSettings::replicaWait, {0, 10 * Second}},
        {"smallest_age", &ReadSettings::smallestAge, {1, Hour}},
};

const KeyRow<LimitSettings> LimitRows[] = {
        {"default_timeout", &LimitSettings::defaultTimeout, {1, Hour}},
        {"longest_timeout", &LimitSettings::longestTimeout, {1, Hour}},
        {"largest_body", &LimitSettings::largestBody, {Kibibyte, Gibibyte}},
        {"retry_share", &LimitSettings::retryShare, {0, 1}},
        {"queue_length", &LimitSettings::queueLength, {0, 1'000'000}},
        {"connection_share", &LimitSettings::connectionShare, {0.01, 1}},
};

const KeyRow<FailoverSettings> FailoverRows[] = {
        {"primary_announce_interval", &FailoverSettings::primaryAnnounceInterval, {10, 60 * Second}},
        {"replica_announce_interval", &FailoverSettings::replicaAnnounceInterval, {10, 60 * Second}},
        {"detection_time", &FailoverSettings::detectionTime, {20, 600 * Second}},
        {"ack_timeout", &FailoverSettings::ackTimeout, {1, 600 * Second}},
        {"shortest_between_changes", &FailoverSettings::shortestBetweenChanges, {0, Hour}},
};

const KeyRow<PowerSettings> PowerRows[] = {
        {"most_vms", &PowerSettings::mostVms, {0, 100'000}},
        {"saturated_before_on", &PowerSettings::saturatedBeforeOn, {0, Day}},
        {"idle_before_off", &PowerSettings::idleBeforeOff, {0, 30 * Day}},
        {"spares", &PowerSettings::spares},
};

const KeyRow<HomeSettings> HomeRows[] = {
        {"per_domain", &HomeSettings::perDomain, {1, 64}},
        {"standbys", &HomeSettings::standbys, {0, 64}},
        {"share_timeout", &HomeSettings::shareTimeout, {100, Hour}},
};

constexpr std::string_view FleetTables[] = {"database", "reads", "limits",
                                            "failover", "power", "homes"};

void readDatabases(MergedTables &merged, SectionReader &reader, FleetSettings &settings)
{
    const toml::node *node = merged.tables.get("database");
    const toml::table *databases = node == nullptr ? nullptr : reader.tableAt(*node, "database");
    if (databases == nullptr)
        return;
    for (auto &&[key, table] : *databases) {
        const std::string name(key.str());
        if (!isDatabaseName(name)) {
            reader.reportAt(table, "database." + name,
                            "no database name: expected 1 to 64 letters, digits, '-' or '_'");
        }
        DatabaseSettings &database = settings.databases[DatabaseName(name)];
        reader.readKeys<DatabaseSettings>(table, "database." + name, DatabaseRows, database);
    }
}

void checkOrder(const FleetSettings &settings, SectionReader &reader)
{
    if (settings.limits.defaultTimeout > settings.limits.longestTimeout)
        reader.report("limits.default_timeout", "out of range: longer than longest_timeout");
    if (settings.failover.detectionTime <= settings.failover.primaryAnnounceInterval) {
        reader.report("failover.detection_time",
                      "out of range: not longer than primary_announce_interval");
    }
}

} // namespace

FleetSettings readFleetTables(MergedTables &merged)
{
    FleetSettings settings;
    SectionReader reader(merged);
    readDatabases(merged, reader, settings);
    reader.readTable<ReadSettings>("reads", ReadRows, settings.reads);
    reader.readTable<LimitSettings>("limits", LimitRows, settings.limits);
    reader.readTable<FailoverSettings>("failover", FailoverRows, settings.failover);
    reader.readTable<PowerSettings>("power", PowerRows, settings.power);
    reader.readTable<HomeSettings>("homes", HomeRows, settings.homes);
    reader.checkUnknown(merged.tables, "", FleetTables);
    checkOrder(settings, reader);
    return settings;
}

} // namespace nutmegtide
