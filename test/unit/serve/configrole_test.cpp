#include "serve/configrole.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace nutmegtide;

TEST_CASE("a revision that is taken but not yet written isn't told as in force")
{
    const Identity identity {FleetId("f"), VmName("a1"), FailureDomain("d"), 1};
    NodeSettings settings;
    settings.name = identity.vm;
    SettingsSource inForce;
    Directory directory;
    PeerClients peers([] { return wire::Header(); });
    Recorder recorder({identity.vm, identity.failureDomain, 1}, 100);
    ConfigRole role(identity, settings, inForce, directory, peers, recorder);
    PeerHandlers handlers;
    std::vector<HttpRoute> routes;
    role.fill(handlers, routes);
    role.start();
    while (!role.isCaughtUp())
        std::this_thread::sleep_for(1ms);
    // From here on nothing is written and nothing put in force.
    role.stop();
    wire::ConfigPush push;
    push.revision.revision = 3;
    push.revision.toml = "[limits]\nqueue_length = 3\n";
    handlers.pushConfig(push);
    const auto json = nlohmann::json::parse(routes.front().handler(HttpRequest()).body);
    CHECK(json.at("revision") == 3);
    CHECK(json.at("in_force") == 0);
}
