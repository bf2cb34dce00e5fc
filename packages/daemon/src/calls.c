#include "calls.h"

#include "lacewing/backend.h"
#include "lacewing/counter.h"
#include <inttypes.h>
#include <string.h>

#define _CS_TRIES_MAX 3
#define _CS_REST_MS 1000
#define _CS_RETRY_AFTER_MS 1000

typedef struct _cs_server {
    char *name;
    char *zone;
    be_server *backend;
    bool leaving;
    uint64_t rests_until_us; /* after a failure; tried last until then */
} _cs_server;

typedef struct _cs_call {
    cs_calls *calls;
    uint64_t id;
    char *operation;
    char *key;
    char **servers; /* allowed; empty: all */
    bool idempotent;
    GBytes *body;
    uint64_t deadline_us;
    cs_answer_call answer; /* NULL: the caller has left or is answered */
    bool sending;          /* a request to a service is open */
    void *user_data;
    cl_claim claim; /* id 0: idempotent */
    char *attempt;
    char *server; /* name of the one last tried */
    uint32_t tries;
    uint32_t skip; /* position in the order of servers */
} _cs_call;

struct cs_calls {
    cl_machine *claims;
    tm_service *timers;
    tb_table *table;
    wk_wakeup wakeup;
    char *instance;
    char *zone;
    uint64_t incarnation;
    GHashTable *servers; /* name -> _cs_server */
    GHashTable *leaving; /* set of names, whether configured or not */
    GHashTable *calls;   /* id -> _cs_call */
    uint64_t next_call;
    uint32_t turn; /* spreads calls over equal servers */
    bool pumping;
};

static void _cs_pump(cs_calls *calls);

/* -- private: helpers -------------------------------------------------------
 */

static uint64_t
_cs_now_us(const cs_calls *calls)
{
    return tm_query_now_us(calls->timers);
}

static void
_cs_server_free(void *data)
{
    _cs_server *server = data;
    be_destroy(server->backend);
    g_free(server->name);
    g_free(server->zone);
    g_free(server);
}

static void
_cs_call_free(void *data)
{
    _cs_call *call = data;
    g_free(call->operation);
    g_free(call->key);
    g_strfreev(call->servers);
    g_bytes_unref(call->body);
    g_free(call->attempt);
    g_free(call->server);
    g_free(call);
}

static _cs_call *
_cs_find(cs_calls *calls, uint64_t id)
{
    return g_hash_table_lookup(calls->calls, &id);
}

static void
_cs_answer(_cs_call *call, const cs_answer *answer)
{
    cs_answer_call on_answer = call->answer;
    call->answer = NULL;
    if (on_answer) {
        on_answer(answer, call->user_data);
    }
}

static void
_cs_end(_cs_call *call, const cs_answer *answer)
{
    cs_calls *calls = call->calls;
    uint64_t id = call->id;
    _cs_answer(call, answer);
    g_hash_table_remove(calls->calls, &id);
}

static uint32_t
_cs_time_left_ms(const _cs_call *call)
{
    uint64_t now_us = _cs_now_us(call->calls);
    if (call->deadline_us <= now_us + 1000) {
        return 0;
    }
    return (uint32_t)((call->deadline_us - now_us) / 1000);
}

/* -- private: choice of a server --------------------------------------------
 */

static bool
_cs_allowed(const _cs_call *call, const _cs_server *server)
{
    if (server->leaving) {
        return false;
    }
    return !call->servers[0] ||
           g_strv_contains((const char *const *)call->servers, server->name);
}

/* Less is better: resting servers last, then other zones. */
static uint32_t
_cs_rank(const cs_calls *calls, const _cs_server *server)
{
    uint32_t rank = strcmp(server->zone, calls->zone) == 0 ? 0 : 1;
    if (server->rests_until_us > _cs_now_us(calls)) {
        rank += 2;
    }
    return rank;
}

typedef struct _cs_choice {
    _cs_server *server;
    uint32_t rank;
    uint32_t turn;
} _cs_choice;

static int
_cs_compare(const void *a, const void *b)
{
    const _cs_choice *left = a;
    const _cs_choice *right = b;
    if (left->rank != right->rank) {
        return left->rank < right->rank ? -1 : 1;
    }
    return left->turn < right->turn ? -1 : left->turn > right->turn;
}

