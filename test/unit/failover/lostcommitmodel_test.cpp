// Explores all orders of the steps of a small group, its platform, control and callers. Guards
// against the promotion of a server that lacks a commit whose answer a caller was given.
#include "unit/failover/lostcommitmodel.h"

#include <cstdio>
#include <doctest/doctest.h>
#include <string>
#include <string_view>
#include <type_traits>
#include <unordered_set>
#include <vector>

using namespace nutmegtide::test;

namespace {

constexpr std::size_t MaxStates = 6'000'000;

static_assert(std::has_unique_object_representations_v<LostCommitState>);

// Visits every state that is reachable, in breadth, until one shows a loss.
class LostCommitSearch
{
public:
    using Cause = bool (*)(const LostCommitState &);

    LostCommitSearch(const LostCommitRules &rules, const LostCommitBounds &bounds, Cause isCause)
        : m_model(rules, bounds)
        , m_isCause(isCause)
    { }

    // Returns whether a commit is lost by the cause in some state.
    bool run()
    {
        add(m_model.first(), 0, "", 0);
        for (std::size_t at = 0; at < m_nodes.size() && !m_isLost; ++at) {
            const LostCommitState state = m_nodes[at].state;
            m_model.visitNext(state,
                              [&](const LostCommitState &next, const char *step,
                                  std::size_t subject) { add(next, at, step, subject); });
        }
        return m_isLost;
    }

    std::size_t states() const { return m_nodes.size(); }
    // Returns the number of states in which another server leads, and in which a caller has an answer.
    std::size_t promotions() const { return m_promotions; }
    std::size_t answers() const { return m_answers; }
    // Returns the shortest way to the loss, a step a line.
    std::string trace() const
    {
        std::string text;
        for (std::size_t at = m_nodes.size() - 1; at != 0; at = m_nodes[at].parent) {
            const Node &node = m_nodes[at];
            text = "  " + std::string(node.step) + " " + std::to_string(node.subject) + "\n" + text;
        }
        return text;
    }

private:
    struct Node
    {
        LostCommitState state;
        std::uint32_t parent = 0;
        std::uint8_t subject = 0;
        const char *step = "";
    };
    struct Hash
    {
        const LostCommitSearch *search;
        std::size_t operator()(std::uint32_t at) const
        {
            const LostCommitState &state = search->m_nodes[at].state;
            return std::hash<std::string_view>()(
                    {reinterpret_cast<const char *>(&state), sizeof(state)});
        }
    };
    struct Equal
    {
        const LostCommitSearch *search;
        bool operator()(std::uint32_t one, std::uint32_t other) const
        {
            return search->m_nodes[one].state == search->m_nodes[other].state;
        }
    };

    void add(const LostCommitState &state, std::size_t parent, const char *step, std::size_t subject)
    {
        if (m_isLost || m_nodes.size() == MaxStates)
            return;
        m_nodes.push_back({state, static_cast<std::uint32_t>(parent),
                           static_cast<std::uint8_t>(subject), step});
        if (!m_known.insert(static_cast<std::uint32_t>(m_nodes.size() - 1)).second)
            m_nodes.pop_back();
        else
            inspect(state);
    }

    void inspect(const LostCommitState &state)
    {
        m_isLost = state.isLost != 0 && m_isCause(state);
        m_promotions += state.primary != 0 && state.primary != NoServer ? 1 : 0;
        m_answers += state.delivered != 0 ? 1 : 0;
    }

