#pragma once

#include "nutmegtide/fleet/configfollower.h"
#include "peer_types.h"
#include "serve/configsubmitter.h"
#include "serve/httpserver.h"

namespace nutmegtide {

// The configuration's messages between processes, and the operators' in JSON.
wire::ConfigSubmission toWire(const ConfigSubmission &submission);
ConfigSubmission fromWire(const wire::ConfigSubmission &submission);
wire::SubmitReply toWire(const SubmitAnswer &answer);
// Throws EndpointError for a leader's endpoint of a bad form.
SubmitAnswer fromWire(const wire::SubmitReply &reply);
wire::ConfigRevision toWire(const ConfigRevision &revision);
ConfigRevision fromWire(const wire::ConfigRevision &revision);
wire::ConfigPush toWire(const PushConfig &push);
std::vector<VmName> onwardOf(const wire::ConfigPush &push);
// A page with one revision, or with none for revision 0.
wire::ConfigPage toPage(const ConfigRevision &revision, Revision latest);
// Returns the highest revision of a page, 0 for none.
ConfigRevision fromWire(const wire::ConfigPage &page);

// Reads {"change_id", "base_revision", "toml", "operator"}; the operator may be left out.
// Throws MessageError.
ConfigSubmission submissionFromJson(const std::string &body);
// Answers with the outcome as the command line reads it, and the HTTP status that fits.
HttpResponse toHttp(const ConfigDecision &decision);

} // namespace nutmegtide
