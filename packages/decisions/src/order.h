/*
 * order.h: which pending request runs next (prefix or_).
 *
 * Pending requests stand with their adapter, in a heap for each class. The
 * key is the time of entry plus a multiple of the expected time of work, so
 * short work goes first and every request is overtaken for a bounded time
 * only. Long work takes a part of a server's slots at most.
 */
#ifndef LACEWING_DECISIONS_ORDER_H
#define LACEWING_DECISIONS_ORDER_H

#include "state.h"

/* commands */
/* Puts a request into its class. */
void or_classify(const dp_policy *policy, dp_request *request);
/* Puts a request among the pending of its adapter. */
void or_push(dp_policy *policy, dp_request *request);
/* Takes a pending request out. */
void or_remove(dp_policy *policy, dp_request *request);
/* Fills the free slots of an own server with the best pending requests. */
void or_fill(dp_policy *policy, dp_server *server);
/* Sends a request that is not pending to an own server that holds its
   adapter; false when no attempt could be made. */
bool or_send(dp_policy *policy, dp_request *request, dp_copy *copy,
             bool hedge);

/* queries */
/* The best pending request that an own server may take; NULL when none. */
const dp_request *or_query_best(const dp_policy *policy,
                                const dp_server *server);
/* Order among the pending requests; less is sooner. */
uint64_t or_query_key(const dp_policy *policy, const dp_request *request);
/* A request of the class may take a slot of the server now. */
bool or_query_admits(const dp_policy *policy, const dp_server *server,
                     dp_class class_);

#endif
