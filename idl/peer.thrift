// The protocol between the processes of one fleet. Run `make generate` after a change.
namespace cpp nutmegtide.wire

// Opens every call. A peer of another fleet or of an older incarnation is refused.
struct Header {
  1: string fleet,
  2: string vm,
  3: i64 incarnation,
  4: string failureDomain,
  5: i64 physicalMicroseconds, // hybrid logical clock of the sender
  6: i32 logical,
}

enum RefusalKind {
  OTHER_FLEET = 1,
  OLDER_INCARNATION = 2,
  NOT_HOME = 3,
  NOT_OWNER = 4,
  NOT_CONTROL = 5,
  BAD_MESSAGE = 6,
  DRAINING = 7,
  OTHER_FOLDER = 8,
}

exception PeerRefusal {
  1: RefusalKind kind,
  2: string message,
}

struct Position {
  1: i64 term,
  2: i64 index,
}

enum TransactionStep {
  NONE = 0,
  OPEN = 1,
  STATEMENT = 2,
  COMMIT = 3,
  ROLLBACK = 4,
}

// One statement on its way from the entry proxy to a home proxy or a transaction's owner.
struct StatementCall {
  1: string database,
  2: string caller,
  3: string session,
  4: string requestId,
  5: bool isWrite,
  6: bool isRepeatable,
  7: optional i64 maxAgeMilliseconds,
  8: i64 timeoutMilliseconds, // left of the caller's deadline at sending
  9: string statement,
  10: string parameters, // JSON
  11: optional Position token, // what the session has seen of this database
  12: bool hasUnknownWrite,    // the session has a write of unknown outcome
  13: TransactionStep step,
  14: string transaction,
  15: string unknownWriteId,   // request id of that write, empty for none
}

struct StatementAnswer {
  1: string requestId,
  2: string result, // JSON
  3: Position position,
  4: string server,
  5: bool isPrimary,
  6: i64 ageMilliseconds,
  7: bool isReplay,
  8: string transaction,
  9: bool settledUnknownWrite,
}

struct StatementFault {
  1: string type, // a name of StatementFailure
  2: string ran,  // no, yes or unknown
  3: string message,
  4: i64 retryAfterMilliseconds,
  5: string requestId,
  6: string cause, // event id of what is behind it, empty for none
}

// Exactly one of the two is set.
struct StatementReply {
  1: optional StatementAnswer answer,
  2: optional StatementFault fault,
}

struct RequestFateReply {
  1: bool ran,
  2: bool isKnown, // false where no majority could be asked
  3: Position position,
  4: string result,
}

// Gossip of membership.
enum MemberState {
  ALIVE = 1,
  SUSPECT = 2,
  DEAD = 3,
  LEFT = 4,
}

struct MemberUpdate {
  1: string vm,
  2: string failureDomain,
  3: string peerEndpoint,
  4: i64 incarnation,
  5: MemberState state,
  6: bool isControl,
  7: bool isDraining,
  8: i64 revision, // configuration in force there
  9: string callerEndpoint, // where callers and backend servers reach it
  10: i64 version, // grows within one incarnation with each refuted suspicion and each change
}

struct Gossip {
  1: list<MemberUpdate> updates,
  2: string probeTarget, // indirect probe to this VM; empty for a direct one
  3: bool wantsAll,      // asks for a page of the whole list
  4: string pageAfter,   // the page starts past this VM; empty for the first page
  5: i64 digest,         // of the asker's list; an equal one is answered without a page
}

struct GossipReply {
  1: bool isAlive,
  2: list<MemberUpdate> updates,
  3: string pageEnd,     // last VM of the page if more follow, else empty
}

// The replicated log of the control VMs.
enum RaftKind {
  PRE_VOTE = 1,
  PRE_VOTE_REPLY = 2,
  VOTE = 3,
  VOTE_REPLY = 4,
  APPEND = 5,
  APPEND_REPLY = 6,
  SNAPSHOT = 7,
  SNAPSHOT_REPLY = 8,
}

