#include "node_private.h"

#include "lacewing/counter.h"
#include "lacewing/log.h"
#include <string.h>

/* An instance that begins to divide a limit that was in force before waits for
   this long: the one that did so may not know of it yet. */
#define _ND_DIVIDER_DELAY_US 1000000
/* A server may name another limit with each answer. */
#define _ND_LIMIT_LOG_INTERVAL_US 1000000
/* A share is forgotten when no instance has asked for this long. */
#define _ND_SHARE_LIFETIME_US 10000000

/* -- private -------------------------------------------------------------- */

/* Logs a rate limit that began, changed or ended; changes once a second. */
static void
_nd_log_limit(const nd_node *node, fl_server *server, uint32_t changes,
              nt_source source)
{
    uint64_t logged_us = server->limit.logged_us;
    if (changes == SL_CHANGED && lp_query_now_us(node->desc.loop) <
                                     logged_us + _ND_LIMIT_LOG_INTERVAL_US) {
        return;
    }
    server->limit.logged_us = lp_query_now_us(node->desc.loop);
    char per_s[24];
    g_snprintf(per_s, sizeof(per_s), "%g", server->limit.per_s);
    char seconds[24];
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    g_snprintf(seconds, sizeof(seconds), "%.1f",
               (double)(now_us - MIN(now_us, server->limit.started_us)) /
                   G_USEC_PER_SEC);
    lg_write(
        changes & SL_ENDED ? LG_SERVER_UNLIMITED : LG_SERVER_LIMITED, "server",
        server->id, "source", nt_query_source_name(source), "per_s", per_s,
        "seconds", seconds, "divider",
        gp_query_limit_divider(node->peers, server->id, node->stop_us != 0),
        NULL);
}

static void
_nd_wake_limited(nd_node *node, fl_server *server)
{
    nd_wake_waiting_requests(server, node);
    xc_dispatch_waiting_capacity(node->core);
}

static void
_nd_on_limit_changed(nd_node *node, fl_server *server, uint32_t changes,
                     nt_source source)
{
    ct_add(CT_LIMITS_STARTED, (changes & SL_STARTED) != 0);
    _nd_log_limit(node, server, changes, source);
    if (changes & SL_ENDED) {
        server->permits = (pm_permits){0};
        g_hash_table_remove(node->limit_shares, server->id);
    }
}

static void
_nd_add_permits(nd_node *node, fl_server *server, uint32_t count)
{
    if (server->limit.limited) {
        ct_add(CT_PERMITS, count);
        pm_add(&server->permits, count, lp_query_now_us(node->desc.loop));
        _nd_wake_limited(node, server);
    }
}

static ls_share *
_nd_get_share(nd_node *node, const fl_server *server)
{
    ls_share *share = g_hash_table_lookup(node->limit_shares, server->id);
    if (!share) {
        uint64_t now_us = lp_query_now_us(node->desc.loop);
        bool is_new = now_us < server->limit.started_us + _ND_DIVIDER_DELAY_US;
        share = ls_create(&(ls_desc){
            .now_us = now_us, .delay_us = is_new ? 0 : _ND_DIVIDER_DELAY_US});
        g_hash_table_insert(node->limit_shares, g_strdup(server->id), share);
    }
    return share;
}

/* Asks for the permits of one server that are wanted here. */
static void
_nd_ask_permits(fl_server *server, void *user_data)
{
    nd_node *node = user_data;
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    pm_ask ask;
    if (!server->limit.limited ||
        !pm_take_ask(&server->permits, now_us, &ask)) {
        return;
    }
    const char *divider =
        gp_query_limit_divider(node->peers, server->id, node->stop_us != 0);
    if (strcmp(divider, node->desc.settings->instance) == 0) {
        ls_feed_ask(_nd_get_share(node, server), divider, &ask, now_us);
    }
    else {
        gp_ask_permits(node->peers, server, divider, &ask);
    }
}

typedef struct _nd_granting {
    nd_node *node;
    fl_server *server;
} _nd_granting;

static void
_nd_on_granted(const char *instance, uint32_t count, void *user_data)
{
    const _nd_granting *granting = user_data;
    nd_node *node = granting->node;
    if (strcmp(instance, node->desc.settings->instance) == 0) {
        _nd_add_permits(node, granting->server, count);
    }
    else {
        gp_grant_permits(node->peers, granting->server, instance, count);
    }
}

static void
_nd_grant_permits(nd_node *node, fl_server *server, ls_share *share)
{
    _nd_granting granting = {node, server};
    ls_grant(share, server->limit.per_s, lp_query_now_us(node->desc.loop),
             _nd_on_granted, &granting);
}

static void
_nd_run_shares(nd_node *node)
{
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    GList *ids = g_hash_table_get_keys(node->limit_shares);
    for (GList *at = ids; at; at = at->next) {
        ls_share *share = g_hash_table_lookup(node->limit_shares, at->data);
        fl_server *server = fl_query_server(node->fleet, at->data);
        if (!server || !server->limit.limited ||
            now_us >= ls_query_asked_us(share) + _ND_SHARE_LIFETIME_US) {
            g_hash_table_remove(node->limit_shares, at->data);
        }
        else {
            _nd_grant_permits(node, server, share);
        }
    }
    g_list_free(ids);
}

/* -- public --------------------------------------------------------------- */

void
nd_apply_limit(nd_node *node, const fl_server_notice *report)
{
    fl_server *server;
    uint32_t changes = fl_apply_limit(node->fleet, report, &server);
    if (changes) {
        _nd_on_limit_changed(node, server, changes, report->source);
    }
    /* Who divides the limit learns its value with each ask. */
    if (changes & (SL_STARTED | SL_ENDED)) {
        gp_broadcast_limit(node->peers, server);
    }
}

void
nd_on_peer_limit(const fl_peer_limit *limit, void *user_data)
{
    nd_node *node = user_data;
    fl_server *server;
    uint32_t changes = fl_apply_peer_limit(node->fleet, limit, &server);
    if (changes) {
        _nd_on_limit_changed(node, server, changes, NT_PEER);
    }
}

void
nd_on_permits_asked(const char *instance, const char *id, const pm_ask *ask,
                    void *user_data)
{
    nd_node *node = user_data;
    fl_server *server = fl_query_server(node->fleet, id);
    if (!server) {
        return;
    }
    if (!server->limit.limited) {
        gp_broadcast_limit(node->peers, server);
        return;
    }
    ls_share *share = _nd_get_share(node, server);
    ls_feed_ask(share, instance, ask, lp_query_now_us(node->desc.loop));
    _nd_grant_permits(node, server, share);
}

void
nd_on_permits_granted(const char *id, uint64_t born_ms, uint32_t count,
                      void *user_data)
{
    nd_node *node = user_data;
    fl_server *server = fl_query_server(node->fleet, id);
    if (server && server->born_ms == born_ms) {
        _nd_add_permits(node, server, count);
    }
}

void
nd_run_limits(nd_node *node)
{
    fl_each_server(node->fleet, _nd_ask_permits, node);
    _nd_run_shares(node);
}
