#include "nutmegtide/proxy/capborrower.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace nutmegtide;

namespace {

const WorkspaceName Casks("casks");

const FailureDomain Own("east");
const FailureDomain Other("west");

// Records the requests of a CapBorrower among three homes, of which "10.0.0.2" and "10.0.0.3" are
// in its own failure domain.
struct BorrowerFixture : CapBorrowerDelegate
{
    struct Request
    {
        Endpoint lender;
        LenderRole role = LenderRole::Owner;
        int wanted = 0;
    };

    BorrowerFixture()
    {
        borrower.setCandidates(
                {{{"10.0.0.1", 1}, Other}, {{"10.0.0.2", 1}, Own}, {{"10.0.0.3", 1}, Own}});
        WorkspaceTable table;
        table.add({Casks, 1, {10, 10}}, {});
        borrower.setWorkspaces(table);
        borrower.setEntryCount(4);
    }
    bool isReachable(const Endpoint &lender) override { return unreachable.count(lender) == 0; }
    void requestLoan(const Endpoint &lender, const WorkspaceName & /*workspace*/, LenderRole role,
                     int wanted) override
    {
        requests.push_back({lender, role, wanted});
    }
    void lent(const WorkspaceName & /*workspace*/, const CapLoan &loan) override
    {
        loans.push_back(loan);
    }
    void advanceTime(Duration time)
    {
        now += time;
        borrower.tick(now);
    }

    std::set<Endpoint> unreachable;
    std::vector<Request> requests;
    std::vector<CapLoan> loans;
    TimePoint now {10s};
    CapBorrower borrower {*this, Own};
};

} // namespace

TEST_CASE("all entries that know the same homes ask the same owner")
{
    BorrowerFixture one;
    BorrowerFixture other;
    other.borrower.setCandidates(
            {{{"10.0.0.3", 1}, Other}, {{"10.0.0.1", 1}, Own}, {{"10.0.0.2", 1}, Other}});
    std::set<Endpoint> owners;
    for (int i = 0; i < 50; ++i) {
        const WorkspaceName workspace("w" + std::to_string(i));
        one.borrower.borrow(workspace, 1, one.now);
        other.borrower.borrow(workspace, 1, other.now);
        CHECK((one.requests.back().lender == other.requests.back().lender));
        owners.insert(one.requests.back().lender);
    }
    CHECK(owners.size() == 3);
}

TEST_CASE("an owner that doesn't answer is replaced by a stand-in of the own failure domain")
{
    for (const bool isReachable : {true, false}) {
        CAPTURE(isReachable);
        BorrowerFixture fixture;
        fixture.borrower.borrow(Casks, 2, fixture.now);
        const Endpoint owner = fixture.requests.back().lender;
        if (!isReachable)
            fixture.unreachable.insert(owner);
        fixture.advanceTime(isReachable ? 60ms : 1ms);
        REQUIRE(fixture.requests.size() == 2);
        CHECK((fixture.requests.back().role == LenderRole::StandIn));
        const Endpoint standIn = fixture.requests.back().lender;
        CHECK((standIn != owner));
        CHECK(standIn.address != "10.0.0.1");
        // The owner's late answer would be used beside the stand-in's.
        fixture.borrower.answered(owner, Casks, LenderRole::Owner, {2, {}});
        CHECK(fixture.loans.empty());
        fixture.borrower.answered(standIn, Casks, LenderRole::StandIn, {2, {}});
        CHECK(fixture.loans == std::vector<CapLoan> {{2, {}}});
    }
}

// Pattern: entries that a cut separates from some homes, or whose own failure domain has no home,
// went straight to their own small share and refused callers that were far below the cap.
TEST_CASE("stand-ins of other failure domains lend where the own one can't be reached or has none")
{
    const FailureDomain third("north");
    const std::vector<CapLenderCandidate> everywhere {{{"10.0.0.1", 1}, Other},
                                                      {{"10.0.0.2", 1}, Own},
                                                      {{"10.0.0.3", 1}, third},
                                                      {{"10.0.0.4", 1}, Other},
                                                      {{"10.0.0.5", 1}, Own},
                                                      {{"10.0.0.6", 1}, third}};
    for (const FailureDomain &own : {Own, Other, third, FailureDomain("south")}) {
        CAPTURE(own.text());
        BorrowerFixture fixture;
        CapBorrower borrower(fixture, own);
        borrower.setCandidates(everywhere);
        borrower.borrow(Casks, 1, fixture.now);
        std::set<FailureDomain> asked;
        for (std::size_t next = 1; next <= 3; ++next) {
            fixture.unreachable.insert(fixture.requests.back().lender);
            borrower.tick(fixture.now);
            REQUIRE(fixture.requests.size() == next + 1);
            CHECK((fixture.requests.back().role == LenderRole::StandIn));
            const auto standIn = std::find_if(everywhere.begin(), everywhere.end(),
                                              [&fixture](const CapLenderCandidate &candidate) {
                                                  return candidate.at
                                                          == fixture.requests.back().lender;
                                              });
            // All entries use the same stand-in of a failure domain, as it lends the domain's share.
            CHECK(asked.insert(standIn->failureDomain).second);
            const bool hasOwn = own.text() != "south";
            CHECK((standIn->failureDomain == own) == (hasOwn && next == 1));
        }
        fixture.unreachable.insert(fixture.requests.back().lender);
        borrower.tick(fixture.now);
        CHECK(fixture.requests.size() == 4);
        CHECK(fixture.loans.size() == 1); // of the own share
    }
}

TEST_CASE("without any lender an entry starts no more than its own share")
{
    BorrowerFixture fixture;
    fixture.unreachable = {{"10.0.0.1", 1}, {"10.0.0.2", 1}, {"10.0.0.3", 1}};
    int granted = 0;
    for (int step = 0; step < 1000; ++step) {
        fixture.borrower.borrow(Casks, 1, fixture.now);
        CHECK(fixture.loans.size() == static_cast<std::size_t>(step));
        fixture.advanceTime(10ms);
        REQUIRE(fixture.loans.size() == static_cast<std::size_t>(step + 1));
        granted += fixture.loans.back().granted;
    }
    CHECK(granted >= 28);
    CHECK(granted <= 30); // two windows of a quarter of 60 operations
    CHECK(fixture.requests.empty());
}

TEST_CASE("an answer that nobody waits for is ignored")
{
    BorrowerFixture fixture;
    fixture.borrower.answered({"10.0.0.1", 1}, Casks, LenderRole::Owner, {5, {}});
    CHECK(fixture.loans.empty());
    fixture.borrower.borrow(Casks, 1, fixture.now);
    fixture.borrower.answered(fixture.requests.back().lender, Casks, LenderRole::Owner, {5, {}});
    CHECK(fixture.loans.empty()); // more than was asked for
}