struct RaftEntry {
  1: i64 term,
  2: i64 index,
  3: i32 kind,
  4: binary command,
}

struct RaftMessage {
  1: RaftKind kind,
  2: string sender,
  3: string receiver,
  4: i64 term,
  5: i64 lastIndex,
  6: i64 lastTerm,
  7: i64 commit,
  8: bool isGranted,
  9: list<RaftEntry> entries,
  10: binary snapshot,
  11: list<string> members,
  12: i64 stamp,                        // of the leader's message; its answer returns it
  13: string identity, // of the sender's data folder, so that an emptied one is not taken for it
}

// Configuration.
struct ConfigSubmission {
  1: string changeId,
  2: i64 baseRevision,
  3: string toml, // the merged whole
  4: string operatorName,
}

enum SubmitOutcome {
  ACCEPTED = 1,
  CONFLICT = 2,
  INVALID = 3,
  UNKNOWN = 4,
  NOT_LEADER = 5,
}

struct SubmitReply {
  1: SubmitOutcome outcome,
  2: i64 revision,
  3: string winner, // change id that a conflict lost to
  4: string message,
  5: string leader, // endpoint to ask instead, where known
}

struct ConfigRevision {
  1: i64 revision,
  2: string toml,
  3: string changeId,
}

struct ConfigPage {
  1: i64 latest,
  2: list<ConfigRevision> revisions,
}

struct ConfigPush {
  1: ConfigRevision revision,
  2: list<string> onward, // VMs that the receiver passes it on to
}

// What control knows of a database group.
struct GroupRecord {
  1: string database,
  2: i64 term,
  3: string primary,
  4: list<string> voters,
  5: list<string> pendingVoters,
}

struct ServerReport {
  1: string server,
  2: string address,
  3: string failureDomain,
  4: i64 term,
  5: bool isPrimary,
  6: Position last,
  7: Position durable,
  8: i32 state, // ServerState
  9: i64 silentMilliseconds,
  10: bool isRefusing,
  11: list<string> voters,
}

// What a home proxy sees of a group, sent to the control leader when it changes and seldom else.
struct GroupReport {
  1: string database,
  2: bool isPrimarySuspected,
  3: list<ServerReport> servers,
  4: i32 queuedReads,
}

// A call without reports says that nothing has changed for this home.
struct GroupReportReply {
  1: bool isLeader,
  2: string leader,
  3: list<GroupRecord> records,
  4: i32 knownGroups, // groups that this home has reported to the leader, 0 elsewhere
}

// Time line.
struct EventRecord {
  1: i64 physicalMicroseconds,
  2: i32 logical,
  3: string vm,
  4: string failureDomain,
  5: string kind,
  6: string database,
  7: i64 term,
  8: string requestId,
  9: string id,
  10: string cause,
  11: map<string, string> details,
}

struct EventPage {
  1: list<EventRecord> events,
  2: i64 dropped,
  3: i64 nextSequence,
}

struct NodeStatusReply {
  1: string json,
}

// Sites: entry VMs before backend servers that announce themselves to control VMs.

// What a backend server said of itself last.
struct ServerRecord {
  1: string server,
  2: string serviceName,
  3: string address,
  4: string failureDomain,
  5: i32 slots,
  6: bool isLeaving,
  7: bool isPrimary,
  8: i64 lifetime,
  9: i64 sequence,
  10: bool isGone,
  11: i64 confirmedTerm,                // in which control made sure who leads
  12: optional i64 leavingMilliseconds, // for which it has been leaving when this was sent
  13: optional i64 readySequence,       // these two where a departure was noted in this lifetime
  14: optional i64 departedAfter,
}

// An accepted configuration in the operator's own form.
struct SiteConfiguration {
  1: i64 revision,
  2: binary text,
  3: bool isCompressed,
}

