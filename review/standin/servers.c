/* servers.c: backend servers: engines with models, and plain services. */
#include "bed.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* As the sheet of the small deployment says. */
#define KV_CAPACITY_TOKENS 124714
#define HEARTBEAT_MS 1200
#define ADAPTER_LOAD_MS 250
#define MODEL_LOAD_MS 600
#define TOKENS_PER_MS 38.4
#define STEP_MS 30
#define DOWN_MS 3000
#define MODEL_MB 42700.0
#define ADAPTER_MB 66.0
#define SERVER_MB 45000.0
#define MAX_SERVER_ADAPTERS 22
#define REFUSAL_MS 2

typedef struct run {
    server *server;
    int64_t born_ms;
    conn *conn;
    char id[40];
    int work;
    bool resumable;
    bool torn;
    int events_left;
    int event;
    bool over;
} run;

server servers[MAX_SERVERS];
int server_count;
void (*on_arrival)(server *s, const char *holder, int64_t fence);
void (*on_order)(server *s, const char *operation, const char *model,
                 const char *adapter, const char *body);

static void begin_run(void *data);

/* -- entries -------------------------------------------------------------- */

static void
print_models(const server *s, buffer *out)
{
    buffer_print(out, "\"Models\":[");
    if (s->has_model) {
        buffer_print(out, "{\"Name\":\"%s\",\"Version\":1,\"Adapters\":[",
                     MODEL);
        for (int i = 0; i < s->adapter_count; i++) {
            buffer_print(out, "%s\"%s@1\"", i ? "," : "", s->adapters[i]);
        }
        buffer_print(out, "]}");
    }
    if (s->has_other_model) {
        buffer_print(out, "%s{\"Name\":\"%s\",\"Version\":1,\"Adapters\":[]}",
                     s->has_model ? "," : "", OTHER_MODEL);
    }
    buffer_print(out, "]");
}

static void
put_entry(server *s)
{
    buffer out = {0};
    buffer_print(&out,
                 "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"z1\","
                 "\"Version\":\"v1\",\"Slots\":%d,\"State\":\"ready\","
                 "\"ColdRemainingMs\":0,\"Sequence\":%lld,\"born\":%lld",
                 s->service, s->address, s->slots, (long long)s->sequence,
                 (long long)s->born_ms);
    if (s->engine) {
        buffer_print(&out, ",\"Stage\":\"colocated\",");
        print_models(s, &out);
    }
    buffer_print(&out, "}");
    store_put("servers", s->id, out.data);
    free(out.data);
}

static void
beat(void *data)
{
    server *s = data;
    static int64_t seen[MAX_SERVERS];
    if (s->up && seen[s - servers] != s->sequence * 2 + s->has_model) {
        seen[s - servers] = s->sequence * 2 + s->has_model;
        put_entry(s);
    }
    call_later(HEARTBEAT_MS, beat, s);
}

/* -- answers -------------------------------------------------------------- */

static void
answer(conn *c, const char *id, int status, const char *headers,
       const char *body)
{
    buffer out = {0};
    buffer_print(&out,
                 "HTTP/1.1 %d Status\r\nRequest-Id: %s\r\n"
                 "Response-Seal: s.%s.%d\r\n%sContent-Length: %zu\r\n\r\n",
                 status, id, id, status, headers, strlen(body));
    write_bytes(c, out.data, out.length);
    write_text(c, body);
    free(out.data);
}

static void
end_run(run *r)
{
    if (!r->over && r->born_ms == r->server->born_ms) {
        r->server->running--;
    }
    r->over = true;
}

/* A run ends when its connection closes. */
static bool
run_is_over(run *r)
{
    if (!r->over && (r->conn->freed || r->born_ms != r->server->born_ms)) {
        end_run(r);
    }
    return r->over;
}

static void
write_endless(conn *c)
{
    static char pieces[60000];
    if (!pieces[0]) {
        for (size_t i = 0; i < sizeof(pieces); i += 6) {
            memcpy(pieces + i, "1\r\nx\r\n", 6);
        }
    }
    write_bytes(c, pieces, sizeof(pieces));
}

static void
write_event(void *data)
{
    run *r = data;
    if (run_is_over(r)) {
        return;
    }
    char event[160];
    char chunk[200];
    r->event++;
    if (r->torn && r->event == 21) {
        note("%s ends the stream of %s inside event 21", r->server->id, r->id);
        r->server->torn++;
        write_text(r->conn, "8\r\nid: 21\nd\r\n0\r\n\r\n");
        end_run(r);
        return;
    }
    snprintf(event, sizeof(event), "id: %d\ndata: %-60d\n\n", r->event,
             r->event);
    snprintf(chunk, sizeof(chunk), "%zx\r\n%s\r\n", strlen(event), event);
    write_text(r->conn, chunk);
    if (--r->events_left > 0) {
        call_later(STEP_MS, write_event, r);
        return;
    }
    write_text(r->conn, "0\r\n\r\n");
    end_run(r);
}

