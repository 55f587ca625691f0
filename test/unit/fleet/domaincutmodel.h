#pragma once

#include "nutmegtide/fleet/domainreachability.h"

#include <algorithm>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace nutmegtide::test {

// Simulates a failure domain's entry VMs behind a load balancer, in virtual time of 10 ms steps.
//
// Each VM sends statements to VMs of other failure domains, which answer within 40 ms; an answer is
// overdue after 100 ms. A warning reaches the other VMs of the domain one step later.
// The balancer checks each VM once a second, each at a different phase, and
// takes a VM out of rotation after two refusals in a row. Once none is left, it sends callers to
// other failure domains.
//
//   DomainCutModel model({33, 5.0}, seed);
//   model.cutFrom(10s, 15s);
//   const auto leftAt = model.run(20s);
class DomainCutModel
{
public:
    struct Size
    {
        int entries = 0;
        double statementsPerSecond = 0; // of each entry, to other failure domains
        int peers = 20; // VMs of other failure domains that each entry is connected to
    };

    DomainCutModel(const Size &size, unsigned seed)
        : m_size(size)
        , m_generator(seed)
    {
        for (int i = 0; i < size.entries; ++i) {
            Entry entry;
            entry.checkPhase = Duration(std::chrono::milliseconds(uniform(0, 99) * 10));
            m_entries.push_back(entry);
        }
    }

    void cutFrom(Duration from, Duration until) { m_cut = {from, until}; }
    // Stalls this share of the other domains' VMs for the span.
    void stallPeers(double share, Duration from, Duration until)
    {
        m_stalledShare = share;
        m_stalled = {from, until};
    }
    // Loses this share of all requests and answers, which arrive one retransmission later.
    void loseMessages(double share) { m_lossShare = share; }

    // Returns when the balancer had no entry VM of the domain left; nothing if it always had one.
    std::optional<Duration> run(Duration length)
    {
        for (m_now = Step; m_now < length; m_now += Step) {
            const bool isWarned = std::exchange(m_isWarned, false);
            for (Entry &entry : m_entries)
                step(entry, isWarned);
            const bool isAnyIn = std::any_of(m_entries.begin(), m_entries.end(),
                                             [](const Entry &entry) { return entry.misses < 2; });
            if (!isAnyIn)
                return m_now;
        }
        return std::nullopt;
    }

    // The number of probes that all entry VMs sent in run().
    long probeCount() const { return m_probeCount; }

private:
    static constexpr Duration Step = 10ms;
    static constexpr int Few = 4; // VMs that are probed first
    static constexpr Duration Overdue = 100ms;
    static constexpr Duration Retransmission = 200ms;

    struct Span
    {
        Duration from {};
        Duration until {};
        bool holds(Duration moment) const { return moment >= from && moment < until; }
    };
    struct Entry
    {
        DomainReachability reach;
        Duration checkPhase {};
        int misses = 0;
        std::vector<Duration> answersAt; // when pending answers arrive
        std::vector<Duration> overdueAt; // when answers that are lost or late become overdue
    };

    int uniform(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_generator);
    }
    bool happens(double share) { return std::bernoulli_distribution(share)(m_generator); }

    // Sends one request to one VM of another failure domain.
    void sendRequest(Entry &entry)
    {
        const bool isLost = m_cut.holds(m_now)
                || (m_stalled.holds(m_now) && happens(m_stalledShare));
        if (isLost) {
            entry.overdueAt.push_back(m_now + Overdue);
            return;
        }
        const Duration extra = happens(m_lossShare) ? Retransmission : Duration();
        entry.answersAt.push_back(m_now + std::chrono::milliseconds(uniform(1, 4) * 10) + extra);
        if (extra > Overdue)
            entry.overdueAt.push_back(m_now + Overdue);
    }

    void sendProbes(Entry &entry, DomainReachability::ProbeTargets targets, TimePoint now)
    {
        const bool isAll = targets == DomainReachability::ProbeTargets::All;
        const int count = isAll ? m_size.peers : std::min(Few, m_size.peers);
        for (int i = 0; i < count; ++i)
            sendRequest(entry);
        m_isWarned = m_isWarned || isAll;
        m_probeCount += count;
        entry.reach.noteProbesSent(targets, static_cast<std::size_t>(count), now);
    }

    void step(Entry &entry, bool isWarned)
    {
        const TimePoint now = TimePoint(100s) + m_now;
        if (happens(m_size.statementsPerSecond * std::chrono::duration<double>(Step).count()))
            sendRequest(entry);
        const auto isDue = [this](Duration moment) { return moment <= m_now; };
        if (std::erase_if(entry.answersAt, isDue) > 0 && !m_cut.holds(m_now))
            entry.reach.noteAlive(now);
        if (std::erase_if(entry.overdueAt, isDue) > 0)
            entry.reach.noteOverdueAnswer(now);
        if (isWarned)
            entry.reach.noteWarning(now);
        const DomainReachability::ProbeTargets targets = entry.reach.dueProbes(now);
        if (targets != DomainReachability::ProbeTargets::None)
            sendProbes(entry, targets, now);
        const bool isChecked = (m_now - entry.checkPhase) % Duration(1s) == Duration();
        if (isChecked)
            entry.misses = entry.reach.isCutOff(now) ? entry.misses + 1 : 0;
    }

    const Size m_size;
    std::mt19937 m_generator;
    std::vector<Entry> m_entries;
    Span m_cut;
    Span m_stalled;
    double m_stalledShare = 0;
    double m_lossShare = 0;
    Duration m_now {};
    bool m_isWarned = false;
    long m_probeCount = 0;
};

} // namespace nutmegtide::test
