/*
 * routing.h: where a request goes (prefix rt_).
 *
 * A request goes at once to an own server that holds the adapter and has a
 * free slot; of several, to the one with the least cost by pace, zone and
 * cached prefix of the prompt. Otherwise it waits here for the own servers or
 * is forwarded to the owner of another server, whichever has the shorter
 * expected wait; only a request that entered here is forwarded. Waits of own
 * servers come from the instance's own count of expected tokens, those of
 * others from their owner's summary and the requests forwarded there since.
 */
#ifndef LACEWING_DECISIONS_ROUTING_H
#define LACEWING_DECISIONS_ROUTING_H

#include "state.h"

typedef enum rt_kind {
    RT_NONE = 0, /* no server can take the request */
    RT_SEND,     /* send to an own server now */
    RT_WAIT,     /* wait here for an own server */
    RT_FORWARD,  /* forward to the owner of a server */
} rt_kind;

typedef struct rt_route {
    rt_kind kind;
    dp_copy *copy;     /* RT_SEND */
    dp_server *server; /* RT_SEND, RT_FORWARD, RT_WAIT for a load */
    uint64_t wait_us;  /* expected, until the request runs; with needs_load,
                          may contain penalties that rank the home servers */
    bool needs_load;   /* the route includes a load of the adapter */
} rt_route;

/* commands */
/* Records that a server has cached a prefix or evicted it. */
void rt_on_prefix_cache(dp_policy *policy, const dp_server *server,
                        uint64_t prefix, bool resident);

/* queries */
/* Returns the route with the shortest expected wait. */
rt_route rt_query_route(dp_policy *policy, const dp_request *request);
/* Returns the own copy with a free slot and the least cost, leaving out the
   server except; NULL when there is none. */
dp_copy *rt_query_free_copy(const dp_policy *policy, const dp_request *request,
                            const dp_server *except);
/* Returns the expected wait for a slot of an own server. */
uint64_t rt_query_wait_us(const dp_policy *policy, const dp_server *server);
/* Returns the number of pending requests that wait for an own server; those of
   an adapter are divided evenly among its own copies. */
uint32_t rt_query_waiting_requests(const dp_server *server);
/* Returns the shortest expected wait over the own copies of an adapter;
   UINT64_MAX when there is none. */
uint64_t rt_query_adapter_wait_us(const dp_policy *policy,
                                  const dp_adapter *adapter);

#endif
