/**
 * @file policy_file.cpp
 * Reads the policy file.
 */

#include "policy_file_base.h"

#include <fstream>
#include <utility>

namespace chicoryhead {

policy_file::policy_file(std::string path) : m_path(std::move(path)) { }

policy_update policy_file::read()
{
    auto content = readContent();
    if (m_lastContent == content)
        return {};
    m_lastContent = std::move(content);
    policy_update update {true, std::nullopt, {}};
    if (!m_lastContent->isReadable) {
        update.problems.push_back({{}, {}, "can't read the file"});
        return update;
    }
    const auto policy = parsePolicy(m_lastContent->text, update.problems);
    if (update.problems.empty())
        update.policy = policy;
    return update;
}

policy_file::content policy_file::readContent() const
{
    std::ifstream file(m_path, std::ios::binary);
    // One more byte than allowed, so that the parser sees that the file is too large.
    std::string text(maxPolicyBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    // A directory can be opened, but reading it fails.
    if (file.bad() || (file.fail() && !file.eof()))
        return {};
    text.resize(static_cast<std::size_t>(file.gcount()));
    return {true, std::move(text)};
}

} // namespace chicoryhead
