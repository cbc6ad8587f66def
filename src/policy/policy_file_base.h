/**
 * @file policy_file_base.h
 * The operators' policy file.
 */

#pragma once

#include "policy_codec_func.h"
#include "traffic_policy_type.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chicoryhead {

/** Result of rereading the policy. */
struct policy_update
{
    bool isChanged = false;               ///< since it was last read
    std::optional<traffic_policy> policy; ///< empty if unchanged or invalid
    std::vector<policy_problem> problems; ///< empty if unchanged or valid
};

/** Rereads the policy. */
using policy_source = std::function<policy_update()>;

/** Reads the file and detects changes. */
class policy_file
{
public:
    /** @param path absolute, or relative to the working directory of the process. */
    explicit policy_file(std::string path);

    /** Reads the file. A file that can't be read counts as changed to an invalid policy. */
    policy_update read();

private:
    /** Content of the file, without what exceeds maxPolicyBytes by more than a byte. */
    struct content
    {
        bool isReadable = false;
        std::string text;

        bool operator==(const content &) const = default;
    };

    content readContent() const;

    std::string m_path;
    std::optional<content> m_lastContent; ///< at the last read
};

} // namespace chicoryhead
