#include "serve/controllog.h"

#include "base/bootclock.h"
#include "base/log.h"
#include "serve/raftwire.h"

#include <iomanip>
#include <sstream>

namespace nutmegtide {

namespace {

// While no majority stores entries, they are kept in memory and on the disk. A single larger
// entry is still taken.
constexpr std::size_t MaxUncommittedBytes = 16 * 1024 * 1024;

std::uint64_t stampOf(TimePoint time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

TimePoint timeOf(std::uint64_t stamp)
{
    return TimePoint(Duration(static_cast<Duration::rep>(stamp)));
}

std::string makeFolderId()
{
    std::random_device device;
    std::ostringstream text;
    text << std::hex << std::setfill('0');
    for (int part = 0; part < 4; ++part)
        text << std::setw(8) << device();
    return text.str();
}

} // namespace

ControlLog::ControlLog(const NodeSettings &settings, const Directory &directory, PeerClients &peers,
                       Recorder &recorder, const RaftTimings &timings)
    : m_settings(settings)
    , m_directory(directory)
    , m_peers(peers)
    , m_recorder(recorder)
    , m_timings(timings)
    , m_charts(ChartLibrary::embedded())
{ }

ControlLog::~ControlLog()
{
    stop();
}

void ControlLog::registerMachine(CommandKind kind, StateMachine &machine)
{
    m_machines[kind] = &machine;
}

void ControlLog::start()
{
    m_disk = std::make_unique<PosixDisk>(m_settings.dataDir + "/control");
    m_store = std::make_unique<FileLogStorage>(*m_disk, makeFolderId());
    m_writer = std::make_unique<LogWriter>(m_settings.name, *m_store, m_recorder);
    StoredLog stored = m_store->load();
    EventFields fields;
    fields.term = stored.vote.term;
    fields.details = {{"entries", std::to_string(stored.entries.size())},
                      {"snapshot", std::to_string(stored.snapshot.index)},
                      {"cut_bytes", std::to_string(stored.truncatedBytes)},
                      {"folder", stored.folder},
                      {"new", stored.isNew ? "yes" : "no"}};
    m_recorder.record(EventKind::LogRecovered, fields);
    m_folder = stored.folder;
    m_applied = stored.snapshot.index;
    if (m_applied > 0)
        restoreMachines(stored.snapshot.state);
    m_node = std::make_unique<RaftNode>(m_settings.name, std::move(stored), m_settings.control,
                                        m_charts.chart("control_role"), m_timings,
                                        std::minstd_rand(std::random_device()()), Clock::now());
    publish();
    m_isStopped = false;
    m_thread = std::thread([this] { run(); });
}

void ControlLog::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
    m_senders.clear();
}

void ControlLog::post(Input input)
{
    const std::lock_guard lock(m_mutex);
    if (!m_isStopped)
        m_inputs.push_back(std::move(input));
    m_changed.notify_all();
}

void ControlLog::receive(const std::vector<wire::RaftMessage> &messages)
{
    std::optional<FolderMismatchError> refusal;
    for (const wire::RaftMessage &message : messages) {
        RaftMessage taken = fromWire(message);
        if (!refusal)
            refusal = folderRefusal(taken);
        post([this, taken = std::move(taken)] { perform(m_node->receive(taken, Clock::now())); });
    }
    if (refusal)
        throw *refusal;
}

// The node drops what such a sender says; the refusal is for the operators of the sender.
std::optional<FolderMismatchError> ControlLog::folderRefusal(const RaftMessage &message) const
{
    const std::lock_guard lock(m_mutex);
    const ControlMember *member = findFolderMismatch(m_status.members, message);
    if (!member)
        return std::nullopt;
    return FolderMismatchError(message.sender.text() + " is a control member with data folder "
                               + member->folder + ", not " + message.folder);
}

// One VM that takes this one's messages ends the refusal: the others may hear from it no more,
// since a follower answers its leader only.
void ControlLog::noteFolderAnswer(const VmName &peer,
                                  const std::optional<FolderMismatchError> &refusal)
{
    bool isFirst = false;
    {
        const std::lock_guard lock(m_mutex);
        isFirst = refusal && m_folderRefusals.empty();
        if (refusal)
            m_folderRefusals[peer] = refusal->what();
        else
            m_folderRefusals.clear();
    }
    if (isFirst)
        logEvent(LogLevel::Error, "control_folder_refused", {m_settings.name},
                 {{"by", peer.text()}, {"reason", refusal->what()}});
}

std::map<VmName, std::string> ControlLog::folderRefusals() const
{
    const std::lock_guard lock(m_mutex);
    return m_folderRefusals;
}

bool ControlLog::isLeader() const
{
    const std::lock_guard lock(m_mutex);
    return m_isLeader;
}

VmName ControlLog::leader() const
{
    return status().leader;
}

RaftStatus ControlLog::status() const
{
    const std::lock_guard lock(m_mutex);
    return m_status;
}

std::uint64_t ControlLog::propose(const Command &command, std::chrono::milliseconds timeout)
{
    std::future<std::uint64_t> result;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopped || !m_isLeader)
            throw NotLeaderError(m_settings.name.text() + " doesn't lead the control log",
                                 m_status.leader);
        Proposal proposal {command, {}};
        result = proposal.result.get_future();
        m_proposals.push_back(std::move(proposal));
    }
    m_changed.notify_all();
    if (result.wait_for(timeout) != std::future_status::ready)
        throw ProposalUnknownError("no majority of control VMs confirmed the entry in time");
    return result.get();
}