    const LostCommitModel m_model;
    const Cause m_isCause;
    std::vector<Node> m_nodes;
    std::unordered_set<std::uint32_t, Hash, Equal> m_known {1024, Hash {this}, Equal {this}};
    std::size_t m_promotions = 0;
    std::size_t m_answers = 0;
    bool m_isLost = false;
};

const LostCommitRules Today;
const LostCommitRules Complete {.keepsDeparted = true,
                                .coversByRecorded = true,
                                .holdsJoined = true,
                                .recordsWithoutOrders = true,
                                .confirms = true,
                                .confirmsRecordedWriter = true,
                                .callsOffAfterOrders = true,
                                .vouchesConnections = true};
const LostCommitRules DeparturesAlone {.keepsDeparted = true, .coversByRecorded = true};
const LostCommitRules JoinsAlone {.holdsJoined = true, .recordsWithoutOrders = true};
const LostCommitRules ConfirmAlone {.confirms = true};

LostCommitRules completeWithout(bool LostCommitRules::*rule)
{
    LostCommitRules rules = Complete;
    rules.*rule = false;
    return rules;
}

constexpr LostCommitBounds Departure {.departures = 1, .crashes = 1};
constexpr LostCommitBounds Join {.joins = 1, .crashes = 1};
constexpr LostCommitBounds JoinAndCut {.joins = 1, .cuts = 1};
constexpr LostCommitBounds DepartureAndJoin {.joins = 1,
                                             .departures = 1,
                                             .cuts = 1,
                                             .leaderChanges = 1};
constexpr LostCommitBounds CutAndCrash {.cuts = 1, .serverCrashes = 1};
constexpr LostCommitBounds DemotionAndCrash {.cuts = 1,
                                             .serverCrashes = 1,
                                             .restartsEndDemotions = true};
constexpr LostCommitBounds LateOrder {.tokens = 2};
constexpr LostCommitBounds LateOrderAndLeader {.tokens = 2, .joins = 1, .leaderChanges = 1};

bool hasLost(const LostCommitState & /*state*/)
{
    return true;
}

bool lacksDepartedLog(const LostCommitState &state)
{
    return state.hasDeparted != 0 && state.isDepartureKnown != 0;
}

// Returns whether the joiner had the lost commit, and the first primary, which wrote it.
bool hadJoinerLog(const LostCommitState &state)
{
    return state.holders == 0b1001;
}

bool lacksLogOfLateJoiner(const LostCommitState &state)
{
    return hadJoinerLog(state) && state.servers.back().known != 0
            && state.servers.back().member == 0;
}

bool lacksLogOfUnknownJoiner(const LostCommitState &state)
{
    return hadJoinerLog(state) && state.servers.back().known == 0;
}

// Returns whether no hold ended with a crash: the server that crashed is the first primary.
bool hasKeptHolds(const LostCommitState &state)
{
    return state.lastCrashed == 0;
}

// Sanitizers slow the search down several times, so sanitized builds skip the large rows.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool IsSanitized = true;
#else
constexpr bool IsSanitized = false;
#endif

struct LossRow
{
    const char *name;
    LostCommitRules rules;
    LostCommitBounds bounds;
    bool (*isCause)(const LostCommitState &) = hasLost;
    bool isLarge = false;
};

// Each row has to lose a commit; prints a shortest way to it.
void checkLosses(const std::vector<LossRow> &rows)
{
    for (const LossRow &row : rows) {
        if (row.isLarge && IsSanitized)
            continue;
        CAPTURE(row.name);
        LostCommitSearch search(row.rules, row.bounds, row.isCause);
        const bool isLost = search.run();
        CHECK(isLost);
        if (isLost)
            std::printf("lost commits, %s: after %zu states\n%s", row.name, search.states(),
                        search.trace().c_str());
    }
}

struct SafeRow
{
    const char *name;
    LostCommitRules rules;
    LostCommitBounds bounds;
    bool isLarge = false;
};

// No row may lose a commit in any reachable state.
void checkSafe(const std::vector<SafeRow> &rows)
{
    for (const SafeRow &row : rows) {
        if (row.isLarge && IsSanitized)
            continue;
        CAPTURE(row.name);
        LostCommitSearch search(row.rules, row.bounds, hasLost);
        const bool isLost = search.run();
        CHECK_MESSAGE(!isLost, search.trace());
        CHECK(search.states() < MaxStates);
        CHECK(search.promotions() > 0);
        CHECK(search.answers() > 0);
        std::printf("lost commits, %s: none in %zu states\n", row.name, search.states());
    }
}

} // namespace

// Guards the search itself: it has to find the three ways in which acknowledged commits were lost.
TEST_CASE("today's rules lose answered commits in three ways")
{
    checkLosses({
            {"the only replica with the commit departed", Today, Departure, lacksDepartedLog},
            {"a replica joined after the fence", Today, Join, lacksLogOfLateJoiner},
            {"a replica joined and was never known", Today, JoinAndCut, lacksLogOfUnknownJoiner},
    });
}