static void
begin_stream(run *r)
{
    char head[400];
    bool endless = r->server->trouble == ENDLESS_PIECES && r->resumable;
    snprintf(head, sizeof(head),
             "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s.%s.200\r\n"
             "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n",
             r->id, r->id);
    write_text(r->conn, head);
    if (endless) {
        r->server->endless++;
        note("%s begins an answer without end to %s", r->server->id, r->id);
        r->conn->on_drained = write_endless;
        write_endless(r->conn);
        return;
    }
    r->torn =
        r->server->trouble == TORN_STREAMS && ++r->server->streams % 20 == 0;
    write_event(r);
}

static void
begin_run(void *data)
{
    run *r = data;
    if (run_is_over(r)) {
        return;
    }
    if (r->server->engine) {
        begin_stream(r);
        return;
    }
    size_t size = r->server->answer_bytes ? r->server->answer_bytes : 800;
    char *body = malloc(size + 1);
    memset(body, 'b', size);
    body[size] = '\0';
    answer(r->conn, r->id, 200, "Content-Type: text/plain\r\n", body);
    free(body);
    end_run(r);
}

typedef struct refusal {
    conn *conn;
    char id[40];
} refusal;

static void
refuse_later(void *data)
{
    refusal *r = data;
    if (!r->conn->freed) {
        answer(r->conn, r->id, 503, "Not-Executed: 1\r\n", "");
    }
    free(r);
}

/* -- requests ------------------------------------------------------------- */

/* Returns whether the engine holds what a Model header names. */
static bool
holds(const server *s, const char *model)
{
    const char *slash = strchr(model, '/');
    size_t length = slash ? (size_t)(slash - model) : strlen(model);
    bool base = length == strlen(MODEL) && strncmp(model, MODEL, length) == 0
                    ? s->has_model
                    : length == strlen(OTHER_MODEL) &&
                          strncmp(model, OTHER_MODEL, length) == 0 &&
                          s->has_other_model;
    if (!base || !slash) {
        return base;
    }
    for (int i = 0; i < s->adapter_count; i++) {
        if (strcmp(s->adapters[i], slash + 1) == 0) {
            return true;
        }
    }
    return false;
}

static void
handle_run(server *s, conn *c, const request *q, const char *id)
{
    char model[512];
    char tokens[64];
    work *w = find_work(id);
    get_header(q->head, "Model", model, sizeof(model));
    get_header(q->head, "Token-Usage", tokens, sizeof(tokens));
    if (w) {
        w->arrived = true;
        w->arrived_ms = now_ms();
        w->server = (int)(s - servers);
    }
    if (s->engine && !holds(s, model)) {
        char headers[80];
        snprintf(headers, sizeof(headers),
                 "Not-Executed: 1\r\nInstance-Id: %s\r\n", s->id);
        answer(c, id, 421, headers, "");
        return;
    }
    double prompt = strtod(tokens, NULL);
    if (s->running >= s->slots * 4 ||
        (s->engine && prompt > KV_CAPACITY_TOKENS)) {
        refusal *r = calloc(1, sizeof(*r));
        r->conn = c;
        snprintf(r->id, sizeof(r->id), "%s", id);
        call_later(REFUSAL_MS, refuse_later, r);
        return;
    }
    run *r = calloc(1, sizeof(*r));
    *r = (run){.server = s,
               .born_ms = s->born_ms,
               .conn = c,
               .work = w ? (int)(w - works) : -1,
               .resumable = strncmp(q->target, "/draft/", 7) == 0,
               .events_left = STREAM_EVENTS};
    snprintf(r->id, sizeof(r->id), "%s", id);
    if (w) {
        w->runs++;
    }
    s->running++;
    call_later(s->engine ? 20 + (int64_t)(prompt / TOKENS_PER_MS) : s->work_ms,
               begin_run, r);
}

/* -- orders --------------------------------------------------------------- */

static void
crash(server *s, const char *why)
{
    note("%s crashes: %s; %d requests were running", s->id, why, s->running);
    s->crashes++;
    for (int i = 0; i < work_count; i++) {
        work *w = &works[i];
        if (w->arrived && w->server == s - servers && !w->done_ms) {
            w->crashed_server = true;
        }
    }
    s->up = false;
    s->born_ms = 0;
    s->running = 0;
    s->has_model = false;
    s->has_other_model = false;
    s->adapter_count = 0;
    s->loading_count = 0;
    s->sequence = 0;
}

