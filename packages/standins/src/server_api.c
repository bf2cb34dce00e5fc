#include "server_api.h"

struct sv_server {
    sh_shell *shell;
    tm_service *timers;
    pl_client *platform; /* NULL if the server has no platform */
    sv_kind_base *kind;
    bool check_fence;
    uint64_t highest_fence; /* highest fencing number received */
    bool leaving;           /* reported by /healthz */
};

/* -- private -------------------------------------------------------------- */

static void
_sv_answer_health(sv_server *server, SoupServerMessage *message)
{
    g_autofree char *body =
        g_strdup_printf("{\"incarnation\":\"%s\",\"leaving\":%s}",
                        server->kind->vt->incarnation(server->kind),
                        server->leaving ? "true" : "false");
    sh_answer(server->shell, message, 200, body);
}

static void
_sv_on_call(SoupServerMessage *message, const char *path, GHashTable *query,
            void *user_data)
{
    sv_server *server = user_data;
    if (g_str_equal(path, "/healthz")) {
        _sv_answer_health(server, message);
        return;
    }
    server->kind->vt->handle(server->kind, message, path, query);
}

static bool
_sv_on_order(const char *order, JsonObject *body, void *user_data)
{
    sv_server *server = user_data;
    if (!g_str_equal(order, "leaving")) {
        return server->kind->vt->order(server->kind, order, body);
    }
    server->leaving = true;
    if (server->platform) {
        pl_report_leaving(server->platform,
                          (uint32_t)sh_query_int(body, "lag_ms", 0));
    }
    return true;
}

static void
_sv_record_request(sv_server *server, SoupServerMessage *message,
                   const char *order, uint64_t fence, bool admitted)
{
    hs_history *history = sh_query_history(server->shell);
    hs_begin(history, "order");
    hs_add_text(history, "order", order);
    hs_add_text(history, "attempt", sh_query_header(message, "X-Attempt"));
    hs_add_text(history, "owner", sh_query_header(message, "X-Owner"));
    hs_add_int(history, "fence", (int64_t)fence);
    hs_add_bool(history, "admitted", admitted);
    hs_end(history);
}

/* -- public --------------------------------------------------------------- */

sv_server *
sv_create(const sv_desc *desc, er_status *status)
{
    sv_server *server = g_new0(sv_server, 1);
    const char *name = desc->name ? desc->name : "server";
    const char *zone = desc->zone ? desc->zone : "zone";
    server->check_fence = desc->check_fence;
    server->timers = tm_create(&(tm_desc){0});
    sh_desc shell = desc->shell;
    shell.handle = _sv_on_call;
    shell.order = _sv_on_order;
    shell.user_data = server;
    server->shell = sh_create(&shell, status);
    if (!server->shell) {
        sv_destroy(server);
        return NULL;
    }
    if (desc->platform) {
        server->platform = pl_create(desc->platform, name);
        pl_register(server->platform, zone, sh_query_port(server->shell));
    }
    sv_context context = {.server = server,
                          .shell = server->shell,
                          .timers = server->timers,
                          .platform = server->platform};
    server->kind = desc->kind == SV_SERVICE ? vc_create(&context, desc)
                                            : ea_create(&context, desc);
    return server;
}

void
sv_destroy(sv_server *server)
{
    if (!server) {
        return;
    }
    if (server->kind) {
        server->kind->vt->destroy(server->kind);
    }
    sh_destroy(server->shell);
    pl_destroy(server->platform);
    tm_destroy(server->timers);
    g_free(server);
}

void
sv_run(sv_server *server)
{
    sh_run(server->shell);
}

bool
sv_admit(sv_server *server, SoupServerMessage *message, const char *order)
{
    const char *text = sh_query_header(message, "X-Fence");
    uint64_t fence = text ? g_ascii_strtoull(text, NULL, 10) : 0;
    bool stale = fence < server->highest_fence;
    bool admitted = !(stale && server->check_fence);
    _sv_record_request(server, message, order, fence, admitted);
    server->highest_fence = MAX(server->highest_fence, fence);
    if (!admitted) {
        g_autofree char *body = g_strdup_printf(
            "{\"error\":{\"type\":\"fenced\",\"fence\":%" G_GUINT64_FORMAT
            "}}",
            server->highest_fence);
        sh_answer(server->shell, message, 409, body);
    }
    return admitted;
}
