/**
 * @file request_watch_list_base.h
 * Requests in progress, ordered by the time when their age is due to be recorded.
 */

#pragma once

#include "core/core_type.h"

#include <cstddef>
#include <optional>
#include <queue>
#include <vector>

namespace chicoryhead {

/** A request that had no answer when it was last looked at. */
struct watched_request
{
    flow_key flow;
    monotonic_time startedAt {0};
    monotonic_time nextAge {0}; ///< at which it is due
    monotonic_time maxAge {0};  ///< at which it is last due; the target latency of its route
};

/** Priority queue of requests. A request that was answered stays until it is due. */
class request_watch_list
{
public:
    void add(const watched_request &request) { m_requests.push(request); }

    /** Removes and returns a request that is due; std::nullopt if there is none. */
    std::optional<watched_request> takeDue(monotonic_time now)
    {
        if (m_requests.empty() || dueAt(m_requests.top()) > now)
            return std::nullopt;
        const watched_request request = m_requests.top();
        m_requests.pop();
        return request;
    }

    std::size_t size() const { return m_requests.size(); }

private:
    static monotonic_time dueAt(const watched_request &request)
    {
        return request.startedAt + request.nextAge;
    }

    struct due_later
    {
        bool operator()(const watched_request &a, const watched_request &b) const
        {
            return dueAt(a) > dueAt(b);
        }
    };

    std::priority_queue<watched_request, std::vector<watched_request>, due_later> m_requests;
};

} // namespace chicoryhead