// A primary that an entry VM can't use.
struct PrimaryComplaint {
  1: string serviceName,
  2: string server,
  3: i64 sinceMilliseconds,
  4: string complainer,                 // VM, set where a control VM passes it on
}

// An entry VM that is home of backend servers.
struct HomeVm {
  1: string vm,
  2: string lanes,                      // its listener for lanes
  3: string failureDomain,
}

// Which entry VM is home of a backend server.
struct ServerHome {
  1: string server,
  2: string lanes,                      // the home's listener for lanes
}

// What control VMs tell each other.
struct SiteNews {
  1: list<ServerRecord> servers,
  2: list<PrimaryComplaint> complaints,
  3: string folder,                     // of the sender's data folder
  4: i32 followers,                     // entry VMs that asked the sender lately
  5: list<HomeVm> homes,                // those of them that take lanes
}

struct FollowRequest {
  1: i64 revision,                      // configuration in force at the sender, 0 for none
  2: i64 directoryVersion,              // of the answering VM, from its last answer
  3: list<PrimaryComplaint> complaints,
  4: string folder,                     // of a control VM that isn't a member yet; else empty
  5: list<string> agedServices,         // whose reads may be of some age, so that proofs are wanted
  6: string lanes,                      // listener for lanes, empty where none are taken
  7: i64 homesVersion,                  // from the last answer
  8: optional i64 recordedVersion,      // of the recorded servers that the sender was told last
  9: optional bool asksChanges,         // whether the sender needs openChanges
}

// A position that a primary gave which proved that it leads.
struct AgedProof {
  1: string serviceName,
  2: Position position,
  3: i64 ageMicroseconds,               // when this was sent, since the primary was asked
}

struct ControlVm {
  1: string peers,                      // its listener for other processes
  2: string failureDomain,
}

// The services of which a change of primary relies on holds, or may still promote a server.
struct OpenChanges {
  1: list<string> services,
  2: i64 ageMicroseconds,               // when this was sent, since the leader certainly led
}

struct FollowReply {
  1: bool isCurrent,                    // the answering VM hears the leader of the control log
  2: optional SiteConfiguration configuration, // where the sender's is older
  3: i64 directoryVersion,
  4: optional list<ServerRecord> servers, // where the sender's version is another one
  5: list<ControlVm> controls,          // all that are known
  6: string leader,                     // peers' listener of the leader, empty where none is known
  7: bool isMember,                     // the answering VM is a member of the control log
  8: i32 entryCount,                    // entry VMs that follow any control VM
  9: list<AgedProof> proofs,            // of the services that the request names
  10: i64 homesVersion,
  11: optional list<ServerHome> homes,  // where the sender's version is another one
  12: optional list<string> recordedServers, // of the control log, where the sender's version is another one
  13: optional i64 recordedVersion,     // absent where the answering VM can't tell the servers
  14: optional bool tellsChanges,       // whether the answering VM and the leader know openChanges
  15: optional OpenChanges openChanges, // where the request asks for them and they are known
}

// Lanes: what entry VMs use in place of connections of their own to a backend server. Both sides
// send frames of these on one connection, each after its length in four bytes, highest first.

// A command on its way to a backend server.
struct LaneCommand {
  1: i32 kind,                          // ServerCommandKind
  2: string requestId,
  3: optional Position after,
  4: string name,
  5: string argument,
  6: bool preparesWrite,
  7: optional bool asksStatus,          // for the server's status in place of a read-only begin
}

// Commands for one lane. A lane begins with its first ones.
struct LaneRequest {
  1: i64 lane,
  2: string server,                     // the lane's backend server, with the first commands
  3: list<LaneCommand> commands,
  4: i32 rank,                          // Urgency
  5: i64 patienceMicroseconds,
  6: bool isClosed,                     // the lane ends
  7: i64 workMicroseconds,              // Urgency
  8: optional string workspace,         // the lane's workspace, with the first commands
}

