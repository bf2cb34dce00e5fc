/*
 * engine_api.c: the HTTP API of the stand-in engine (prefix ea_); ea_create()
 * is declared in server_api.h.
 */
#include "engine_stream.h"
#include "load_report.h"
#include "server_api.h"

#define _EA_DEFAULT_LOAD_MS 250
#define _EA_DEFAULT_REPORT_LAG_MS 500
#define _EA_ERROR_NO_ROOM "{\"error\":{\"type\":\"no_room\"}}"
#define _EA_ERROR_LOAD_FAILED "{\"error\":{\"type\":\"load_failed\"}}"
#define _EA_ERROR_STARTING "{\"error\":{\"type\":\"starting\"}}"
#define _EA_ERROR_NOT_RESIDENT                                                \
    "{\"error\":{\"type\":\"adapter_not_resident\"}}"
#define _EA_ERROR_ATTEMPT_OPEN "{\"error\":{\"type\":\"attempt_open\"}}"

typedef struct _ea_engine {
    sv_kind_base base; /* first member */
    sv_context context;
    en_engine *engine;
    pc_cache *cache;
    lr_reports reports;
    tm_timer sample_timer;
    GHashTable *load_waiters; /* model -> GPtrArray of the messages to
                                answer when its load ends */
    uint32_t load_ms;         /* of a load without a platform */
    uint32_t failures_left;   /* number of next loads that fail */
} _ea_engine;

typedef struct _ea_load {
    _ea_engine *server;
    char *model;
    char *incarnation; /* of the engine when the load began */
} _ea_load;

/* -- private: completions ------------------------------------------------- */

static void
_ea_on_token(uint32_t index, const char *text, void *user_data)
{
    es_send_token(user_data, index, text);
}

static void
_ea_on_finish(en_finish_reason reason, uint32_t tokens, void *user_data)
{
    es_finish(user_data, reason, tokens);
}

static const en_callbacks _ea_callbacks = {
    .on_token = _ea_on_token,
    .on_finish = _ea_on_finish,
};

static void
_ea_on_disconnect(const char *attempt, void *user_data)
{
    _ea_engine *server = user_data;
    uint32_t tokens = 0;
    en_end_run(server->engine, attempt, EN_FINISH_CANCELLED, &tokens);
}

static void
_ea_answer_error(_ea_engine *server, SoupServerMessage *message, er_code code)
{
    sh_shell *shell = server->context.shell;
    if (code == ER_NOT_READY) {
        sh_answer(shell, message, 503, _EA_ERROR_STARTING);
    }
    else if (code == ER_UNKNOWN_MODEL) {
        sh_answer(shell, message, 404, _EA_ERROR_NOT_RESIDENT);
    }
    else {
        sh_answer(shell, message, 409, _EA_ERROR_ATTEMPT_OPEN);
    }
}

/* Name of the attempt: the X-Attempt header, or "REQUEST_ID/ATTEMPT" from the
   body. */
static char *
_ea_attempt_name(SoupServerMessage *message, JsonObject *body)
{
    const char *header = sh_query_header(message, "X-Attempt");
    if (header) {
        return g_strdup(header);
    }
    return g_strdup_printf("%s/%d", sh_query_text(body, "request_id", "r"),
                           (int)sh_query_int(body, "attempt", 1));
}

static void
_ea_start_completion(_ea_engine *server, SoupServerMessage *message,
                     JsonObject *body)
{
    const char *model = sh_query_text(body, "model", "");
    const char *prompt = sh_query_text(body, "prompt", "");
    const char *priority = sh_query_header(message, "X-Priority");
    g_autofree char *attempt = _ea_attempt_name(message, body);
    uint64_t now_us = tm_query_now_us(server->context.timers);
    es_stream *stream =
        es_create(&(es_desc){.shell = server->context.shell,
                             .message = message,
                             .model = model,
                             .attempt = attempt,
                             .on_disconnect = _ea_on_disconnect,
                             .user_data = server});
    er_code code = en_add_run(
        server->engine,
        &(en_run_desc){
            .attempt = attempt,
            .model = model,
            .prompt = prompt,
            .max_tokens = (uint32_t)sh_query_int(body, "max_tokens", 16),
            .resume_from = (uint32_t)sh_query_int(body, "resume_from", 0),
            .priority = priority ? g_ascii_strtoll(priority, NULL, 10) : 0,
            .prefix_cached = pc_touch(server->cache, now_us, prompt),
            .user_data = stream});
    if (code != ER_OK) {
        es_discard(stream);
        _ea_answer_error(server, message, code);
    }
}

