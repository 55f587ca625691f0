#pragma once

#include "nutmegtide/base/ids.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegtide {

// Digest of the key that a caller identifies itself with. Only digests are kept, so that no key
// gets into a log line, a message or a memory dump.
class KeyDigest
{
public:
    // The digest of no key, which no workspace holds.
    KeyDigest() = default;
    explicit KeyDigest(std::string_view key);

    auto operator<=>(const KeyDigest &) const = default;

private:
    std::array<std::uint8_t, 32> m_bytes {};
};

// The rate at which a workspace may start operations, over all proxies together.
struct OperationCap
{
    double perSecond = 0; // 0: no cap
    double burst = 0; // operations that may start at once

    bool isSet() const { return perSecond > 0; }
    bool operator==(const OperationCap &) const = default;
};

// Callers that share keys, connections to backend servers and a cap.
struct Workspace
{
    WorkspaceName name;
    int priority = 0; // lower values go first
    OperationCap cap;

    bool operator==(const Workspace &) const = default;
};

// The workspaces of one configuration and their keys.
//
//   table.add({WorkspaceName("casks"), 1, {100, 100}}, {KeyDigest("key-1")});
//   const Workspace *workspace = table.findByKey(KeyDigest(key)); // null for an unknown key
class WorkspaceTable
{
public:
    enum class Conflict { None, SameName, SharedKey };

    // Adds a workspace, unless there is a conflict with one that was added before.
    Conflict add(const Workspace &workspace, const std::vector<KeyDigest> &keys);
    // Returns null for a key that no workspace holds.
    const Workspace *findByKey(const KeyDigest &key) const;
    const Workspace *find(const WorkspaceName &name) const;
    const std::map<WorkspaceName, Workspace> &workspaces() const { return m_workspaces; }
    bool operator==(const WorkspaceTable &) const = default;

private:
    std::map<WorkspaceName, Workspace> m_workspaces;
    std::map<KeyDigest, WorkspaceName> m_keys;
};

} // namespace nutmegtide
