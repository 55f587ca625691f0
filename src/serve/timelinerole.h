#pragma once

#include "nutmegtide/events/recorder.h"
#include "nutmegtide/events/timeline.h"
#include "serve/directory.h"
#include "serve/identity.h"
#include "serve/peerclient.h"
#include "serve/peerhandlers.h"
#include "serve/routes.h"

namespace nutmegtide {

// Hands out this process's events, and collects those of all VMs for an operator.
class TimelineRole
{
public:
    TimelineRole(const Identity &identity, const Recorder &recorder, const Directory &directory,
                 PeerClients &peers)
        : m_identity(identity)
        , m_recorder(recorder)
        , m_directory(directory)
        , m_peers(peers)
    { }

    void addTo(PeerHandlers &handlers);
    void addTo(std::vector<HttpRoute> &routes);

private:
    wire::EventPage page(std::int64_t after) const;
    TimelinePart collectOwn() const;
    // Throws PeerError or wire::PeerRefusal.
    TimelinePart collectFrom(const VmRecord &vm);
    HttpResponse collectAll();

    const Identity &m_identity;
    const Recorder &m_recorder;
    const Directory &m_directory;
    PeerClients &m_peers;
};

} // namespace nutmegtide