static void
_ea_end_run(_ea_engine *server, SoupServerMessage *message, JsonObject *body,
            en_finish_reason reason)
{
    uint32_t tokens = 0;
    bool found = en_end_run(server->engine, sh_query_text(body, "attempt", ""),
                            reason, &tokens);
    const char *name = reason == EN_FINISH_PAUSED ? "paused" : "cancelled";
    g_autofree char *answer = g_strdup_printf(
        "{\"%s\":%s,\"tokens\":%u}", name, found ? "true" : "false", tokens);
    sh_answer(server->context.shell, message, 200, answer);
}

/* -- private: adapters ---------------------------------------------------- */

static char *
_ea_model_name(JsonObject *body)
{
    return g_strdup_printf("%s@%s", sh_query_text(body, "lora_name", ""),
                           sh_query_text(body, "version", ""));
}

static void
_ea_answer_loads(_ea_engine *server, const char *model, bool loaded)
{
    GPtrArray *waiters = g_hash_table_lookup(server->load_waiters, model);
    for (guint i = 0; waiters && i < waiters->len; i++) {
        sh_answer(server->context.shell, g_ptr_array_index(waiters, i),
                  loaded ? 200 : 503, loaded ? "{}" : _EA_ERROR_LOAD_FAILED);
    }
    g_hash_table_remove(server->load_waiters, model);
}

/* Ends a load, unless the engine restarted after the load began. */
static void
_ea_on_fetched(bool fetched, void *user_data)
{
    _ea_load *load = user_data;
    _ea_engine *server = load->server;
    const char *incarnation = en_query_incarnation(server->engine);
    if (g_str_equal(load->incarnation, incarnation)) {
        bool loaded = fetched && !server->failures_left;
        server->failures_left -= server->failures_left > 0;
        en_end_load(server->engine, load->model, loaded);
        _ea_answer_loads(server, load->model, loaded);
    }
    g_free(load->model);
    g_free(load->incarnation);
    g_free(load);
}

static gboolean
_ea_on_load_elapsed(void *data)
{
    _ea_on_fetched(true, data);
    return G_SOURCE_REMOVE;
}

static void
_ea_begin_load(_ea_engine *server, const char *model, JsonObject *body)
{
    _ea_load *load = g_new0(_ea_load, 1);
    load->server = server;
    load->model = g_strdup(model);
    load->incarnation = g_strdup(en_query_incarnation(server->engine));
    if (server->context.platform) {
        pl_fetch_weights(
            server->context.platform, sh_query_text(body, "lora_name", ""),
            sh_query_text(body, "version", ""), _ea_on_fetched, load);
    }
    else {
        g_timeout_add(server->load_ms, _ea_on_load_elapsed, load);
    }
}

static void
_ea_add_load_waiter(_ea_engine *server, const char *model,
                    SoupServerMessage *message)
{
    GPtrArray *waiters = g_hash_table_lookup(server->load_waiters, model);
    if (!waiters) {
        waiters = g_ptr_array_new_with_free_func(g_object_unref);
        g_hash_table_insert(server->load_waiters, g_strdup(model), waiters);
    }
    g_ptr_array_add(waiters, g_object_ref(message));
}

