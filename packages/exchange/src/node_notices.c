#include "node_private.h"

#include "lacewing/counter.h"
#include "lacewing/log.h"

/* -- private -------------------------------------------------------------- */

static void
_nd_log_notice(lg_item item, const nd_node *node, const fl_server *server,
               const char *source, uint64_t since_us)
{
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    char seconds[24];
    g_snprintf(seconds, sizeof(seconds), "%.1f",
               since_us ? (double)(now_us - since_us) / G_USEC_PER_SEC : 0.0);
    lg_write(item, "server", server->id, "source", source, "seconds", seconds,
             NULL);
}

static void
_nd_log_pause(const fl_server *server, const fl_server_notice *report)
{
    char asked[24];
    g_snprintf(asked, sizeof(asked), "%.2f",
               (double)report->notice.pause_ms / 1000.0);
    char seconds[24];
    g_snprintf(seconds, sizeof(seconds), "%.2f",
               (double)(server->notice.paused_until_us - report->now_us) /
                   G_USEC_PER_SEC);
    lg_write(LG_SERVER_PAUSES, "server", server->id, "source",
             nt_query_source_name(report->source), "asked_s", asked, "seconds",
             seconds, NULL);
}

typedef struct _nd_counts {
    uint64_t now_us;
    int64_t leaving;
    int64_t paused;
    int64_t limited;
} _nd_counts;

static void
_nd_count(fl_server *server, void *user_data)
{
    _nd_counts *counts = user_data;
    counts->leaving += nt_query_leaving(&server->notice);
    counts->paused += nt_query_paused(&server->notice, counts->now_us);
    counts->limited += server->limit.limited;
}

/* -- public --------------------------------------------------------------- */

void
nd_begin_leaving(nd_node *node, fl_server *server)
{
    nt_notice *notice = &server->notice;
    if (notice->leaving_us == 0) {
        notice->leaving_us = lp_query_now_us(node->desc.loop);
    }
    _nd_log_notice(LG_SERVER_LEAVES, node, server,
                   nt_query_source_name(notice->leaving), 0);
    xc_close_idle_connections(node->core, server);
    le_remove_server(node->lease, server->id);
    if (fl_query_ready_count(node->fleet, server->service) == 0) {
        /* A new server may be listed already, or the list may contradict the
           notice. */
        wt_poll_now(node->server_watch);
    }
}

void
nd_end_leaving(nd_node *node, const fl_server *server, const nt_notice *before)
{
    _nd_log_notice(LG_SERVER_LEAVE_CANCELLED, node, server,
                   nt_query_source_name(before->leaving), before->leaving_us);
}

static void
_nd_on_leaving_contradicted(fl_server *server, const nt_notice *before,
                            void *user_data)
{
    nd_end_leaving(user_data, server, before);
    nd_add_lease_candidate(server, user_data);
}

void
nd_on_server_notice(const fl_server_notice *report, void *user_data)
{
    nd_node *node = user_data;
    fl_server *server = fl_query_server(node->fleet, report->id);
    uint64_t paused_us = server ? server->notice.paused_us : 0;
    uint32_t changes = fl_apply_notice(node->fleet, report, &server);
    ct_add(CT_SAID_PAUSE, report->notice.pause_ms != 0);
    ct_add(CT_NOTICES_REFUSED, report->notice.unreadable);
    ct_add(CT_PAUSES_CAPPED, (changes & NT_PAUSE_CAPPED) != 0);
    if (changes & NT_STARTED_LEAVING) {
        ct_add(CT_SAID_LEAVING, 1);
        gp_broadcast_leaving(node->peers, server);
        nd_begin_leaving(node, server);
    }
    if (changes & NT_STARTED_PAUSE) {
        _nd_log_pause(server, report);
    }
    if (changes & NT_RESUMED) {
        _nd_log_notice(LG_SERVER_RESUMES, node, server,
                       nt_query_source_name(report->source), paused_us);
    }
    if (changes & NT_FIRST_UNREADABLE) {
        lg_write(LG_NOTICE_REFUSED, "server", server->id, NULL);
    }
    nd_apply_limit(node, report);
}

void
nd_on_peer_leaving(const char *id, uint64_t born_ms, void *user_data)
{
    nd_node *node = user_data;
    fl_server *server;
    fl_server_notice report = {.id = id,
                               .born_ms = born_ms,
                               .source = NT_PEER,
                               .now_us = lp_query_now_us(node->desc.loop)};
    if (fl_apply_notice(node->fleet, &report, &server) & NT_STARTED_LEAVING) {
        nd_begin_leaving(node, server);
    }
}

void
nd_review_notices(nd_node *node)
{
    fl_override_contradicted_leaving(node->fleet,
                                     wt_query_fresh_us(node->server_watch),
                                     _nd_on_leaving_contradicted, node);
    _nd_counts counts = {.now_us = lp_query_now_us(node->desc.loop)};
    fl_each_server(node->fleet, _nd_count, &counts);
    ct_set(CT_SERVERS_LEAVING, counts.leaving);
    ct_set(CT_SERVERS_PAUSED, counts.paused);
    ct_set(CT_SERVERS_LIMITED, counts.limited);
}
