#include "cli/commandline.h"
#include "cli/commands.h"
#include "nutmegtide/events/timeline.h"
#include "serve/plainhttpclient.h"

#include <cstdio>
#include <fstream>
#include <map>

namespace nutmegtide {

namespace {

// The answers of all processes asked; a VM that several name stands once.
struct Collected
{
    std::map<VmName, TimelinePart> parts;
    std::map<VmName, UnreachableVm> unreachable;
};

TimelinePart readPart(const nlohmann::json &json)
{
    TimelinePart part;
    part.vm = VmName(json.at("vm").get<std::string>());
    part.dropped = json.at("dropped").get<std::uint64_t>();
    for (const nlohmann::json &event : json.at("events"))
        part.events.push_back(eventFromJson(event.dump()));
    return part;
}

void collectFrom(const Endpoint &at, Collected &collected)
{
    try {
        const nlohmann::json json = jsonOf(PlainHttpClient(at).get("/v1/timeline"));
        for (const nlohmann::json &entry : json.at("parts")) {
            TimelinePart part = readPart(entry);
            collected.parts[part.vm] = std::move(part);
        }
        for (const nlohmann::json &entry : json.at("unreachable")) {
            const VmName vm(entry.at("vm").get<std::string>());
            collected.unreachable[vm] = {vm, entry.at("reason").get<std::string>()};
        }
    } catch (const Error &error) {
        const VmName name(toString(at));
        collected.unreachable[name] = {name, error.what()};
    } catch (const nlohmann::json::exception &error) {
        const VmName name(toString(at));
        collected.unreachable[name] = {name, error.what()};
    }
}

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream file(path);
    file << text;
    if (!file.flush())
        throw Error("cannot write " + path);
}

} // namespace

int runTimeline(const TimelineOptions &options)
{
    Collected collected;
    for (const Endpoint &at : options.at)
        collectFrom(at, collected);
    std::vector<TimelinePart> parts;
    for (auto &[vm, part] : collected.parts) {
        collected.unreachable.erase(vm);
        parts.push_back(std::move(part));
    }
    std::vector<UnreachableVm> unreachable;
    for (const auto &[vm, entry] : collected.unreachable) {
        std::fprintf(stderr, "unreachable: %s: %s\n", vm.text().c_str(), entry.reason.c_str());
        unreachable.push_back(entry);
    }
    const Timeline timeline = mergeTimeline(parts, unreachable);
    if (!options.html.empty())
        writeFile(options.html, renderHtml(timeline));
    const std::string text = options.json ? renderJson(timeline) : renderText(timeline);
    std::fwrite(text.data(), 1, text.size(), stdout);
    return unreachable.empty() ? ExitOk : ExitFailed;
}

} // namespace nutmegtide