// Guards the proof: a rule that the search doesn't need would prove nothing.
TEST_CASE("each part alone, and all without one rule, lose answered commits")
{
    using Rules = LostCommitRules;
    checkLosses({
            {"departures alone", DeparturesAlone, Join},
            {"joins alone", JoinsAlone, Departure},
            {"confirmation alone", ConfirmAlone, Departure},
            {"without departures", completeWithout(&Rules::keepsDeparted), Departure},
            {"covered by a server that isn't recorded", completeWithout(&Rules::coversByRecorded),
             DepartureAndJoin, hasLost, true},
            {"recorded during an order", completeWithout(&Rules::recordsWithoutOrders), Join},
            {"without confirmation", completeWithout(&Rules::confirms), JoinAndCut},
            {"written by a server that isn't recorded",
             completeWithout(&Rules::confirmsRecordedWriter), LateOrderAndLeader, hasLost, true},
            {"called off beside an older order", completeWithout(&Rules::callsOffAfterOrders),
             LateOrder},
            {"a held replica crashes and starts again", completeWithout(&Rules::vouchesConnections),
             CutAndCrash},
            {"a demoted primary starts again and leads",
             completeWithout(&Rules::vouchesConnections), DemotionAndCrash, hasKeptHolds},
    });
}

// Guards against lost commits that were answered; the name of each row is what may happen in it.
TEST_CASE("all rules together lose no answered commit in any reachable state")
{
    checkSafe({
            {"a departure and a crash", Complete, Departure},
            {"a join and a crash", Complete, Join},
            {"a join and a cut", Complete, JoinAndCut},
            {"two orders, a departure, a cut and a crash",
             Complete,
             {.tokens = 2, .departures = 1, .cuts = 1, .crashes = 1}},
            {"two orders, a join and a cut", Complete, {.tokens = 2, .joins = 1, .cuts = 1}, true},
            {"two commits, two orders, a departure and a cut",
             Complete,
             {.commits = 2, .tokens = 2, .departures = 1, .cuts = 1},
             true},
            {"two commits, a departure, a join and a crash",
             Complete,
             {.commits = 2, .joins = 1, .departures = 1, .crashes = 1},
             true},
            {"servers that start again under new ids",
             Complete,
             {.joins = 1, .cuts = 1, .crashes = 1, .startsUnderNewId = true},
             true},
    });
}

// Guards against lost commits that were answered, over a change of the control leader.
TEST_CASE("all rules together lose no answered commit when another control VM leads")
{
    checkSafe({
            {"a departure, a join, a cut and another control leader", Complete, DepartureAndJoin,
             true},
            {"two orders and another control leader", Complete, {.tokens = 2, .leaderChanges = 1}},
            {"two orders, a join and another control leader", Complete, LateOrderAndLeader, true},
    });
}

// Guards against answered commits that are lost when a server crashes and starts again with its log
// between its hold and the promotion, or at any other moment.
TEST_CASE("all rules together lose no answered commit when servers crash and start again")
{
    checkSafe({
            {"a held replica starts again under its id", Complete, {.cuts = 1, .restarts = 1}},
            {"a cut and a crash of any server", Complete, CutAndCrash},
            {"a cut and a crash that ends a demotion", Complete, DemotionAndCrash},
            {"two commits, a cut and two crashes",
             Complete,
             {.commits = 2, .cuts = 1, .serverCrashes = 2, .restartsEndDemotions = true},
             true},
            {"two orders, a cut and two crashes",
             Complete,
             {.tokens = 2, .cuts = 1, .serverCrashes = 2, .restartsEndDemotions = true},
             true},
            {"two orders, a cut, a crash and another control leader",
             Complete,
             {.tokens = 2, .cuts = 1, .serverCrashes = 1, .leaderChanges = 1},
             true},
            {"a departure, a cut and a crash",
             Complete,
             {.departures = 1, .cuts = 1, .serverCrashes = 1},
             true},
            {"a join, a cut and a crash",
             Complete,
             {.joins = 1, .cuts = 1, .serverCrashes = 1, .restartsEndDemotions = true},
             true},
    });
}

// Guards the page's statement that holds after the order serve the callers, not the invariant.
TEST_CASE("no answered commit is lost when joined servers aren't held")
{
    const LostCommitRules rules = completeWithout(&LostCommitRules::holdsJoined);
    checkSafe({
            {"not held: a join and a crash", rules, Join},
            {"not held: a join and a cut", rules, JoinAndCut},
            {"not held: a departure, a join, a cut and another control leader", rules,
             DepartureAndJoin, true},
    });
}

// Guards the page's list of what the rules don't cover.
TEST_CASE("the known limits lose answered commits")
{
    checkLosses({
            {"limit: a departed server still receives",
             Complete,
             {.departures = 1, .departsBeforeExit = true}},
            {"limit: holds older than the last moment of an older order",
             Complete,
             {.tokens = 2, .holdsDuringOlderOrders = true}},
    });
}
