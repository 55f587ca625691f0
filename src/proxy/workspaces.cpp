#include "nutmegtide/proxy/workspaces.h"

#include <openssl/sha.h>

namespace nutmegtide {

KeyDigest::KeyDigest(std::string_view key)
{
    static_assert(sizeof(m_bytes) == SHA256_DIGEST_LENGTH);
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), m_bytes.data());
}

WorkspaceTable::Conflict WorkspaceTable::add(const Workspace &workspace,
                                             const std::vector<KeyDigest> &keys)
{
    if (m_workspaces.count(workspace.name) != 0)
        return Conflict::SameName;
    for (const KeyDigest &key : keys) {
        const auto held = m_keys.try_emplace(key, workspace.name).first;
        if (held->second != workspace.name)
            return Conflict::SharedKey;
    }
    m_workspaces.emplace(workspace.name, workspace);
    return Conflict::None;
}

const Workspace *WorkspaceTable::findByKey(const KeyDigest &key) const
{
    const auto held = m_keys.find(key);
    return held == m_keys.end() ? nullptr : find(held->second);
}

const Workspace *WorkspaceTable::find(const WorkspaceName &name) const
{
    const auto found = m_workspaces.find(name);
    return found == m_workspaces.end() ? nullptr : &found->second;
}

} // namespace nutmegtide
