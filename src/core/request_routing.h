#pragma once

#include <string>

#include "core/requests.h"

/// \file
/// Routing of requests: to a free slot of this entry, to a peer with free slots, or into the queue.

namespace bramleygrade {

/// Returns true if the peer has sent a message within `peerTimeout`.
bool isPeerLive(const request_environment &environment, const std::string &identity, timestamp now);

/// Dispatches, forwards or queues the request; rejects it where its deadline cannot be met or the
/// queue is full.
void routeRequest(request_flow &flow, request_environment &environment, std::uint64_t number,
                  step_context &context);

/// Forwards the request to a peer. `asHome`: the peer is addressed as owner of the home shard of
/// the request id. Returns false where it is too late to reach the peer; the request is then
/// unchanged.
bool forwardToPeer(request_flow &flow, request_environment &environment, std::uint64_t number,
                   const std::string &peer, bool asHome, step_context &context);

/// Dispatches or forwards queued requests of the service while this entry or a peer has free slots.
void dispatchQueued(request_flow &flow, request_environment &environment,
                    const std::string &service, step_context &context);

/// Releases the slot of an attempt that has ended.
void releaseSlot(request_flow &flow, worker_pool &pool, const endpoint_attempt &attempt);

/// Updates the load of a peer that has reported how many free slots it has for the service.
void updateFreeSlots(peer_load &load, const std::string &service, int freeSlots);

} // namespace bramleygrade
