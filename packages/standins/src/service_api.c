/*
 * service_api.c: the HTTP API of the stand-in plain service (prefix vc_);
 * vc_create() is declared in server_api.h. The service counts how often each
 * call ran, so that tests can see repeated execution.
 */
#include "server_api.h"

#define _VC_DEFAULT_CALL_MS 20
#define _VC_CALL_PATH "/call/"

typedef struct _vc_service {
    sv_kind_base base; /* first member */
    sv_context context;
    uint32_t call_ms;
    char *incarnation;
    GHashTable *run_counts; /* Idempotency-Key -> number of runs */
    double slow_factor;     /* until slow_end_us */
    uint64_t slow_end_us;
} _vc_service;

/* A call that is answered when its simulated duration is over. */
typedef struct _vc_call {
    _vc_service *service;
    SoupServerMessage *message;
    char *answer; /* JSON */
} _vc_call;

/* -- private: calls ------------------------------------------------------- */

static gboolean
_vc_on_done(void *data)
{
    _vc_call *call = data;
    sh_answer(call->service->context.shell, call->message, 200, call->answer);
    g_object_unref(call->message);
    g_free(call->answer);
    g_free(call);
    return G_SOURCE_REMOVE;
}

/* Counts a run of the call with this Idempotency-Key; returns its number,
   from 1. */
static uint32_t
_vc_count_run(_vc_service *service, const char *key)
{
    gsize count =
        GPOINTER_TO_SIZE(g_hash_table_lookup(service->run_counts, key));
    count++;
    g_hash_table_replace(service->run_counts, g_strdup(key),
                         GSIZE_TO_POINTER(count));
    return (uint32_t)count;
}

static uint32_t
_vc_duration_ms(const _vc_service *service)
{
    uint64_t now_us = tm_query_now_us(service->context.timers);
    double factor = now_us < service->slow_end_us ? service->slow_factor : 1.0;
    return (uint32_t)(service->call_ms * factor);
}

static void
_vc_record_run(_vc_service *service, SoupServerMessage *message,
               const char *operation, uint32_t run)
{
    hs_history *history = sh_query_history(service->context.shell);
    hs_begin(history, "run");
    hs_add_text(history, "key", sh_query_header(message, "Idempotency-Key"));
    hs_add_text(history, "attempt", sh_query_header(message, "X-Attempt"));
    hs_add_text(history, "operation", operation);
    hs_add_int(history, "run", run);
    hs_end(history);
}

static char *
_vc_answer_json(const char *operation, const char *key, uint32_t run)
{
    g_autoptr(JsonBuilder) builder = json_builder_new_immutable();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "result");
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "operation");
    json_builder_add_string_value(builder, operation);
    json_builder_set_member_name(builder, "key");
    json_builder_add_string_value(builder, key);
    json_builder_end_object(builder);
    json_builder_set_member_name(builder, "run");
    json_builder_add_int_value(builder, run);
    json_builder_end_object(builder);
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    return json_to_string(root, FALSE);
}

static void
_vc_handle(void *kind, SoupServerMessage *message, const char *path,
           GHashTable *query)
{
    (void)query;
    _vc_service *service = kind;
    if (!g_str_has_prefix(path, _VC_CALL_PATH)) {
        sh_answer(service->context.shell, message, 404, "{}");
        return;
    }
    if (!sv_admit(service->context.server, message, "call")) {
        return;
    }
    const char *operation = path + strlen(_VC_CALL_PATH);
    const char *key = sh_query_header(message, "Idempotency-Key");
    uint32_t run = key ? _vc_count_run(service, key) : 1;
    _vc_record_run(service, message, operation, run);
    _vc_call *call = g_new0(_vc_call, 1);
    call->service = service;
    call->message = g_object_ref(message);
    call->answer = _vc_answer_json(operation, key ? key : "", run);
    g_timeout_add(_vc_duration_ms(service), _vc_on_done, call);
}

/* -- private: kind -------------------------------------------------------- */

static bool
_vc_order(void *kind, const char *order, JsonObject *body)
{
    _vc_service *service = kind;
    if (!g_str_equal(order, "slow")) {
        return false;
    }
    service->slow_factor = (double)sh_query_int(body, "factor", 10);
    service->slow_end_us = tm_query_now_us(service->context.timers) +
                           (uint64_t)sh_query_int(body, "ms", 0) * 1000;
    return true;
}

static const char *
_vc_incarnation(void *kind)
{
    return ((_vc_service *)kind)->incarnation;
}

static void
_vc_destroy(void *kind)
{
    _vc_service *service = kind;
    g_hash_table_unref(service->run_counts);
    g_free(service->incarnation);
    g_free(service);
}

static const sv_kind_vt _vc_vt = {
    .destroy = _vc_destroy,
    .handle = _vc_handle,
    .order = _vc_order,
    .incarnation = _vc_incarnation,
};

/* -- public --------------------------------------------------------------- */

sv_kind_base *
vc_create(const sv_context *context, const sv_desc *desc)
{
    _vc_service *service = g_new0(_vc_service, 1);
    service->base.vt = &_vc_vt;
    service->context = *context;
    service->call_ms = desc->call_ms ? desc->call_ms : _VC_DEFAULT_CALL_MS;
    service->incarnation =
        g_strdup_printf("%" G_GINT64_MODIFIER "x", g_get_real_time());
    service->run_counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return &service->base;
}
