/*
 * routes.h: the operator's configuration as the exchange uses it (prefix rc_).
 *
 * A table holds routes, services and the limits towards callers. It is built
 * once for each version, then read only and shared by reference.
 *
 *     rc_table *table = rc_create(7);
 *     ... fill services, routes and limits ...
 *     rc_seal(table);
 *     const rc_route *route = rc_query_route(table, "a.example", "/x/1");
 *     rc_unref(table);
 *
 * Limits: a route and its strings live as long as a reference to its table.
 */
#ifndef LACEWING_ROUTES_H
#define LACEWING_ROUTES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What may be repeated. */
typedef enum rc_kind {
    RC_KIND_DEFAULT = 0, /* unsafe */
    RC_SAFE,             /* may run more than once */
    RC_UNSAFE,           /* at most once for each request id */
    RC_STREAM            /* events; at most once unless resumable */
} rc_kind;

typedef struct rc_target {
    char *service;
    uint32_t weight;
} rc_target;

typedef struct rc_route {
    char *name;
    char *host;
    char *prefix; /* begins and ends with a slash */
    rc_kind kind;
    uint32_t timeout_ms;    /* longest wait for the whole answer */
    uint32_t target_ms;     /* full credit: to the answer or first event */
    uint32_t gap_target_ms; /* streams: longest pause between events */
    uint32_t urgency;       /* 0 first */
    uint32_t max_servers;   /* that may run one request */
    bool resumable;         /* streams: may go on at another server */
    GArray *targets;        /* rc_target; one unless the route is split */
    uint32_t weight_sum;
} rc_route;

typedef struct rc_model {
    char *name;
    double weights_mb;
    uint32_t load_ms; /* from the weight store */
    double adapter_mb;
} rc_model;

typedef struct rc_service {
    char *name;
    uint32_t max_connections; /* of one server, from all instances together */
    bool engine;              /* runs models; the rest holds only then */
    uint32_t slots;
    uint32_t max_adapters; /* of one server */
    double weights_mb;     /* room of one server for models and adapters */
    double loads_per_s;    /* of models, over all servers */
    bool copies_runs;      /* keeps copies of a run's memory elsewhere */
    GArray *models;        /* rc_model */
} rc_service;

typedef struct rc_limits {
    uint32_t head_bytes;
    uint64_t body_bytes;
    uint32_t head_ms; /* from the first byte of a request to its whole head */
    uint32_t idle_ms; /* between requests of a connection */
} rc_limits;

typedef struct rc_table rc_table;

rc_table *rc_create(uint64_t version);
rc_table *rc_ref(rc_table *table);
void rc_unref(rc_table *table);

/* Building; the table takes the strings and arrays. */
void rc_add_service(rc_table *table, const rc_service *service);
void rc_add_route(rc_table *table, const rc_route *route);
void rc_set_limits(rc_table *table, const rc_limits *limits);
void rc_seal(rc_table *table);

/* queries */
uint64_t rc_query_version(const rc_table *table);
uint32_t rc_query_route_count(const rc_table *table);
const rc_limits *rc_query_limits(const rc_table *table);
/* The longest prefix of that host that begins the target's path; NULL. */
const rc_route *rc_query_route(const rc_table *table, const char *host,
                               const char *target);
const rc_service *rc_query_service(const rc_table *table, const char *name);
/* Service for one request of a route; draw is any number. */
const char *rc_query_target(const rc_route *route, uint32_t draw);
/* First model of a service by name; NULL. */
const rc_model *rc_query_model(const rc_service *service, const char *name);
/* Calls back for each service. */
typedef void (*rc_service_call)(const rc_service *service, void *user_data);
void rc_each_service(const rc_table *table, rc_service_call call,
                     void *user_data);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(rc_table, rc_unref)

#endif
