#pragma once

#include <string>

#include "core/requests.h"

/// \file
/// Where a request goes next: a free slot here, an entry with free slots, or the queue.

namespace bramleygrade {

bool isPeerLive(const request_environment &environment, const std::string &identity, timestamp now);

/// Sends the request on its way, or refuses it where its deadline cannot be met.
void routeRequest(request_flow &flow, request_environment &environment, std::uint64_t number,
                  step_context &context);

/// Passes the request to a peer; `asHome` where the peer is to remember its id.
/// Returns false where it is too late to reach the peer; the request is then unchanged.
bool forwardToPeer(request_flow &flow, request_environment &environment, std::uint64_t number,
                   const std::string &peer, bool asHome, step_context &context);

/// Starts waiting requests of the service while slots are free, here or at peers.
void dispatchQueued(request_flow &flow, request_environment &environment,
                    const std::string &service, step_context &context);

/// An attempt has ended and its slot is free.
void releaseSlot(request_flow &flow, worker_pool &pool, const endpoint_attempt &attempt);

/// The peer has said how many slots it has left for the service.
void updateFreeSlots(peer_load &load, const std::string &service, int freeSlots);

} // namespace bramleygrade