static void
restart(void *data)
{
    server *s = data;
    s->born_ms = 1764900000000 + now_ms();
    s->up = true;
    note("%s is back, empty", s->id);
    put_entry(s);
}

typedef struct load {
    server *server;
    int64_t born_ms;
    char adapter[400];
} load;

static void
end_adapter_load(void *data)
{
    load *l = data;
    server *s = l->server;
    for (int i = 0; s->born_ms == l->born_ms && i < s->loading_count; i++) {
        if (strcmp(s->loading[i], l->adapter) == 0) {
            s->adapters[s->adapter_count++] = s->loading[i];
            s->loading[i] = s->loading[--s->loading_count];
            break;
        }
    }
    free(l);
}

static void
end_model_load(void *data)
{
    load *l = data;
    if (l->server->born_ms == l->born_ms) {
        l->server->has_model = true;
    }
    free(l);
}

static void
start_load(server *s, const char *adapter, int64_t ms, timer_call call)
{
    load *l = calloc(1, sizeof(*l));
    l->server = s;
    l->born_ms = s->born_ms;
    snprintf(l->adapter, sizeof(l->adapter), "%s", adapter ? adapter : "");
    call_later(ms, call, l);
}

static bool
is_loading(const server *s, const char *adapter)
{
    for (int i = 0; i < s->loading_count; i++) {
        if (strcmp(s->loading[i], adapter) == 0) {
            return true;
        }
    }
    return false;
}

static void
drop_adapter(server *s, const char *adapter)
{
    for (int i = 0; i < s->adapter_count; i++) {
        if (strcmp(s->adapters[i], adapter) == 0) {
            s->adapters[i] = s->adapters[--s->adapter_count];
            return;
        }
    }
}

/* Carries out an order; returns the status. */
static int
carry_out(server *s, const char *operation, const char *model,
          const char *adapter)
{
    bool known = strcmp(model, MODEL) == 0 || strcmp(model, OTHER_MODEL) == 0;
    bool is_load = strcmp(operation, "load") == 0;
    if (!known || (!is_load && strcmp(operation, "unload") != 0)) {
        return 400;
    }
    if (adapter) {
        char name[512];
        snprintf(name, sizeof(name), "%s/%s", model, adapter);
        if (is_load == holds(s, name)) {
            return 200;
        }
        if (is_load && is_loading(s, adapter)) {
            return 202;
        }
        s->sequence++;
        if (!is_load) {
            drop_adapter(s, adapter);
            return 200;
        }
        if (s->adapter_count + s->loading_count + 1 > MAX_SERVER_ADAPTERS) {
            crash(s, "it was ordered to load more than MaxAdapters");
            return 0;
        }
        s->loading[s->loading_count++] = strdup(adapter);
        start_load(s, adapter, ADAPTER_LOAD_MS, end_adapter_load);
        return 202;
    }
    if (is_load == holds(s, model)) {
        return 200;
    }
    s->sequence++;
    if (is_load) {
        double mb = MODEL_MB + (s->has_model || s->has_other_model
                                    ? MODEL_MB + s->adapter_count * ADAPTER_MB
                                    : 0);
        if (mb > SERVER_MB) {
            crash(s, "it was ordered to load more than WeightsSize");
            return 0;
        }
        start_load(s, NULL, MODEL_LOAD_MS, end_model_load);
        return 202;
    }
    s->has_model = strcmp(model, MODEL) == 0 ? false : s->has_model;
    s->has_other_model =
        strcmp(model, OTHER_MODEL) == 0 ? false : s->has_other_model;
    s->adapter_count = s->has_model ? s->adapter_count : 0;
    return 202;
}

static void
handle_order(server *s, conn *c, const request *q)
{
    json *order = json_parse(q->body, q->body_length);
    const char *operation = json_string(json_member(order, "Operation"));
    const char *model = json_string(json_member(order, "Model"));
    const char *adapter = json_string(json_member(order, "Adapter"));
    int status = 400;
    if (operation && model && json_string(json_member(order, "HolderId")) &&
        json_member(order, "FencingToken")) {
        int64_t expected =
            json_integer(json_member(order, "Precondition"), s->sequence);
        char name[512];
        snprintf(name, sizeof(name), "%s%s%s", model, adapter ? "/" : "",
                 adapter ? adapter : "");
        bool done = strcmp(operation, "load") == 0 && holds(s, name);
        status = done ? 200 : expected != s->sequence ? 409 : 1;
    }
    note("%s gets an order, Sequence %lld, answer %s: %s", s->id,
         (long long)s->sequence,
         status == 1     ? "accepted"
         : status == 200 ? "200"
         : status == 409 ? "409"
                         : "400",
         q->body);
    s->orders++;
    if (on_arrival && status != 400) {
        on_arrival(s, json_string(json_member(order, "HolderId")),
                   json_integer(json_member(order, "FencingToken"), 0));
    }
    if (status == 1) {
        if (on_order) {
            on_order(s, operation, model, adapter, q->body);
        }
        status = carry_out(s, operation, model, adapter);
    }
    json_free(order);
    if (status == 0) {
        call_later(DOWN_MS, restart, s);
        return;
    }
    answer(c, "", status, "", "");
}

