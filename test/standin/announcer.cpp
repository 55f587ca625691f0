#include "announcer.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace nutmegtide::standin {

namespace {

constexpr std::chrono::milliseconds Timeout = 500ms;
constexpr std::chrono::milliseconds FallbackInterval = 200ms;
constexpr std::chrono::milliseconds SmallestInterval = 10ms;
constexpr std::chrono::milliseconds LongestSleep = 1s;
constexpr std::chrono::milliseconds FallbackAfter = 2s; // without an answer of any home
constexpr long OkStatus = 200;

std::size_t appendBody(const char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

} // namespace

Announcer::Announcer(StandinState &state, SharedBudget &budget, Announcement identity,
                     std::vector<Endpoint> configured)
    : m_state(state)
    , m_budget(budget)
    , m_identity(std::move(identity))
    , m_configured(std::move(configured))
    , m_lastAnswer(Clock::now())
    , m_headers(curl_slist_append(nullptr, "Content-Type: application/json"))
    , m_multi(curl_multi_init())
{
    setTargets(m_configured);
    m_thread = std::jthread([this](const std::stop_token &stop) { run(stop); });
}

Announcer::~Announcer()
{
    m_thread.request_stop();
    curl_multi_wakeup(m_multi);
    m_thread.join();
    for (const auto &[endpoint, target] : m_targets) {
        if (target.isBusy)
            curl_multi_remove_handle(m_multi, target.easy);
        curl_easy_cleanup(target.easy);
    }
    curl_multi_cleanup(m_multi);
    curl_slist_free_all(m_headers);
}

void Announcer::wake()
{
    m_isWoken = true;
    curl_multi_wakeup(m_multi);
}

void Announcer::run(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        const TimePoint now = Clock::now();
        if (m_isWoken.exchange(false)) {
            for (auto &[endpoint, target] : m_targets) {
                target.nextDue = now;
                target.isOutdated = target.isBusy;
            }
        }
        if (now - m_lastAnswer > FallbackAfter) {
            for (const Endpoint &endpoint : m_configured)
                addTarget(endpoint);
        }
        startDue(now);
        int running = 0;
        curl_multi_perform(m_multi, &running);
        finishDone(Clock::now());
        const auto wait = static_cast<int>(untilNextDue(Clock::now()).count());
        curl_multi_poll(m_multi, nullptr, 0, wait, nullptr);
    }
}

std::chrono::milliseconds Announcer::untilNextDue(TimePoint now) const
{
    TimePoint next = now + LongestSleep;
    for (const auto &[endpoint, target] : m_targets) {
        if (!target.isBusy)
            next = std::min(next, target.nextDue);
    }
    return std::chrono::ceil<std::chrono::milliseconds>(std::max(next - now, Duration::zero()));
}

void Announcer::startDue(TimePoint now)
{
    for (auto &[endpoint, target] : m_targets) {
        if (!target.isBusy && target.nextDue <= now)
            start(target, endpoint, now);
    }
}

void Announcer::start(Target &target, const Endpoint &endpoint, TimePoint now)
{
    Announcement announcement = m_identity;
    m_state.describe(announcement, now);
    if (m_budget.isDividing())
        announcement.grant = target.grant;
    target.body = Json(announcement).dump();
    target.answer.clear();
    target.isBusy = true;
    target.nextDue = now + FallbackInterval;
    const std::string url = "http://" + toString(endpoint) + "/v1/announce";
    curl_easy_setopt(target.easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(target.easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(target.easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(target.easy, CURLOPT_HTTPHEADER, m_headers);
    curl_easy_setopt(target.easy, CURLOPT_TIMEOUT_MS, static_cast<long>(Timeout.count()));
    curl_easy_setopt(target.easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(target.body.size()));
    curl_easy_setopt(target.easy, CURLOPT_POSTFIELDS, target.body.c_str());
    curl_easy_setopt(target.easy, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(target.easy, CURLOPT_WRITEDATA, &target.answer);
    curl_easy_setopt(target.easy, CURLOPT_PRIVATE, &target);
    curl_multi_add_handle(m_multi, target.easy);
}

void Announcer::finishDone(TimePoint now)
{
    int rest = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &rest)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        CURL *easy = message->easy_handle;
        const bool isAnswered = message->data.result == CURLE_OK;
        Target *target = nullptr;
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &target);
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        curl_multi_remove_handle(m_multi, easy);
        target->isBusy = false;
        target->homes.clear();
        if (isAnswered && status == OkStatus)
            take(*target, now);
        if (std::exchange(target->isOutdated, false))
            target->nextDue = now;
    }
    const std::vector<Endpoint> homes = namedHomes();
    if (!homes.empty())
        setTargets(homes);
}

std::vector<Endpoint> Announcer::namedHomes() const
{
    std::vector<Endpoint> homes;
    for (const auto &[endpoint, target] : m_targets)
        homes.insert(homes.end(), target.homes.begin(), target.homes.end());
    return homes;
}

void Announcer::take(Target &target, TimePoint now)
{
    try {
        const auto reply = parseMessage<AnnouncementReply>(target.answer);
        m_lastAnswer = now;
        target.nextDue = now + std::max(reply.nextDue, SmallestInterval);
        const bool isAsking = reply.shareRequest && reply.shareRequest->stamp != target.grant.stamp;
        if (isAsking && m_budget.isDividing()) {
            target.grant = m_budget.request(*reply.shareRequest, now);
            target.nextDue = now;
        }
        target.homes = reply.homes;
    } catch (const MessageError &fault) {
        LOG(WARNING) << "event=bad_announcement_reply fault=" << fault.what();
    }
}

void Announcer::setTargets(const std::vector<Endpoint> &endpoints)
{
    std::erase_if(m_targets, [&](auto &row) {
        // A target whose answer is still to come may name homes, itself among them.
        const bool isNamed = std::find(endpoints.begin(), endpoints.end(), row.first)
                != endpoints.end();
        if (isNamed || row.second.isBusy)
            return false;
        curl_easy_cleanup(row.second.easy);
        return true;
    });
    for (const Endpoint &endpoint : endpoints)
        addTarget(endpoint);
}

void Announcer::addTarget(const Endpoint &endpoint)
{
    const auto [row, isNew] = m_targets.try_emplace(endpoint);
    if (isNew)
        row->second.easy = curl_easy_init();
}

} // namespace nutmegtide::standin