/* The call->skip-th best server; NULL when there are not so many. */
static _cs_server *
_cs_choose(const _cs_call *call)
{
    cs_calls *calls = call->calls;
    g_autoptr(GArray) choices = g_array_new(FALSE, FALSE, sizeof(_cs_choice));
    g_autoptr(GList) names = g_hash_table_get_keys(calls->servers);
    names = g_list_sort(names, (GCompareFunc)strcmp);
    uint32_t count = g_hash_table_size(calls->servers);
    uint32_t position = 0;
    for (GList *item = names; item; item = item->next, position++) {
        _cs_server *server = g_hash_table_lookup(calls->servers, item->data);
        if (_cs_allowed(call, server)) {
            _cs_choice choice = {
                .server = server,
                .rank = _cs_rank(calls, server),
                .turn = (uint32_t)((position + call->id) % count)};
            g_array_append_val(choices, choice);
        }
    }
    g_array_sort(choices, _cs_compare);
    if (call->skip >= choices->len) {
        return NULL;
    }
    return g_array_index(choices, _cs_choice, call->skip).server;
}

/* -- private: sending -------------------------------------------------------
 */

static void _cs_try(_cs_call *call);

static void
_cs_finish_claim(_cs_call *call, cl_result result, uint32_t status,
                 const char *body)
{
    cs_calls *calls = call->calls;
    uint64_t id = call->id;
    cl_finish(calls->claims, _cs_now_us(calls), call->claim, result, status,
              body);
    _cs_pump(calls);
    const _cs_call *still = _cs_find(calls, id);
    if (still && !still->answer) {
        g_hash_table_remove(calls->calls, &id);
    }
}

static void
_cs_succeeded(_cs_call *call, const be_call_result *result)
{
    gsize size = 0;
    const char *bytes = g_bytes_get_data(result->body, &size);
    g_autofree char *body = g_strndup(bytes, size);
    if (call->claim.id) {
        _cs_finish_claim(call, CL_RESULT_DONE, result->http_status, body);
        return;
    }
    _cs_end(call, &(cs_answer){.code = ER_OK,
                               .ran = DR_RAN_RAN,
                               .http_status = result->http_status,
                               .body = body,
                               .server = call->server});
}

static void
_cs_gave_up(_cs_call *call, er_code code, be_ran ran)
{
    if (call->claim.id) {
        _cs_finish_claim(
            call, ran == BE_RAN_NO ? CL_RESULT_NOT_SENT : CL_RESULT_UNKNOWN, 0,
            NULL);
        return;
    }
    _cs_end(call, &(cs_answer){.code = code,
                               .ran = ran == BE_RAN_NO ? DR_RAN_NOT_RUN
                                                       : DR_RAN_UNKNOWN,
                               .retry_after_ms = _CS_RETRY_AFTER_MS});
}

static void
_cs_failed(_cs_call *call, const be_call_result *result)
{
    _cs_server *server =
        g_hash_table_lookup(call->calls->servers, call->server);
    if (server) {
        server->rests_until_us =
            _cs_now_us(call->calls) + (uint64_t)_CS_REST_MS * 1000;
    }
    bool again = call->idempotent || result->ran == BE_RAN_NO;
    if (again && call->tries < _CS_TRIES_MAX && _cs_time_left_ms(call) > 0) {
        _cs_try(call);
        return;
    }
    _cs_gave_up(call, result->code, result->ran);
}

static void
_cs_on_call(be_server *backend, const be_call_result *result, void *data)
{
    (void)backend;
    _cs_call *call = data;
    call->sending = false;
    if (result->code == ER_OK) {
        _cs_succeeded(call, result);
    }
    else {
        _cs_failed(call, result);
    }
}

static void
_cs_try(_cs_call *call)
{
    _cs_server *server = _cs_choose(call);
    if (!server && call->skip > 0) {
        call->skip = 0;
        server = _cs_choose(call);
    }
    uint32_t left_ms = _cs_time_left_ms(call);
    if (!server || left_ms == 0) {
        _cs_gave_up(call, server ? ER_DEADLINE : ER_NO_SERVER, BE_RAN_NO);
        return;
    }
    call->sending = true;
    call->tries++;
    call->skip++;
    g_free(call->server);
    call->server = g_strdup(server->name);
    be_call(server->backend, &(be_call_desc){.operation = call->operation,
                                             .attempt = call->attempt,
                                             .key = call->key,
                                             .body = call->body,
                                             .repeatable = call->idempotent,
                                             .timeout_ms = left_ms,
                                             .call = _cs_on_call,
                                             .user_data = call});
}

static gboolean
_cs_on_start(void *data)
{
    _cs_try(data);
    return G_SOURCE_REMOVE;
}

/* -- private: claims --------------------------------------------------------
 */

static const dr_ran _cs_rans[CL_RAN_NUM] = {
    [CL_RAN_NO] = DR_RAN_NOT_RUN,
    [CL_RAN_YES] = DR_RAN_RAN,
    [CL_RAN_UNKNOWN] = DR_RAN_UNKNOWN,
};

