/**
 * @file key_value_base.h
 * Interface to the platform's key-value service and its list of instances.
 *
 * All calls are asynchronous: the handler runs later in the core's thread, exactly once. Nothing on
 * the packet path waits for them.
 */

#pragma once

#include "core/core_type.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chicoryhead {

/** A stored value with the index of its last change. */
struct key_value
{
    std::string key;
    std::string value;
    std::uint64_t modifyIndex = 0; ///< 0 when the key doesn't exist
};

/** One line of the platform's list of instances. It lags and may be wrong in both directions. */
struct listed_instance
{
    instance_id id = noInstance;
    endpoint peerAddress;
    domain_id domain {0};
    bool leaving = false;
};

/** Client of the platform's service. */
class key_value_store
{
public:
    using get_handler = std::function<void(result<key_value>)>;
    using put_handler = std::function<void(result<bool>)>;
    using list_handler = std::function<void(result<std::vector<listed_instance>>)>;
    using keys_handler = std::function<void(result<std::vector<std::string>>)>;

    virtual ~key_value_store() = default;

    /**
     * Reads a key. A missing key has modifyIndex 0. Fails with error::StoreUnavailable or
     * error::Timeout.
     */
    virtual void get(const std::string &key, get_handler handler) = 0;

    /**
     * Waits until the key's index is above afterIndex or the wait time is over, then reads it.
     * Counts as one call of the service for as long as it waits.
     */
    virtual void watch(const std::string &key, std::uint64_t afterIndex, monotonic_time wait,
                       get_handler handler) = 0;

    /**
     * Writes a key if its index is still casIndex; 0 means that the key must not exist.
     * @param handler gets true if written, false if the index differs, error::StoreUnavailable
     * if surely not written, error::OutcomeUnknown if it may have been written.
     */
    virtual void put(const std::string &key, std::string value, std::uint64_t casIndex,
                     put_handler handler) = 0;

    /** Deletes a key; deleting a missing key succeeds. */
    virtual void remove(const std::string &key, put_handler handler) = 0;

    /** Lists the keys below a prefix. */
    virtual void listKeys(const std::string &prefix, keys_handler handler) = 0;

    /** Reads the platform's list of instances. */
    virtual void listInstances(list_handler handler) = 0;
};

} // namespace chicoryhead