// A server's answer to one command.
struct LaneReply {
  1: i64 lane,
  2: list<string> rows,
  3: i32 fault,                         // StatementFault + 1, 0 for none
  4: string detail,
  5: i32 state,                         // TransactionState
  6: optional Position position,
  7: bool isLost,                       // the lane ended with its connection to the server
  8: i64 ranMicroseconds,               // that a statement took at the server, 0 for none
  9: optional i32 waitMicroseconds,     // that further statements can expect to wait at the home
  10: optional bool isUnvouched,        // the server's connection isn't vouched for (ConnectionVouches)
}

// What the home found out about a backend server.
struct LaneEvidence {
  1: string server,
  2: i32 evidence,                      // ServerEvidence
}

// What one run of a lender lent of a workspace in the last window.
struct LoanHistory {
  1: i64 lender,                        // the run
  2: list<i32> lent,                    // in each tenth of the window, the latest one first
  3: i32 ageMilliseconds,               // time since the lender reported it
}

// A request for operations of a workspace with a cap, and the answer.
struct LoanRequest {
  1: string workspace,
  2: i32 wanted,
  3: bool isForStandIn,
  4: optional list<LoanHistory> reports, // of other lenders
}

struct Loan {
  1: string workspace,
  2: i32 granted,
  3: i32 retryMilliseconds,
  4: bool isFromStandIn,
  5: optional LoanHistory history,      // of the lender, with this loan
  6: optional bool isUnable,            // the lender doesn't know the workspace
  7: optional string owner,             // listener for lanes of the owner, if it isn't the lender
}

struct LaneFrame {
  1: list<LaneRequest> requests,
  2: list<LaneReply> replies,
  3: list<LaneEvidence> evidence,
  4: bool isQuestion,                   // the other side answers with isAnswer at once
  5: bool isAnswer,
  6: bool isLeaving,                    // the home stops soon and takes no further lanes
  7: string failureDomain,              // of the entry VM, in its first frame
  8: bool isReachDoubted,               // nothing is heard from other failure domains
  9: optional list<LoanRequest> loanRequests,
  10: optional list<Loan> loans,
}

service Peer {
  Header handshake(1: Header header) throws (1: PeerRefusal refusal),
  StatementReply execute(1: Header header, 2: StatementCall call) throws (1: PeerRefusal refusal),
  RequestFateReply requestFate(1: Header header, 2: string database, 3: string caller, 4: string requestId)
    throws (1: PeerRefusal refusal),
  GossipReply gossip(1: Header header, 2: Gossip message) throws (1: PeerRefusal refusal),
  void raft(1: Header header, 2: list<RaftMessage> messages) throws (1: PeerRefusal refusal),
  SubmitReply submitConfig(1: Header header, 2: ConfigSubmission submission) throws (1: PeerRefusal refusal),
  void pushConfig(1: Header header, 2: ConfigPush push) throws (1: PeerRefusal refusal),
  ConfigPage fetchConfig(1: Header header, 2: i64 afterSequence) throws (1: PeerRefusal refusal),
  GroupReportReply reportGroups(1: Header header, 2: list<GroupReport> reports) throws (1: PeerRefusal refusal),
  EventPage events(1: Header header, 2: i64 afterSequence) throws (1: PeerRefusal refusal),
  FollowReply follow(1: Header header, 2: FollowRequest request) throws (1: PeerRefusal refusal),
  void spreadNews(1: Header header, 2: SiteNews news) throws (1: PeerRefusal refusal),
  list<AgedProof> agedProofs(1: Header header, 2: list<string> services) throws (1: PeerRefusal refusal),
  OpenChanges openChanges(1: Header header) throws (1: PeerRefusal refusal),
  NodeStatusReply status(1: Header header) throws (1: PeerRefusal refusal),
}