static void
_cs_on_table(const co_table_result *result, void *data)
{
    cs_calls *calls = data;
    cl_feed(calls->claims, _cs_now_us(calls),
            &(cl_event){.type = CL_EVENT_TABLE, .table = result});
    _cs_pump(calls);
}

static void
_cs_act_send(cs_calls *calls, const cl_action *action)
{
    _cs_call *call = _cs_find(calls, action->tag);
    if (!call) {
        cl_finish(calls->claims, _cs_now_us(calls), action->claim,
                  CL_RESULT_NOT_SENT, 0, NULL);
        return;
    }
    ct_add(CT_CLAIMS, 1);
    call->attempt = g_strdup(action->attempt);
    _cs_try(call);
}

static void
_cs_act_answer(cs_calls *calls, const cl_action *action)
{
    _cs_call *call = _cs_find(calls, action->tag);
    if (!call) {
        return;
    }
    cs_answer answer = {.code = action->code,
                        .ran = _cs_rans[action->ran],
                        .retry_after_ms = action->retry_after_ms,
                        .http_status = action->status,
                        .body = action->outcome,
                        .replayed = action->replayed,
                        .server = action->replayed ? NULL : call->server};
    _cs_answer(call, &answer);
    if (!call->sending) {
        uint64_t id = call->id;
        g_hash_table_remove(calls->calls, &id);
    }
}

static void
_cs_carry_out(cs_calls *calls, const cl_action *action)
{
    switch (action->type) {
    case CL_ACTION_TABLE:
        if (action->table.kind == CO_TABLE_COMMIT ||
            action->table.kind == CO_TABLE_DEFAULT) {
            ct_add(CT_CLAIM_WRITES, 1);
        }
        tb_call(calls->table, &action->table, _cs_on_table, calls);
        break;
    case CL_ACTION_SEND:
        _cs_act_send(calls, action);
        break;
    case CL_ACTION_ANSWER:
        _cs_act_answer(calls, action);
        break;
    case CL_ACTION_DEFAULT:
    case CL_ACTION_NUM:
        break;
    }
}

static void
_cs_pump(cs_calls *calls)
{
    if (calls->pumping) {
        return;
    }
    calls->pumping = true;
    cl_action action;
    while (cl_next_action(calls->claims, &action)) {
        _cs_carry_out(calls, &action);
    }
    calls->pumping = false;
    wk_set(&calls->wakeup, cl_query_wakeup_us(calls->claims));
}

static void
_cs_on_tick(uint64_t now_us, void *data)
{
    cs_calls *calls = data;
    cl_feed(calls->claims, now_us, &(cl_event){.type = CL_EVENT_TICK});
    _cs_pump(calls);
}

/* -- public -----------------------------------------------------------------
 */

cs_calls *
cs_create(const cs_desc *desc)
{
    cs_calls *calls = g_new0(cs_calls, 1);
    calls->timers = desc->timers;
    calls->table = desc->table;
    calls->instance = g_strdup(desc->instance);
    calls->zone = g_strdup(desc->zone);
    calls->incarnation = desc->incarnation;
    calls->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, _cs_server_free);
    calls->leaving =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    calls->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                         _cs_call_free);
    calls->next_call = 1;
    calls->claims = cl_create(&(cl_desc){.instance = desc->instance,
                                         .incarnation = desc->incarnation,
                                         .seed = desc->incarnation});
    wk_setup(&calls->wakeup, desc->timers, _cs_on_tick, calls);
    return calls;
}

void
cs_destroy(cs_calls *calls)
{
    if (calls) {
        wk_shutdown(&calls->wakeup);
        g_hash_table_unref(calls->servers);
        g_hash_table_unref(calls->leaving);
        g_hash_table_unref(calls->calls);
        cl_destroy(calls->claims);
        g_free(calls->instance);
        g_free(calls->zone);
        g_free(calls);
    }
}

static void
_cs_add_server(cs_calls *calls, const dc_server *desc)
{
    _cs_server *server = g_hash_table_lookup(calls->servers, desc->name);
    if (server &&
        strcmp(be_query_address(server->backend), desc->address) != 0) {
        return;
    }
    if (!server) {
        server = g_new0(_cs_server, 1);
        server->name = g_strdup(desc->name);
        server->zone = g_strdup(desc->zone);
        server->backend = be_create(
            &(be_desc){.address = desc->address, .timers = calls->timers});
        be_set_fence(server->backend, 0, calls->instance);
        g_hash_table_insert(calls->servers, server->name, server);
    }
    server->leaving = desc->state == DC_SERVER_DRAIN ||
                      g_hash_table_contains(calls->leaving, desc->name);
}

static gboolean
_cs_sends_to(void *key, void *value, void *name)
{
    (void)key;
    const _cs_call *call = value;
    return call->sending && strcmp(call->server, name) == 0;
}

