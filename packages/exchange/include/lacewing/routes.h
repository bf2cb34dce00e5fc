/*
 * routes.h: the operator's configuration as the exchange uses it (prefix rc_).
 *
 * A table holds the routes, the services and the limits that apply to callers.
 * It is built once for each configuration version, made read-only by
 * rc_seal(), and shared by reference count.
 *
 *     rc_table *table = rc_create(7);
 *     ... fill services, routes and limits ...
 *     rc_seal(table);
 *     const rc_route *route = rc_query_route(table, "a.example", "/x/1");
 *     rc_unref(table);
 *
 * Limits: routes, services and their strings are valid while a reference to
 * their table is held; the count is not atomic.
 */
#ifndef LACEWING_ROUTES_H
#define LACEWING_ROUTES_H

#include "lacewing/workspaces.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Whether requests of a route may be run again. */
typedef enum rc_route_kind {
    RC_KIND_DEFAULT = 0, /* as RC_UNSAFE */
    RC_SAFE,             /* may run more than once */
    RC_UNSAFE,           /* runs at most once for each request id */
    RC_STREAM            /* sends events; runs at most once unless resumable */
} rc_route_kind;

typedef struct rc_target {
    char *service;
    uint32_t weight; /* its share is weight / rc_route.weight_sum */
} rc_target;

typedef struct rc_route {
    char *name;
    char *host;
    char *prefix; /* begins and ends with a slash */
    rc_route_kind kind;
    uint32_t timeout_ms;        /* longest wait for the whole answer */
    uint32_t latency_target_ms; /* to the answer or, for streams, to the first
                                   event; a later one loses credit */
    uint32_t gap_target_ms;     /* streams: longest gap between events */
    uint32_t priority;          /* 0 is the highest */
    uint32_t max_servers;       /* number of servers that may run a request */
    bool resumable;             /* streams may continue at another server */
    bool is_public;             /* needs no key of a workspace */
    GArray *targets;            /* rc_target; several if the route is split */
    uint32_t weight_sum;        /* of the targets, set by rc_add_route() */
} rc_route;

typedef struct rc_model {
    char *name;
    double weights_mb;
    uint32_t load_ms;       /* time of a load from the weight store */
    double adapter_mb;      /* size of one adapter */
    uint32_t adapter_count; /* 0: not known */
} rc_model;

typedef struct rc_service {
    char *name;
    uint32_t max_connections; /* to one server, from all instances together */
    bool engine;              /* runs models; if false the rest is unused */
    uint32_t slots;           /* of one server */
    uint32_t max_adapters;    /* of one server */
    uint32_t kv_tokens;       /* prompt and output tokens that fit into the
                                 KV cache of one server; 0: not known */
    double weights_mb;        /* memory of one server for model weights and
                                 adapters */
    double loads_per_s;       /* of models, over all servers */
    bool kv_backups;          /* other servers keep copies of the KV cache */
    GArray *models;           /* rc_model */
} rc_service;

typedef struct rc_limits {
    uint32_t head_bytes;
    uint64_t body_bytes;
    uint32_t head_ms; /* from the first byte of a request to the end of its
                         head */
    uint32_t idle_ms; /* between two requests of a connection */
} rc_limits;

typedef struct rc_table rc_table;

rc_table *rc_create(uint64_t version);
rc_table *rc_ref(rc_table *table);
void rc_unref(rc_table *table);

/* Building; the table takes ownership of the strings and arrays. */
void rc_add_service(rc_table *table, const rc_service *service);
void rc_add_route(rc_table *table, const rc_route *route);
/* Sets the workspaces whose callers may use the routes that are not public;
   takes ownership. Without it, the routes need no keys. */
void rc_set_workspaces(rc_table *table, wp_table *workspaces);
void rc_set_limits(rc_table *table, const rc_limits *limits);
/* Sorts the routes and makes the table read-only. */
void rc_seal(rc_table *table);

/* queries */
uint64_t rc_query_version(const rc_table *table);
uint32_t rc_query_route_count(const rc_table *table);
/* Returns NULL if no keys are needed. */
const wp_table *rc_query_workspaces(const rc_table *table);
const rc_limits *rc_query_limits(const rc_table *table);
/* Returns the route of the host with the longest prefix of the target's path;
   NULL: none. Ignores the case and the port of the host; the target may be in
   origin form or absolute form. */
const rc_route *rc_query_route(const rc_table *table, const char *host,
                               const char *target);
const rc_service *rc_query_service(const rc_table *table, const char *name);
/* Returns the service for one request of a route, chosen by weight; draw is a
   random number. NULL: the route has no target. */
const char *rc_query_target(const rc_route *route, uint32_t draw);
/* Returns the first model of a service with this name; NULL: none. */
const rc_model *rc_query_model(const rc_service *service, const char *name);
/* Calls back once for each route. */
typedef void (*rc_route_callback)(const rc_route *route, void *user_data);
void rc_each_route(const rc_table *table, rc_route_callback call,
                   void *user_data);
/* Calls back once for each service. */
typedef void (*rc_service_callback)(const rc_service *service,
                                    void *user_data);
void rc_each_service(const rc_table *table, rc_service_callback call,
                     void *user_data);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(rc_table, rc_unref)

#endif
