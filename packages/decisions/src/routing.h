/*
 * routing.h: where a request goes (prefix rt_).
 *
 * A server that holds the adapter and has a free slot takes it at once: the
 * one with the prompt's prefix, the own zone and the better pace first. Else
 * it waits here for the own servers, or goes to the owner of another server,
 * whichever is expected to be sooner. Waits of own servers come from the
 * instance's own count of expected tokens, those of others from their
 * owner's summary and what was sent there since.
 */
#ifndef LACEWING_DECISIONS_ROUTING_H
#define LACEWING_DECISIONS_ROUTING_H

#include "state.h"

typedef enum rt_kind {
    RT_NONE = 0, /* no server can take it */
    RT_SEND,     /* to an own server, now */
    RT_WAIT,     /* here, for an own server */
    RT_FORWARD,  /* to the owner of a server */
} rt_kind;

typedef struct rt_route {
    rt_kind kind;
    dp_copy *copy;     /* RT_SEND */
    dp_server *server; /* RT_SEND, RT_FORWARD */
    uint64_t wait_us;  /* expected, until it runs */
    bool load;         /* a further copy is worth its load */
} rt_route;

/* commands */
/* The prefix cache of a server has changed. */
void rt_on_cache(dp_policy *policy, const dp_server *server, uint64_t prefix,
                 bool resident);

/* queries */
rt_route rt_query_route(dp_policy *policy, const dp_request *request);
/* The copy with a free slot that suits best, but not on a server; NULL when
   there is none. */
dp_copy *rt_query_free_copy(const dp_policy *policy, const dp_request *request,
                            const dp_server *except);
/* Expected wait for a slot of an own server. */
uint64_t rt_query_wait_us(const dp_policy *policy, const dp_server *server);
/* Pending requests that wait for an own server, shared among copies. */
uint32_t rt_query_waiting(const dp_server *server);
/* The shortest such wait over the own copies of an adapter. */
uint64_t rt_query_adapter_wait_us(const dp_policy *policy,
                                  const dp_adapter *adapter);

#endif