static void
handle_report(server *s, conn *c)
{
    buffer out = {0};
    buffer_print(&out, "{\"Stage\":\"colocated\",");
    print_models(s, &out);
    buffer_print(&out,
                 ",\"Busy\":false,\"Sequence\":%lld,\"Queued\":0,"
                 "\"Running\":%d,\"KvUsedTokens\":0,\"KvTotalTokens\":%d,"
                 "\"Handles\":0,\"born\":%lld",
                 (long long)s->sequence, s->running, KV_CAPACITY_TOKENS,
                 (long long)s->born_ms);
    buffer_print(&out, ",\"Coming\":[");
    for (int i = 0; i < s->loading_count; i++) {
        buffer_print(&out, "%s\"%s/%s@1\"", i ? "," : "", MODEL,
                     s->loading[i]);
    }
    buffer_print(&out, "]}");
    answer(c, "", 200, "Content-Type: application/json\r\n", out.data);
    free(out.data);
}

static void
handle(server *s, conn *c, const request *q)
{
    char id[40];
    char expected[40];
    get_header(q->head, "Request-Id", id, sizeof(id));
    if (get_header(q->head, "Expect-Instance", expected, sizeof(expected)) &&
        strcmp(expected, s->id) != 0) {
        char headers[80];
        snprintf(headers, sizeof(headers),
                 "Not-Executed: 1\r\nInstance-Id: %s\r\n", s->id);
        answer(c, id, 421, headers, "");
    }
    else if (strcmp(q->target, "/order") == 0) {
        handle_order(s, c, q);
    }
    else if (strcmp(q->target, "/report") == 0) {
        handle_report(s, c);
    }
    else if (strcmp(q->target, "/healthz") == 0) {
        char headers[60];
        snprintf(headers, sizeof(headers), "Instance-Id: %s\r\n", s->id);
        answer(c, id, 200, headers, "");
    }
    else if (!id[0]) {
        answer(c, id, 400, "Not-Executed: 1\r\n", "");
    }
    else {
        handle_run(s, c, q, id);
    }
}

static void
on_input(conn *c)
{
    server *s = c->owner;
    request q;
    while (s->up && take_request(c, &q)) {
        handle(s, c, &q);
        free_request(&q);
    }
    if (!s->up) {
        close_conn(c);
    }
}

/* Ends the connections of a server that has crashed. */
typedef struct watched {
    conn *conn;
    int64_t born_ms;
} watched;

static void
watch_crash(void *data)
{
    watched *w = data;
    const server *s = w->conn->owner;
    if (w->conn->freed || s->born_ms != w->born_ms) {
        close_conn(w->conn);
        free(w);
        return;
    }
    call_later(5, watch_crash, w);
}

static void
accepted(conn *c)
{
    const server *s = c->owner;
    if (!s->up) {
        close_conn(c);
        return;
    }
    c->on_input = on_input;
    watched *w = calloc(1, sizeof(*w));
    *w = (watched){c, s->born_ms};
    call_later(5, watch_crash, w);
}

server *
add_server(const char *service, bool engine, const char *model)
{
    server *s = &servers[server_count++];
    *s = (server){.service = service,
                  .engine = engine,
                  .up = true,
                  .work_ms = 60,
                  .slots = engine ? 32 : 6,
                  .born_ms = 1764900000000 + server_count,
                  .has_model = model && strcmp(model, MODEL) == 0,
                  .has_other_model = model && strcmp(model, OTHER_MODEL) == 0};
    snprintf(s->id, sizeof(s->id), "i-%s-%d", engine ? "engine" : "desk",
             server_count);
    for (int i = 0; s->has_model && i < 6; i++) {
        char name[8];
        snprintf(name, sizeof(name), "a%d", i + 1);
        s->adapters[s->adapter_count++] = strdup(name);
    }
    s->sequence = engine ? 2 : 0;
    listen_here(s->address, sizeof(s->address), accepted, s);
    put_entry(s);
    call_later(HEARTBEAT_MS, beat, s);
    return s;
}
