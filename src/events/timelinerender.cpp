#include "events/timelinepage.h"
#include "nutmegtide/events/timeline.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace nutmegtide {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t MicrosecondsPerSecond = 1'000'000;
constexpr std::size_t ColumnCount = 9;

using TextRow = std::array<std::string, ColumnCount>;

// Writes UTC as 2026-01-31T12:00:00.000000Z.
std::string timeText(std::int64_t microseconds)
{
    std::int64_t seconds = microseconds / MicrosecondsPerSecond;
    std::int64_t rest = microseconds % MicrosecondsPerSecond;
    if (rest < 0) {
        --seconds;
        rest += MicrosecondsPerSecond;
    }
    const auto time = static_cast<std::time_t>(seconds);
    std::tm parts {};
    if (gmtime_r(&time, &parts) == nullptr)
        return std::to_string(microseconds) + "us";
    std::ostringstream out;
    out << std::put_time(&parts, "%FT%T") << '.' << std::setw(6) << std::setfill('0') << rest
        << 'Z';
    return out.str();
}

std::string oneLine(const std::string &text)
{
    std::ostringstream out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte >= 0x20 && byte != 0x7f) {
            out << c;
        } else {
            out << "\\x" << std::hex << std::setw(2) << std::setfill('0') << unsigned(byte);
        }
    }
    return out.str();
}

std::string detailsText(const Event &event)
{
    std::string text;
    for (const auto &[key, value] : event.details)
        text += (text.empty() ? "" : " ") + key + '=' + value;
    return text;
}

TextRow rowOf(const Event &event)
{
    TextRow row = {timeText(event.time.physicalMicroseconds),
                   event.vm.text(),
                   event.failureDomain.text(),
                   std::string(toString(event.kind)),
                   event.database.text(),
                   event.term == 0 ? "" : std::to_string(event.term),
                   event.request.text(),
                   detailsText(event),
                   event.cause.text()};
    for (std::string &cell : row)
        cell = cell.empty() ? "-" : oneLine(cell);
    return row;
}

std::string tableText(const std::vector<TextRow> &rows)
{
    std::array<std::size_t, ColumnCount> widths {};
    for (const TextRow &row : rows) {
        for (std::size_t i = 0; i < ColumnCount; ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::ostringstream out;
    for (const TextRow &row : rows) {
        for (std::size_t i = 0; i + 1 < ColumnCount; ++i)
            out << std::left << std::setw(static_cast<int>(widths[i])) << row[i] << "  ";
        out << row.back() << '\n';
    }
    return out.str();
}

std::string gapText(const TimelineGap &gap)
{
    std::ostringstream out;
    out << "gap: " << oneLine(gap.database.text()) << " without a primary for " << std::fixed
        << std::setprecision(3) << double(gap.microseconds) / MicrosecondsPerSecond << " s, from "
        << oneLine(gap.begin.text()) << " to "
        << (gap.end.isEmpty() ? "now: it lasts" : oneLine(gap.end.text())) << '\n';
    return out.str();
}

Json jsonOf(const Timeline &timeline)
{
    Json json = {{"events", Json::array()},
                 {"dropped", Json::array()},
                 {"unreachable", Json::array()},
                 {"gaps", Json::array()}};
    for (const Event &event : timeline.events)
        json["events"].push_back(Json::parse(toJson(event)));
    for (const DroppedEvents &row : timeline.dropped)
        json["dropped"].push_back({{"vm", row.vm.text()}, {"count", row.count}});
    for (const UnreachableVm &row : timeline.unreachable)
        json["unreachable"].push_back({{"vm", row.vm.text()}, {"reason", row.reason}});
    for (const TimelineGap &gap : timeline.gaps) {
        json["gaps"].push_back({{"database", gap.database.text()},
                                {"begin", gap.begin.text()},
                                {"end", gap.end.text()},
                                {"microseconds", gap.microseconds}});
    }
    return json;
}

// No "<", ">" or "&" is left, so no value can end the script element that holds the JSON.
std::string scriptSafe(const std::string &json)
{
    std::string safe;
    for (const char c : json) {
        switch (c) {
        case '<':
            safe += "\\u003c";
            break;
        case '>':
            safe += "\\u003e";
            break;
        case '&':
            safe += "\\u0026";
            break;
        default:
            safe += c;
        }
    }
    return safe;
}

} // namespace

std::string renderText(const Timeline &timeline)
{
    std::string text;
    for (const UnreachableVm &row : timeline.unreachable)
        text += "unreachable: " + oneLine(row.vm.text()) + ": " + oneLine(row.reason) + '\n';
    for (const DroppedEvents &row : timeline.dropped)
        text += "dropped: " + oneLine(row.vm.text()) + ": " + std::to_string(row.count) + '\n';
    for (const TimelineGap &gap : timeline.gaps)
        text += gapText(gap);
    std::vector<TextRow> rows = {{"TIME", "VM", "FAILURE DOMAIN", "EVENT", "DATABASE", "TERM",
                                  "REQUEST ID", "DETAILS", "CAUSE"}};
    for (const Event &event : timeline.events)
        rows.push_back(rowOf(event));
    return text + tableText(rows);
}

std::string renderJson(const Timeline &timeline)
{
    return jsonOf(timeline).dump(2, ' ', false, Json::error_handler_t::replace);
}

std::string renderHtml(const Timeline &timeline)
{
    const std::string json = jsonOf(timeline).dump(-1, ' ', true, Json::error_handler_t::replace);
    return std::string(TimelinePageHead) + scriptSafe(json) + std::string(TimelinePageTail);
}

} // namespace nutmegtide
