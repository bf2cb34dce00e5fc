/*
 * order.h: which pending request runs next (prefix or_).
 *
 * Each adapter has a heap of pending requests for each class. The key is the
 * time of entry plus a multiple of the expected time of work, so short work
 * goes first, and the time for which later requests can overtake a request is
 * bounded. A key is lowered where the deadline asks for an earlier start.
 * Long work takes at most a part of a server's slots while requests are
 * pending, and suspect requests (poison.h) run one to a server.
 */
#ifndef LACEWING_DECISIONS_ORDER_H
#define LACEWING_DECISIONS_ORDER_H

#include "state.h"

/* commands */
/* Sets a request's class: suspect, long or short. */
void or_classify(const dp_policy *policy, dp_request *request);
/* Adds a request to the pending requests of its adapter. */
void or_enqueue(dp_policy *policy, dp_request *request);
/* Removes a request from the pending requests of its adapter. */
void or_dequeue(dp_policy *policy, dp_request *request);
/* Fills the free slots of an own server with the best pending requests. */
void or_fill_slots(dp_policy *policy, dp_server *server);
/* Sends a request that is not pending to an own server that holds its
   adapter. Returns false when the action queue or the pool of attempts is
   full. */
bool or_send(dp_policy *policy, dp_request *request, dp_copy *copy,
             bool hedge);

/* queries */
/* Returns the pending request with the least key that an own server may take;
   NULL when there is none. */
const dp_request *or_query_best(const dp_policy *policy,
                                const dp_server *server);
/* Returns the key of a request in the heaps; less is sooner. */
uint64_t or_query_key(const dp_policy *policy, const dp_request *request);
/* Returns whether a request of the class may take a slot of the server now. */
bool or_query_admits(const dp_policy *policy, const dp_server *server,
                     dp_class class_);

#endif