static void
_ea_load_adapter(_ea_engine *server, SoupServerMessage *message,
                 JsonObject *body)
{
    g_autofree char *model = _ea_model_name(body);
    sh_shell *shell = server->context.shell;
    switch (en_begin_load(server->engine, model)) {
    case EN_LOAD_RESIDENT:
        sh_answer(shell, message, 200, "{}");
        break;
    case EN_LOAD_NO_FREE_SLOT:
        sh_answer(shell, message, 409, _EA_ERROR_NO_ROOM);
        break;
    case EN_LOAD_STARTING:
        sh_answer(shell, message, 503, _EA_ERROR_STARTING);
        break;
    case EN_LOAD_IN_PROGRESS:
        _ea_add_load_waiter(server, model, message);
        break;
    case EN_LOAD_DEFAULT:
    case EN_LOAD_NUM:
        _ea_add_load_waiter(server, model, message);
        _ea_begin_load(server, model, body);
        break;
    }
}

static void
_ea_unload_adapter(_ea_engine *server, SoupServerMessage *message,
                   JsonObject *body)
{
    g_autofree char *model = _ea_model_name(body);
    bool evicted = en_evict(server->engine, model);
    sh_answer(server->context.shell, message, evicted ? 200 : 404,
              evicted ? "{\"evicted\":true}" : _EA_ERROR_NOT_RESIDENT);
}

/* -- private: reports ----------------------------------------------------- */

static void
_ea_on_sample(uint64_t now_us, void *user_data)
{
    _ea_engine *server = user_data;
    lr_sample(&server->reports,
              &(lr_item){.at_us = now_us,
                         .wall_ms = tm_query_wall_ms(),
                         .running = en_query_running(server->engine),
                         .waiting = en_query_waiting(server->engine)});
}

static void
_ea_answer_load_report(_ea_engine *server, SoupServerMessage *message)
{
    lr_item item = lr_query_delayed(&server->reports,
                                    tm_query_now_us(server->context.timers));
    g_autofree char *body = g_strdup_printf(
        "{\"incarnation\":\"%s\",\"running\":%u,\"waiting\":%u,"
        "\"sampled_ms\":%" G_GUINT64_FORMAT ",\"lag_ms\":%u}",
        en_query_incarnation(server->engine), item.running, item.waiting,
        item.wall_ms, server->reports.lag_ms);
    sh_answer(server->context.shell, message, 200, body);
}

static void
_ea_answer_adapters(_ea_engine *server, SoupServerMessage *message)
{
    g_autofree char *adapters = en_query_adapters_json(server->engine);
    g_autofree char *body =
        g_strdup_printf("{\"incarnation\":\"%s\",\"adapters\":%s}",
                        en_query_incarnation(server->engine), adapters);
    sh_answer(server->context.shell, message, 200, body);
}

static void
_ea_answer_cache_events(_ea_engine *server, SoupServerMessage *message,
                        GHashTable *query)
{
    const char *text = query ? g_hash_table_lookup(query, "after") : NULL;
    uint64_t after = text ? g_ascii_strtoull(text, NULL, 10) : 0;
    g_autofree char *body = pc_query_events_json(
        server->cache, tm_query_now_us(server->context.timers), after);
    sh_answer(server->context.shell, message, 200, body);
}

/* -- private: routes ------------------------------------------------------ */

typedef void (*_ea_route_call)(_ea_engine *server, SoupServerMessage *message,
                               JsonObject *body);

static void
_ea_cancel(_ea_engine *server, SoupServerMessage *message, JsonObject *body)
{
    _ea_end_run(server, message, body, EN_FINISH_CANCELLED);
}

static void
_ea_pause(_ea_engine *server, SoupServerMessage *message, JsonObject *body)
{
    _ea_end_run(server, message, body, EN_FINISH_PAUSED);
}

/* Requests that the fencing number applies to. */
static const struct {
    const char *path;
    const char *order; /* name of the request in the history */
    _ea_route_call call;
} _ea_routes[] = {
    {"/v1/completions", "completion", _ea_start_completion},
    {"/v1/cancel", "cancel", _ea_cancel},
    {"/v1/pause", "pause", _ea_pause},
    {"/v1/load_lora_adapter", "load", _ea_load_adapter},
    {"/v1/unload_lora_adapter", "unload", _ea_unload_adapter},
};

