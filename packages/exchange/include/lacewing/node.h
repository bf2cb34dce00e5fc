/*
 * node.h: an instance on a platform that has its own protocol
 * (prefix nd_).
 *
 * A node forwards callers' requests unchanged, byte for byte, to backend
 * servers that have their adapters loaded. The platform's store holds the
 * configuration, the list of servers and the leases. The platform's protocol
 * is supplied as a dl_dialect.
 *
 *     nd_settings settings;
 *     if (nd_load_settings(path, &settings, &status) == ER_OK) {
 *         nd_node *node = nd_create(&(nd_desc){.settings = &settings,
 *             .dialect = up_query_dialect(), .loop = loop}, &status);
 *         lp_run(loop);
 *         nd_destroy(node);
 *     }
 *
 * Limits: one node per process; to be used in the loop's thread only.
 */
#ifndef LACEWING_NODE_H
#define LACEWING_NODE_H

#include "lacewing/dialect.h"
#include "lacewing/loop.h"

typedef struct nd_node nd_node;

/* The names of the fields are the keys of the settings file; node_settings.c
   has their units, ranges, defaults and descriptions. */
typedef struct nd_settings {
    char *instance;
    char *zone;
    char *listen;
    char *ready;
    char *peer_ip;
    char *peer_ports; /* FIRST,LAST */
    char *store;
    double grace_s;
    uint32_t config_apply_ms;
    uint32_t drain_ms;
    double pause_most_s;
    uint32_t lease_ms;
    uint32_t version_ms;
    double retry_ratio;
    double retry_window_s;
    double retry_slack;
    uint32_t memory_mb;
    uint32_t descriptors;
    double link_mbps;
    uint32_t log_level;
    uint32_t log_requests_per_s;
    uint32_t log_pending_kb;
} nd_settings;

typedef void (*nd_stopped_callback)(void *user_data);

typedef struct nd_desc {
    const nd_settings *settings; /* required */
    const dl_dialect *dialect;   /* required */
    lp_loop *loop;               /* required */
    nd_stopped_callback stopped; /* called when a stop is complete */
    void *user_data;
} nd_desc;

/* Returns whether a settings file is for this kind of instance: it has a group
   [exchange]. */
bool nd_query_is_settings_file(const char *file);
er_code nd_load_settings(const char *file, nd_settings *settings,
                         er_status *status);
void nd_clear_settings(nd_settings *settings);
/* Returns the reference page of the settings; free with g_free(). */
char *nd_query_settings_reference(void);

nd_node *nd_create(const nd_desc *desc, er_status *status);
void nd_destroy(nd_node *node);
/* Called after the settings file was read again. Only logs that: no setting
   changes while the node runs. */
void nd_reload(nd_node *node, const nd_settings *settings);
/* Begins a graceful stop: requests in flight are not cut off within the grace
   period, grace_s. */
void nd_stop(nd_node *node);

#endif
