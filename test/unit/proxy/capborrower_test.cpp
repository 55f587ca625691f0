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
        std::vector<LoanHistory> reports;
    };

    BorrowerFixture()
    {
        borrower.setCandidates({{{"10.0.0.1", 1}, Other},
                                {{"10.0.0.2", 1}, Own},
                                {{"10.0.0.3", 1}, Own}},
                               now);
        WorkspaceTable table;
        table.add({Casks, 1, {10, 10}}, {});
        borrower.setWorkspaces(table);
        borrower.setEntryCount(4);
    }
    bool isReachable(const Endpoint &lender) override { return unreachable.count(lender) == 0; }
    void requestLoan(const Endpoint &lender, const WorkspaceName & /*workspace*/, LenderRole role,
                     int wanted, const std::vector<LoanHistory> &reports) override
    {
        requests.push_back({lender, role, wanted, reports});
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
    // Lists the homes again, without this one.
    void listAllBut(const Endpoint &home)
    {
        std::vector<CapLenderCandidate> others;
        for (const char *address : {"10.0.0.1", "10.0.0.2", "10.0.0.3"}) {
            if (address != home.address)
                others.push_back({{address, 1}, Own});
        }
        borrower.setCandidates(others, now);
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
    other.borrower.setCandidates({{{"10.0.0.3", 1}, Other},
                                  {{"10.0.0.1", 1}, Own},
                                  {{"10.0.0.2", 1}, Other}},
                                 other.now);
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
        fixture.borrower.answered(owner, Casks, LenderRole::Owner, {2, {}}, fixture.now);
        CHECK(fixture.loans.empty());
        fixture.borrower.answered(standIn, Casks, LenderRole::StandIn, {2, {}}, fixture.now);
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
        borrower.setCandidates(everywhere, fixture.now);
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

// With lenders that only this entry can't reach, its own share would be lent beside theirs.
TEST_CASE("without any lender an entry starts no more than its own share")
{
    struct Row
    {
        const char *what;
        bool areLendersListed;
        int least;
        int most;
    };
    // Two windows, of which the first one begins from nothing.
    const Row rows[] = {
            {"no lender is known: a quarter of 80 operations", false, 38, 40},
            {"none can be reached: a quarter of the entries' part of the reserve, 2.5", true, 0, 1},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        BorrowerFixture fixture;
        fixture.borrower.setRule({5000ms, 0, 20});
        if (!row.areLendersListed)
            fixture.borrower.setCandidates({}, fixture.now);
        fixture.unreachable = {{"10.0.0.1", 1}, {"10.0.0.2", 1}, {"10.0.0.3", 1}};
        int granted = 0;
        for (int step = 0; step < 1000; ++step) {
            fixture.borrower.borrow(Casks, 1, fixture.now);
            CHECK(fixture.loans.size() == static_cast<std::size_t>(step));
            fixture.advanceTime(10ms);
            REQUIRE(fixture.loans.size() == static_cast<std::size_t>(step + 1));
            granted += fixture.loans.back().granted;
        }
        CHECK(granted >= row.least);
        CHECK(granted <= row.most);
        CHECK(fixture.requests.empty());
    }
}

// Guards against two owners of one workspace while entries have different lists of lenders.
TEST_CASE("an owner that is listed no longer goes on being used while it answers")
{
    BorrowerFixture fixture;
    fixture.borrower.borrow(Casks, 1, fixture.now);
    const Endpoint owner = fixture.requests.back().lender;
    fixture.borrower.answered(owner, Casks, LenderRole::Owner, {1, {}}, fixture.now);
    fixture.listAllBut(owner);
    CHECK((fixture.borrower.unlistedLenders() == std::set<Endpoint> {owner}));
    fixture.borrower.borrow(Casks, 1, fixture.now);
    CHECK((fixture.requests.back().lender == owner));
    fixture.unreachable.insert(owner);
    fixture.borrower.borrow(Casks, 1, fixture.now);
    CHECK((fixture.requests.back().lender != owner));
    CHECK((fixture.requests.back().role == LenderRole::Owner));
    CHECK(fixture.borrower.unlistedLenders().empty());
}

// Guards against a home that takes a lender of long ago for the owner, and lends little beside it.
TEST_CASE("an owner that is listed no longer is forgotten, also without requests")
{
    BorrowerFixture fixture;
    fixture.borrower.borrow(Casks, 1, fixture.now);
    const Endpoint owner = fixture.requests.back().lender;
    fixture.borrower.answered(owner, Casks, LenderRole::Owner, {1, {}}, fixture.now);
    fixture.listAllBut(owner);
    CHECK((fixture.borrower.ownerOf(Casks, fixture.now) == owner));
    fixture.advanceTime(11s);
    CHECK(fixture.borrower.unlistedLenders().empty());
    CHECK((fixture.borrower.ownerOf(Casks, fixture.now) != owner));
}

TEST_CASE("an owner that a lender names is kept while a connection to it is being opened")
{
    BorrowerFixture fixture;
    const Endpoint named {"10.0.0.9", 1};
    fixture.unreachable.insert(named);
    fixture.borrower.borrow(Casks, 3, fixture.now);
    CapLoan refusal;
    refusal.owner = named;
    fixture.borrower.answered(fixture.requests.back().lender, Casks, LenderRole::Owner, refusal,
                              fixture.now);
    REQUIRE(fixture.requests.size() == 2);
    CHECK((fixture.requests.back().role == LenderRole::StandIn));
    fixture.advanceTime(30ms);
    CHECK((fixture.borrower.unlistedLenders() == std::set<Endpoint> {named}));
    fixture.advanceTime(2s);
    CHECK(fixture.borrower.unlistedLenders().empty());
}

TEST_CASE("an entry asks the owner that a lender names, once for each request")
{
    BorrowerFixture fixture;
    const Endpoint unlisted {"10.0.0.9", 1};
    fixture.borrower.borrow(Casks, 3, fixture.now);
    const Endpoint first = fixture.requests.back().lender;
    CapLoan refusal;
    refusal.owner = unlisted;
    fixture.borrower.answered(first, Casks, LenderRole::Owner, refusal, fixture.now);
    REQUIRE(fixture.requests.size() == 2);
    CHECK((fixture.requests.back().lender == unlisted));
    CHECK(fixture.requests.back().wanted == 3);
    refusal.owner = first;
    fixture.borrower.answered(unlisted, Casks, LenderRole::Owner, refusal, fixture.now);
    CHECK(fixture.requests.size() == 2);
    CHECK(fixture.loans.size() == 1);
}

TEST_CASE("what a lender lent is reported to the next one, once, and again to one that may be new")
{
    BorrowerFixture fixture;
    fixture.borrower.borrow(Casks, 1, fixture.now);
    const Endpoint owner = fixture.requests.back().lender;
    CapLoan loan {1, {}};
    loan.history = {77, {1, 4}, {}};
    fixture.borrower.answered(owner, Casks, LenderRole::Owner, loan, fixture.now);
    fixture.borrower.borrow(Casks, 1, fixture.now);
    CHECK(fixture.requests.back().reports.empty());
    fixture.advanceTime(100ms); // no answer
    REQUIRE(fixture.requests.back().role == LenderRole::StandIn);
    CHECK(fixture.requests.back().reports == std::vector<LoanHistory> {{77, {1, 4}, 100ms}});
    fixture.borrower.answered(fixture.requests.back().lender, Casks, LenderRole::StandIn, {1, {}},
                              fixture.now);
    fixture.borrower.lenderLost(owner);
    fixture.borrower.borrow(Casks, 1, fixture.now);
    REQUIRE((fixture.requests.back().lender == owner));
    CHECK(fixture.requests.back().reports.size() == 1);
    fixture.advanceTime(6s);
    fixture.borrower.borrow(Casks, 1, fixture.now);
    CHECK(fixture.requests.back().reports.empty()); // it has left the window
}

// Guards against a lender that takes itself for the owner beside one that is still running, since
// it never borrowed the workspace's operations there.
TEST_CASE("a reachable owner that is listed no longer stays the owner though it was never used")
{
    BorrowerFixture fixture;
    const Endpoint owner = *fixture.borrower.ownerOf(Casks, fixture.now);
    fixture.listAllBut(owner);
    fixture.advanceTime(9s);
    CHECK((fixture.borrower.ownerOf(Casks, fixture.now) == owner));
    fixture.advanceTime(2s);
    CHECK((fixture.borrower.ownerOf(Casks, fixture.now) != owner));
    CHECK((fixture.borrower.ownerSince(Casks, fixture.now) == fixture.now));
    fixture.advanceTime(6s);
    CHECK((fixture.borrower.ownerSince(Casks, fixture.now) == TimePoint()));
}

// Guards against a new run or a new owner that lends all again, since the first entry to come had
// no loans to report.
TEST_CASE("loans are reported without a request to an owner that is new or was restarted")
{
    for (const bool isRestart : {true, false}) {
        CAPTURE(isRestart);
        BorrowerFixture fixture;
        fixture.borrower.borrow(Casks, 1, fixture.now);
        const Endpoint owner = fixture.requests.back().lender;
        CapLoan loan {1, {}};
        loan.history = {77, {5}, {}};
        fixture.borrower.answered(owner, Casks, LenderRole::Owner, loan, fixture.now);
        fixture.unreachable.insert(owner);
        fixture.borrower.lenderLost(owner);
        if (isRestart) {
            fixture.advanceTime(100ms);
            CHECK(fixture.requests.size() == 1);
            CHECK(fixture.borrower.wakeAt() <= fixture.now + 50ms);
            fixture.unreachable.clear();
        } else {
            fixture.listAllBut(owner);
        }
        fixture.advanceTime(100ms);
        REQUIRE(fixture.requests.size() == 2);
        const Endpoint told = fixture.requests.back().lender;
        CHECK((told == owner) == isRestart);
        CHECK(fixture.requests.back().wanted == 0);
        REQUIRE(fixture.requests.back().reports.size() == 1);
        CHECK(fixture.requests.back().reports[0].lender == 77);
        fixture.advanceTime(100ms);
        CHECK(fixture.requests.size() == 2);
        // The answer to the report arrives when operations were requested too.
        fixture.borrower.borrow(Casks, 2, fixture.now);
        fixture.borrower.answered(told, Casks, LenderRole::Owner, {0, {}}, fixture.now);
        CHECK(fixture.loans.size() == 1);
        fixture.borrower.answered(told, Casks, LenderRole::Owner, {2, {}}, fixture.now);
        CHECK(fixture.loans.size() == 2);
    }
}

TEST_CASE("a lender that doesn't know the workspace is passed over")
{
    BorrowerFixture fixture;
    fixture.borrower.borrow(Casks, 1, fixture.now);
    CapLoan unable;
    unable.isUnable = true;
    fixture.borrower.answered(fixture.requests.back().lender, Casks, LenderRole::Owner, unable,
                              fixture.now);
    CHECK(fixture.requests.size() == 2);
    CHECK((fixture.requests.back().role == LenderRole::StandIn));
    CHECK(fixture.loans.empty());
}

TEST_CASE("an answer that nobody waits for is ignored")
{
    BorrowerFixture fixture;
    fixture.borrower.answered({"10.0.0.1", 1}, Casks, LenderRole::Owner, {5, {}}, fixture.now);
    CHECK(fixture.loans.empty());
    fixture.borrower.borrow(Casks, 1, fixture.now);
    fixture.borrower.answered(fixture.requests.back().lender, Casks, LenderRole::Owner, {5, {}},
                              fixture.now);
    CHECK(fixture.loans.empty()); // more than was asked for
}
