#include "nutmegtide/proxy/workspaces.h"

#include <algorithm>
#include <openssl/sha.h>

namespace nutmegtide {

namespace {

// Returns where the key is, or where it belongs.
template <typename Keys>
auto placeOf(Keys &keys, const KeyDigest &key)
{
    return std::lower_bound(keys.begin(), keys.end(), key,
                            [](const auto &item, const KeyDigest &wanted) {
                                return item.first < wanted;
                            });
}

} // namespace

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
        const auto place = placeOf(m_keys, key);
        const bool isHeld = place != m_keys.end() && place->first == key;
        if (isHeld && place->second != workspace.name)
            return Conflict::SharedKey;
        if (!isHeld)
            m_keys.insert(place, {key, workspace.name});
    }
    m_workspaces.emplace(workspace.name, workspace);
    return Conflict::None;
}

const Workspace *WorkspaceTable::findByKey(const KeyDigest &key) const
{
    const auto place = placeOf(m_keys, key);
    return place == m_keys.end() || place->first != key ? nullptr : find(place->second);
}

const Workspace *WorkspaceTable::find(const WorkspaceName &name) const
{
    const auto found = m_workspaces.find(name);
    return found == m_workspaces.end() ? nullptr : &found->second;
}

} // namespace nutmegtide
