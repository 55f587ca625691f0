// The exchanges of ChangeRole with backend servers: each action of a change, and the
// care for servers that stray, become jobs of the server's worker.

#include "serve/changerole.h"

namespace nutmegtide {

namespace {

constexpr auto AnswerTime = 1s; // of one exchange with a backend server
constexpr auto BarrierWait = 100ms; // of one long poll for the barrier
constexpr std::size_t FollowSlot = std::variant_size_v<ChangeAction>; // beyond those of a change

template <typename... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace

void ChangeRole::perform(const DatabaseName &database, const ChangeActions &actions)
{
    for (const ChangeAction &action : actions)
        performOne(database, action);
}

template <typename Exchange>
ServerWorkers::Job ChangeRole::guarded(const DatabaseName &database, Term term, Exchange exchange)
{
    return [this, database, term, exchange](BackendConnection &connection) {
        try {
            exchange(connection);
        } catch (const RefusedByServer &refused) {
            const Term own = refused.refusal().term;
            feed(database, [&](PrimaryChange &change) {
                return change.onStaleTerm(term, own, Clock::now());
            });
        }
    };
}

void ChangeRole::performOne(const DatabaseName &database, const ChangeAction &action)
{
    const std::size_t slot = action.index();
    std::visit(Overloaded {
                       [&](const ProbeServer &probe) {
                           post(database, probe.server, slot,
                                guarded(database, 0, [=, this](BackendConnection &connection) {
                                    const auto reply = connection.position(0, {}, 0ms, AnswerTime);
                                    feed(database, [&](PrimaryChange &change) {
                                        return change.onProbed(probe.server, reply, Clock::now());
                                    });
                                }));
                       },
                       [&](const FenceServer &fence) {
                           post(database, fence.server, slot,
                                guarded(database, fence.term,
                                        [=, this](BackendConnection &connection) {
                                            const auto reply = connection.fence({fence.term},
                                                                                AnswerTime);
                                            feed(database, [&](PrimaryChange &change) {
                                                return change.onFenced(fence.server, reply,
                                                                       Clock::now());
                                            });
                                        }));
                       },
                       [&](const PromoteServer &promote) {
                           post(database, promote.server, slot,
                                guarded(database, promote.term,
                                        [=, this](BackendConnection &connection) {
                                            const auto reply = connection.promote({promote.term,
                                                                                   promote.voters},
                                                                                  AnswerTime);
                                            feed(database, [&](PrimaryChange &change) {
                                                return change.onPromoted(promote.server, reply,
                                                                         Clock::now());
                                            });
                                        }));
                       },
                       [&](const FollowServer &follow) {
                           const Endpoint primary = m_groups.at(database).addresses[follow.primary];
                           const FollowRequest request {follow.term, primary, follow.voters};
                           post(database, follow.server, slot,
                                guarded(database, follow.term, [=](BackendConnection &connection) {
                                    connection.follow(request, AnswerTime);
                                }));
                       },
                       [&](const WatchBarrier &watch) {
                           // A position is waited past, so the entry before the barrier is named.
                           const LogPosition before {watch.barrier.term, watch.barrier.index - 1};
                           post(database, watch.server, slot,
                                guarded(database, 0, [=, this](BackendConnection &connection) {
                                    const auto reply = connection.position(watch.term, before,
                                                                           BarrierWait,
                                                                           BarrierWait + AnswerTime);
                                    feed(database, [&](PrimaryChange &change) {
                                        return change.onPosition(watch.server, reply, Clock::now());
                                    });
                                }));
                       },
                       [&](const ProposeGroup &proposal) { enqueue(proposal.command); },
                       [&](const RecordChangeEvent &event) { record(database, event); },
               },
               action);
}

void ChangeRole::post(const DatabaseName &database, const ServerId &server, std::size_t slot,
                      const ServerWorkers::Job &job)
{
    const auto &addresses = m_groups.at(database).addresses;
    const auto address = addresses.find(server);
    if (address != addresses.end())
        m_workers.post(server, address->second, slot, job);
}

void ChangeRole::record(const DatabaseName &database, const RecordChangeEvent &event)
{
    EventFields fields;
    fields.database = database;
    fields.term = event.term;
    if (!event.server.isEmpty())
        fields.details["server"] = event.server.text();
    if (!event.why.empty())
        fields.details["why"] = event.why;
    EventId &cause = m_groups.at(database).cause;
    cause = m_recorder.record(event.kind, fields, cause);
}

void ChangeRole::careForFollowers(const DatabaseName &database, Group &group,
                                  const GroupRecord &record, TimePoint now)
{
    const auto primary = group.addresses.find(record.primary);
    if (primary == group.addresses.end())
        return;
    std::vector<ServerObservation> observations;
    for (const auto &[server, observation] : group.observations)
        observations.push_back(observation);
    for (const ServerId &server : group.care.serversToRedirect(record, observations, now)) {
        const FollowRequest request {record.term, primary->second, record.voters};
        post(database, server, FollowSlot,
             [request](BackendConnection &connection) { connection.follow(request, AnswerTime); });
    }
}

} // namespace nutmegtide