/* Servers that are no longer configured, or elsewhere now. One with a call
   open stays, without new calls, until a later configuration. */
static void
_cs_remove_servers(cs_calls *calls, const dc_config *config)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, calls->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _cs_server *server = value;
        const dc_server *desc = dc_query_server(config, server->name);
        if (desc && desc->kind == DC_SERVER_SERVICE &&
            strcmp(be_query_address(server->backend), desc->address) == 0) {
            continue;
        }
        server->leaving = true;
        if (!g_hash_table_find(calls->calls, _cs_sends_to, server->name)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

void
cs_set_config(cs_calls *calls, const dc_config *config)
{
    _cs_remove_servers(calls, config);
    for (uint32_t i = 0; i < dc_query_count(config, DC_SERVER); i++) {
        const dc_server *desc = dc_query_server_at(config, i);
        if (desc->kind == DC_SERVER_SERVICE) {
            _cs_add_server(calls, desc);
        }
    }
}

void
cs_set_leaving(cs_calls *calls, const char *name)
{
    g_hash_table_add(calls->leaving, g_strdup(name));
    _cs_server *server = g_hash_table_lookup(calls->servers, name);
    if (server) {
        server->leaving = true;
    }
}

void
cs_take_peer(cs_calls *calls, const char *instance, uint64_t incarnation,
             bool alive)
{
    cl_feed(calls->claims, _cs_now_us(calls),
            &(cl_event){.type = CL_EVENT_PEER,
                        .instance = instance,
                        .incarnation = incarnation,
                        .alive = alive});
    _cs_pump(calls);
}

/* SHA-256 over operation and body: the same key must mean the same call. */
static char *
_cs_body_hash(const cs_call_desc *desc)
{
    g_autoptr(GChecksum) sum = g_checksum_new(G_CHECKSUM_SHA256);
    gsize size = 0;
    const guchar *body = g_bytes_get_data(desc->body, &size);
    g_checksum_update(sum, (const guchar *)desc->operation->name,
                      (gssize)strlen(desc->operation->name) + 1);
    g_checksum_update(sum, body, (gssize)size);
    return g_strdup(g_checksum_get_string(sum));
}

static _cs_call *
_cs_call_create(cs_calls *calls, const cs_call_desc *desc)
{
    _cs_call *call = g_new0(_cs_call, 1);
    call->calls = calls;
    call->id = calls->next_call++;
    call->operation = g_strdup(desc->operation->name);
    call->key = g_strdup(desc->key);
    call->servers = g_strdupv(desc->operation->servers);
    call->idempotent = desc->operation->idempotent;
    call->body = g_bytes_ref(desc->body);
    call->deadline_us =
        _cs_now_us(calls) + (uint64_t)desc->time_left_ms * 1000;
    call->answer = desc->answer;
    call->user_data = desc->user_data;
    g_hash_table_insert(calls->calls, &call->id, call);
    return call;
}

uint64_t
cs_submit(cs_calls *calls, const cs_call_desc *desc)
{
    _cs_call *call = _cs_call_create(calls, desc);
    uint64_t id = call->id;
    if (call->idempotent) {
        call->attempt =
            g_strdup_printf("%s/%" PRIx64 "/%" PRIu64, calls->instance,
                            calls->incarnation, id);
        g_idle_add_full(G_PRIORITY_DEFAULT, _cs_on_start, call, NULL);
        return id;
    }
    g_autofree char *hash = _cs_body_hash(desc);
    call->claim =
        cl_make_claim(calls->claims, _cs_now_us(calls),
                      &(cl_claim_desc){.tag = id,
                                       .team = desc->team,
                                       .key = desc->key,
                                       .body_hash = hash,
                                       .deadline_us = call->deadline_us});
    if (!call->claim.id) {
        g_hash_table_remove(calls->calls, &id);
        return 0;
    }
    wk_set(&calls->wakeup, 0);
    return id;
}

void
cs_leave(cs_calls *calls, uint64_t id)
{
    _cs_call *call = _cs_find(calls, id);
    if (!call) {
        return;
    }
    call->answer = NULL;
    if (call->claim.id) {
        cl_leave(calls->claims, _cs_now_us(calls), call->claim);
        if (!call->sending) {
            g_hash_table_remove(calls->calls, &id);
        }
        _cs_pump(calls);
    }
}

uint32_t
cs_query_open(const cs_calls *calls)
{
    return g_hash_table_size(calls->calls);
}

uint32_t
cs_query_unwritten(const cs_calls *calls)
{
    return cl_query_unwritten_count(calls->claims);
}

cl_stats
cs_query_stats(const cs_calls *calls)
{
    return cl_query_stats(calls->claims);
}