static void
_ea_call_route(_ea_engine *server, SoupServerMessage *message, size_t index)
{
    g_autoptr(JsonNode) root = sh_query_body(message);
    if (!root) {
        sh_answer(server->context.shell, message, 400, "{}");
        return;
    }
    if (sv_admit(server->context.server, message, _ea_routes[index].order)) {
        _ea_routes[index].call(server, message, json_node_get_object(root));
    }
}

static void
_ea_handle(void *kind, SoupServerMessage *message, const char *path,
           GHashTable *query)
{
    _ea_engine *server = kind;
    for (size_t i = 0; i < G_N_ELEMENTS(_ea_routes); i++) {
        if (g_str_equal(path, _ea_routes[i].path)) {
            _ea_call_route(server, message, i);
            return;
        }
    }
    if (g_str_equal(path, "/v1/load")) {
        _ea_answer_load_report(server, message);
    }
    else if (g_str_equal(path, "/v1/adapters")) {
        _ea_answer_adapters(server, message);
    }
    else if (g_str_equal(path, "/v1/cache_events")) {
        _ea_answer_cache_events(server, message, query);
    }
    else {
        sh_answer(server->context.shell, message, 404, "{}");
    }
}

/* -- private: kind -------------------------------------------------------- */

static void
_ea_restart(_ea_engine *server)
{
    en_restart(server->engine);
    pc_clear(server->cache, tm_query_now_us(server->context.timers));
    g_autoptr(GList) models = g_hash_table_get_keys(server->load_waiters);
    for (GList *item = models; item; item = item->next) {
        g_autofree char *model = g_strdup(item->data);
        _ea_answer_loads(server, model, false);
    }
}

static bool
_ea_order(void *kind, const char *order, JsonObject *body)
{
    _ea_engine *server = kind;
    if (g_str_equal(order, "restart_empty")) {
        _ea_restart(server);
    }
    else if (g_str_equal(order, "fail_loads")) {
        server->failures_left = (uint32_t)sh_query_int(body, "count", 1);
    }
    else if (g_str_equal(order, "slow")) {
        en_slow_down(server->engine, (double)sh_query_int(body, "factor", 10),
                     (uint32_t)sh_query_int(body, "ms", 0));
    }
    else if (g_str_equal(order, "crash_on")) {
        en_set_crash_text(server->engine, sh_query_text(body, "text", ""));
    }
    else {
        return false;
    }
    return true;
}

static const char *
_ea_incarnation(void *kind)
{
    return en_query_incarnation(((_ea_engine *)kind)->engine);
}

static void
_ea_destroy(void *kind)
{
    _ea_engine *server = kind;
    tm_destroy_timer(server->context.timers, server->sample_timer);
    en_destroy(server->engine);
    pc_destroy(server->cache);
    g_hash_table_unref(server->load_waiters);
    g_free(server);
}

static const sv_kind_vt _ea_vt = {
    .destroy = _ea_destroy,
    .handle = _ea_handle,
    .order = _ea_order,
    .incarnation = _ea_incarnation,
};

/* -- public --------------------------------------------------------------- */

sv_kind_base *
ea_create(const sv_context *context, const sv_desc *desc)
{
    _ea_engine *server = g_new0(_ea_engine, 1);
    server->base.vt = &_ea_vt;
    server->context = *context;
    en_desc engine = desc->engine;
    engine.callbacks = &_ea_callbacks;
    engine.history = sh_query_history(context->shell);
    engine.timers = context->timers;
    server->engine = en_create(&engine);
    server->cache = pc_create(&desc->cache);
    server->reports.lag_ms =
        desc->report_lag_ms ? desc->report_lag_ms : _EA_DEFAULT_REPORT_LAG_MS;
    server->load_ms = desc->load_ms ? desc->load_ms : _EA_DEFAULT_LOAD_MS;
    server->load_waiters = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    server->sample_timer = tm_make_timer(
        context->timers, &(tm_timer_desc){.period_ms = LR_PERIOD_MS,
                                          .call = _ea_on_sample,
                                          .user_data = server});
    return &server->base;
}