void ControlLog::changeMembers(std::function<RaftActions()> change)
{
    const auto done = std::make_shared<std::promise<void>>();
    std::future<void> result = done->get_future();
    post([this, done, change = std::move(change)] {
        try {
            perform(change());
            done->set_value();
        } catch (const Error &) {
            done->set_exception(std::current_exception());
        }
    });
    if (result.wait_for(m_timings.maxElectionTimeout) != std::future_status::ready)
        throw ProposalUnknownError("the control log doesn't answer");
    result.get();
}

void ControlLog::addMember(const ControlMember &member)
{
    changeMembers([this, member] { return m_node->addMember(member); });
}

void ControlLog::removeMember(const VmName &vm)
{
    changeMembers([this, vm] { return m_node->removeMember(vm); });
}

void ControlLog::run()
{
    try {
        std::unique_lock lock(m_mutex);
        while (!m_isStopping) {
            const TimePoint due = std::min(m_node->deadline(), m_writer->dueAt());
            m_changed.wait_until(lock, due, [this] {
                return m_isStopping || !m_inputs.empty() || !m_proposals.empty();
            });
            const std::vector<Input> inputs = std::exchange(m_inputs, {});
            std::vector<Proposal> proposals = std::exchange(m_proposals, {});
            lock.unlock();
            m_node->setStamp(stampOf(bootTime()));
            for (const Input &input : inputs)
                input();
            takeProposals(std::move(proposals));
            perform(m_node->tick(Clock::now()));
            flushWrites();
            publish();
            lock.lock();
        }
    } catch (const Error &fault) {
        logEvent(LogLevel::Error, "control_log_stopped", {m_settings.name},
                 {{"reason", fault.what()}});
    }
    failAll("the control log has stopped");
}

void ControlLog::failWaiters(WaiterIterator first, WaiterIterator last,
                             const std::exception_ptr &fault)
{
    for (auto waiter = first; waiter != last; ++waiter)
        waiter->second.result.set_exception(fault);
    m_waiters.erase(first, last);
}

std::vector<ControlLog::Proposal> ControlLog::admit(std::vector<Proposal> proposals)
{
    std::size_t waiting = m_node->uncommittedBytes();
    std::vector<Proposal> admitted;
    for (Proposal &proposal : proposals) {
        const std::size_t size = proposal.command.payload.size();
        if (waiting > 0 && waiting + size > MaxUncommittedBytes) {
            proposal.result.set_exception(std::make_exception_ptr(
                    ProposalRefusedError("too many bytes wait for a majority of control VMs")));
            continue;
        }
        waiting += size;
        admitted.push_back(std::move(proposal));
    }
    if (admitted.size() < proposals.size())
        logEvent(LogLevel::Warning, "control_proposals_refused", {m_settings.name},
                 {{"count", std::to_string(proposals.size() - admitted.size())},
                  {"uncommitted_bytes", std::to_string(waiting)}});
    return admitted;
}

void ControlLog::takeProposals(std::vector<Proposal> proposals)
{
    if (!proposals.empty() && m_node->isLeader())
        proposals = admit(std::move(proposals));
    if (proposals.empty())
        return;
    const LogIndex before = m_node->lastIndex();
    std::vector<Command> commands;
    for (const Proposal &proposal : proposals)
        commands.push_back(proposal.command);
    RaftActions actions;
    try {
        actions = m_node->propose(commands);
    } catch (const NotLeaderError &) {
        for (Proposal &proposal : proposals)
            proposal.result.set_exception(std::current_exception());
        return;
    }
    LogIndex index = before;
    // A waiter of an earlier term waits for an entry that was cut off since.
    failWaiters(m_waiters.upper_bound(before), m_waiters.end(),
                std::make_exception_ptr(NotLeaderError("another leader took over", m_node->self())));
    for (Proposal &proposal : proposals)
        m_waiters[++index] = {m_node->term(), std::move(proposal.result)};
    perform(actions);
}

void ControlLog::publish()
{
    const std::lock_guard lock(m_mutex);
    m_status = m_node->status();
    m_isLeader = m_node->isLeader();
    m_leadProvedAt.reset();
    if (const auto stamp = m_node->confirmedStamp())
        m_leadProvedAt = timeOf(*stamp);
}

std::optional<TimePoint> ControlLog::leadProvedAt() const
{
    const std::lock_guard lock(m_mutex);
    return m_leadProvedAt;
}

void ControlLog::failAll(const std::string &reason)
{
    const auto fault = std::make_exception_ptr(ProposalUnknownError(reason));
    failWaiters(m_waiters.begin(), m_waiters.end(), fault);
    const std::lock_guard lock(m_mutex);
    for (Proposal &proposal : m_proposals)
        proposal.result.set_exception(fault);
    m_proposals.clear();
    m_inputs.clear();
    m_isLeader = false;
    m_leadProvedAt.reset();
    m_isStopped = true;
}

} // namespace nutmegtide
