/* main.c: the cases. Exit code 1: the rule was broken, 0: it held, 2: the case
   could not run. */
#include "bed.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* A run that takes longer ends with 2. */
#define MAX_SECONDS 115
#define ROUTE                                                                 \
    "{\"Name\":\"r-%s\",\"Host\":\"" HOST                                     \
    "\",\"Prefix\":\"/%s/\",\"Kind\":\"%s\",\"TimeoutMs\":%d,"                \
    "\"TargetLatencyMs\":%d,\"Priority\":%d,\"Service\":\"%s\","              \
    "\"MaxAttempts\":%d,\"Sticky\":%s,\"Resumable\":%s%s}"

/* TimeoutMs of each kind of request, below what its clients wait. */
#define BEFORE_DEADLINE_MS 1000

static void
put_config(bool two_models)
{
    buffer out = {0};
    buffer_print(&out, "{\"Version\":7,\"Routes\":[");
    buffer_print(&out, ROUTE ",", "book", "book", "unsafe",
                 deadlines_ms[BOOK] - BEFORE_DEADLINE_MS, 300, 2, "desk", 1,
                 "false", "false", "");
    buffer_print(&out, ROUTE ",", "stock", "stock", "safe",
                 deadlines_ms[STOCK] - BEFORE_DEADLINE_MS, 300, 2, "desk", 2,
                 "false", "false", "");
    buffer_print(&out, ROUTE ",", "chat", "chat", "streaming",
                 deadlines_ms[CHAT] - BEFORE_DEADLINE_MS, 600, 1, "llm", 1,
                 "true", "false", ",\"GapTargetMs\":250");
    buffer_print(&out, ROUTE "],", "draft", "draft", "streaming",
                 deadlines_ms[DRAFT] - BEFORE_DEADLINE_MS, 1000, 1, "llm", 2,
                 "true", "true", ",\"GapTargetMs\":250");
    buffer_print(
        &out,
        "\"Services\":[{\"Name\":\"llm\",\"HealthPath\":\"/healthz\","
        "\"MaxConnections\":230,\"Protocol\":\"h1\",\"Tls\":false,"
        "\"InferenceEngine\":{\"Slots\":32,\"KvCapacityTokens\":124714,"
        "\"Models\":[{\"Name\":\"" MODEL
        "\",\"WeightsSize\":42700.0,\"LoadTimeS\":0.6,\"Adapters\":3000,"
        "\"AdapterSizeMb\":66.0}%s],\"WeightsSize\":45000.0,"
        "\"MaxAdapters\":22,\"LoadsPerS\":6.2}},",
        two_models ? ",{\"Name\":\"" OTHER_MODEL
                     "\",\"WeightsSize\":42700.0,\"LoadTimeS\":0.6,"
                     "\"Adapters\":3000,\"AdapterSizeMb\":66.0}"
                   : "");
    buffer_print(&out, "{\"Name\":\"desk\",\"HealthPath\":\"/healthz\","
                       "\"MaxConnections\":96,\"Protocol\":\"h1\","
                       "\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,"
                       "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
                       "\"IdleTimeoutMs\":15000}}");
    store_put("op", "config", out.data);
    free(out.data);
}

static void
begin(int engines, int desks, int count, bool two_models)
{
    start_store();
    put_config(two_models);
    for (int i = 0; i < engines; i++) {
        add_server("llm", true,
                   two_models && i == engines - 1 ? OTHER_MODEL : MODEL);
    }
    for (int i = 0; i < desks; i++) {
        add_server("desk", false, NULL);
    }
    add_instances(count, count);
    await_ready();
    run_until(now_ms() + 3000);
}

static void
add_clients(int instance, int count, const kind *kinds, int kind_count,
            int pause_ms)
{
    for (int i = 0; i < count; i++) {
        client *c = add_client(instance, pause_ms);
        for (int k = 0; k < kind_count; k++) {
            c->kinds[k] = kinds[(k + i) % kind_count];
        }
        c->kind_count = kind_count;
        start_client(c);
    }
}

/* Prints the sums of each kind of request. */
static void
note_sums(void)
{
    for (int k = 0; k < KIND_NUM; k++) {
        int sent = 0;
        int good = 0;
        int refused = 0;
        int failed = 0;
        int closed = 0;
        int runs = 0;
        for (int i = 0; i < work_count; i++) {
            const work *w = &works[i];
            if ((int)w->kind != k || w->odd) {
                continue;
            }
            sent++;
            good += w->status == 200;
            refused += w->status == 503 || w->status == 429;
            failed += w->status >= 400 && w->status != 503 && w->status != 429;
            closed += w->closed_ms != 0;
            runs += w->runs;
        }
        if (sent) {
            note("%s: %d sent, %d answered 200, %d refused, %d failed, %d "
                 "closed without a whole answer; run %d times",
                 kind_names[k], sent, good, refused, failed, closed, runs);
        }
    }
}

/* Lists all requests: what was sent, run and answered, times in ms. */
static void
note_works(void)
{
    note("request, kind, instance, connection, sent, arrived at, server, "
         "runs, ended, result");
    for (int i = 0; i < work_count; i++) {
        const work *w = &works[i];
        char result[16];
        snprintf(result, sizeof(result), "%d", w->status);
        note("%llx %s %s %s %lld %lld %s %d %lld %s%s",
             FIRST_ID + (unsigned long long)i, kind_names[w->kind],
             instances[w->instance].name, w->kept ? "kept" : "new",
             (long long)w->sent_ms, (long long)w->arrived_ms,
             w->arrived ? servers[w->server].id : "-", w->runs,
             (long long)w->done_ms,
             w->closed_ms  ? "closed"
             : !w->done_ms ? "none"
                           : result,
             w->odd ? " (trouble)" : "");
    }
}

static int
end(bool broken)
{
    stop_clients();
    stop_instances();
    note_works();
    note(broken ? "BROKEN" : "HELD");
    return broken ? 1 : 0;
}

/* Counts requests that an instance passed on from a kept connection to a
   server that is sound, and whose connection it closed without a whole
   answer. */
static int
count_lost(int instance, int64_t from_ms)
{
    int count = 0;
    for (int i = 0; i < work_count; i++) {
        const work *w = &works[i];
        count += w->instance == instance && !w->odd && w->kept && w->arrived &&
                 w->closed_ms >= from_ms && w->closed_ms && !w->crashed_server;
    }
    return count;
}

/* LOST at any time: more than three such requests of one machine. */
static bool
lost_is_broken(int64_t from_ms)
{
    bool broken = false;
    for (int n = 0; n < instance_count; n++) {
        int lost = count_lost(n, from_ms);
        note("%s: %d requests passed on from a kept connection to a sound "
             "server, whose connection it closed without a whole answer (at "
             "most 3); it ended by itself %d times",
             instances[n].name, lost, instances[n].own_ends);
        broken = broken || lost > 3;
    }
    return broken;
}

/* -- a request that is larger than a server's memory ---------------------- */

/* Each instance gets such requests of a few clients, each at most once in
   800 ms. */
static int
play_oversize(bool trouble)
{
    static const kind mixed[] = {CHAT, BOOK, DRAFT, STOCK};
    begin(2, 2, 2, false);
    for (int n = 0; n < instance_count; n++) {
        add_clients(n, 14, mixed, 4, 100);
    }
    run_until(now_ms() + 6000);
    int64_t from_ms = now_ms();
    for (int i = 0; trouble && i < 4 * instance_count; i++) {
        client *c = add_client(i % instance_count, 800);
        c->kinds[0] = CHAT;
        c->kind_count = 1;
        c->tokens = "4294967295,240";
        c->odd = true;
        note("client %d sends requests with Token-Usage %s to %s", c->number,
             c->tokens, instances[c->instance].name);
        start_client(c);
    }
    run_until(now_ms() + 25000);
    stop_clients();
    run_until(now_ms() + 3000);
    note_sums();
    return end(lost_is_broken(from_ms));
}

/* -- an order inside a request's header ----------------------------------- */

static int smuggled;

static void
check_order(server *s, const char *operation, const char *model,
            const char *adapter, const char *body)
{
    (void)body;
    bool too_much = strcmp(operation, "load") == 0 && !adapter &&
                    (s->has_model || s->has_other_model) &&
                    strcmp(model, s->has_model ? MODEL : OTHER_MODEL) != 0;
    if (too_much) {
        smuggled++;
        note("%s is ordered to load the model %s beside the one that it "
             "holds",
             s->id, model);
    }
}

static int
play_smuggled(bool trouble)
{
    static const kind mixed[] = {CHAT, BOOK, DRAFT, STOCK};
    on_order = check_order;
    begin(3, 2, 2, true);
    for (int n = 0; n < instance_count; n++) {
        add_clients(n, 14, mixed, 4, 100);
    }
    run_until(now_ms() + 6000);
    if (trouble) {
        client *c = add_client(0, 300);
        c->kinds[0] = CHAT;
        c->kind_count = 1;
        c->model = MODEL "/z1\",\"Adapter\":null,\"Model\":\"" OTHER_MODEL;
        c->odd = true;
        c->once = true;
        note("client %d sends one request with Model: %s", c->number,
             c->model);
        start_client(c);
    }
    run_until(now_ms() + 12000);
    stop_clients();
    run_until(now_ms() + 3000);
    int lost = 0;
    for (int i = 0; i < work_count; i++) {
        lost += works[i].crashed_server && works[i].status != 200;
    }
    note_sums();
    note("orders beyond WeightsSize or MaxAdapters: %d; requests without a "
         "good answer whose server crashed: %d",
         smuggled, lost);
    int crashes = 0;
    for (int i = 0; i < server_count; i++) {
        crashes += servers[i].crashes;
    }
    return end(crashes > 0);
}

/* -- an answer without end ------------------------------------------------ */

static int
play_endless(bool trouble)
{
    static const kind plain[] = {BOOK, STOCK};
    static const kind streams[] = {CHAT, DRAFT};
    begin(3, 2, 1, false);
    add_clients(0, 48, plain, 2, 3000);
    add_clients(0, 24, streams, 2, 250);
    run_until(now_ms() + 6000);
    if (trouble) {
        servers[0].trouble = ENDLESS_PIECES;
        note("%s is in trouble from now on", servers[0].id);
    }
    int64_t from_ms = now_ms();
    run_until(now_ms() + 6000);
    servers[0].trouble = SOUND;
    note("%s begins no more such answers", servers[0].id);
    run_until(now_ms() + 24000);
    int64_t to_ms = now_ms();
    run_until(now_ms() + deadlines_ms[DRAFT] + 1000);
    int unanswered[KIND_NUM] = {0};
    int late[KIND_NUM] = {0};
    int sums[2] = {0};
    for (int i = 0; i < work_count; i++) {
        const work *w = &works[i];
        if (w->sent_ms < from_ms || w->sent_ms >= to_ms) {
            continue;
        }
        int64_t timeout_ms = deadlines_ms[w->kind] - BEFORE_DEADLINE_MS;
        int64_t done_ms = w->done_ms ? w->done_ms : now_ms();
        unanswered[w->kind] += done_ms > w->sent_ms + timeout_ms;
        late[w->kind] += done_ms > w->sent_ms + timeout_ms + 500;
    }
    note_sums();
    for (int k = 0; k < KIND_NUM; k++) {
        note("%s: %d unanswered at the route's TimeoutMs, %d of these half a "
             "second later",
             kind_names[k], unanswered[k], late[k]);
        sums[0] += unanswered[k];
        sums[1] += late[k];
    }
    note("all requests unanswered at their route's TimeoutMs: %d; of these "
         "without an answer half a second later: %d (at most half); answers "
         "without end: %d",
         sums[0], sums[1], servers[0].endless);
    return end(sums[1] * 2 > sums[0]);
}

/* -- the store comes back from a copy while a machine is added -------------
 */

#define LEASE_TTL_MS 3000

static int turns;

/* ONE: orders of two machines to a server within LeaseTtlMs, or a fencing
   token that is not above that of the machine before. */
static void
check_holder(server *s, const char *holder, int64_t fence)
{
    static char last[MAX_SERVERS][16];
    static int64_t last_ms[MAX_SERVERS];
    static int64_t last_fence[MAX_SERVERS];
    int n = (int)(s - servers);
    int64_t gap_ms = now_ms() - last_ms[n];
    if (last[n][0] && strcmp(last[n], holder) != 0) {
        bool broken = gap_ms < LEASE_TTL_MS || fence <= last_fence[n];
        turns += broken;
        note("%s: %s orders %lld ms after %s, token %lld after %lld%s", s->id,
             holder, (long long)gap_ms, last[n], (long long)fence,
             (long long)last_fence[n], broken ? ": two holders" : "");
    }
    snprintf(last[n], sizeof(last[n]), "%s", holder);
    last_ms[n] = now_ms();
    last_fence[n] = fence;
}

static void
add_rare_clients(int instance, int count)
{
    for (int i = 0; i < count; i++) {
        client *c = add_client(instance, 50);
        c->kinds[0] = CHAT;
        c->kind_count = 1;
        c->rare = true;
        start_client(c);
    }
}

static int
play_drill(bool trouble)
{
    on_arrival = check_holder;
    start_store();
    put_config(false);
    for (int i = 0; i < 6; i++) {
        add_server("llm", true, MODEL);
    }
    add_instances(2, 1);
    await_ready();
    store_copy();
    add_rare_clients(0, 24);
    run_until(now_ms() + 7000);
    if (trouble) {
        store_leave();
    }
    run_until(now_ms() + 2400);
    if (trouble) {
        store_restore();
    }
    start_more_instances();
    run_until(now_ms() + 500);
    add_rare_clients(1, 12);
    run_until(now_ms() + 16000);
    stop_clients();
    run_until(now_ms() + 2000);
    note_sums();
    note("turns of two machines within LeaseTtlMs, or without a higher token: "
         "%d",
         turns);
    return end(turns > 0);
}

/* -- a stream that ends inside an event ----------------------------------- */

static int
play_torn(bool trouble)
{
    static const kind streams[] = {CHAT, DRAFT};
    begin(3, 2, 2, false);
    for (int n = 0; n < instance_count; n++) {
        add_clients(n, 20, streams, 2, 100);
    }
    run_until(now_ms() + 6000);
    if (trouble) {
        servers[0].trouble = TORN_STREAMS;
        note("%s ends some streams inside an event from now on",
             servers[0].id);
    }
    run_until(now_ms() + 6000);
    servers[0].trouble = SOUND;
    run_until(now_ms() + 4000);
    stop_clients();
    run_until(now_ms() + 4000);
    int incomplete[KIND_NUM] = {0};
    for (int i = 0; i < work_count; i++) {
        incomplete[works[i].kind] += works[i].incomplete;
    }
    note_sums();
    note("streams that a server ended inside an event: %d; streams that "
         "looked complete to their clients before the last event: %d chats, "
         "%d drafts",
         servers[0].torn, incomplete[CHAT], incomplete[DRAFT]);
    return end(incomplete[CHAT] + incomplete[DRAFT] > 0);
}

/* -- a client that does not read for a while ------------------------------ */

/* The clients look things up in a catalogue, with answers of 300 kB, over
   connections with a window of 64 kB. They read nothing for 3 s within each
   answer but the first one of a connection. */
static int
play_reader(bool trouble)
{
    static const kind plain[] = {STOCK};
    begin(1, 2, 1, false);
    for (int i = 0; i < 2; i++) {
        servers[1 + i].answer_bytes = 300 * 1000;
    }
    for (int i = 0; i < 6; i++) {
        client *c = add_client(0, 500);
        c->kinds[0] = plain[0];
        c->kind_count = 1;
        c->receive_bytes = 32 * 1024; /* the system doubles it */
        c->hold_ms = trouble ? 3000 : 0;
        start_client(c);
    }
    int64_t from_ms = now_ms();
    run_until(now_ms() + 30000);
    stop_clients();
    run_until(now_ms() + 6000);
    note_sums();
    return end(lost_is_broken(from_ms));
}

/* The instances end with this process. */
static void
on_time_over(int number)
{
    (void)number;
    _exit(2);
}

int
main(int argc, char **argv)
{
    static const struct {
        const char *name;
        int (*play)(bool trouble);
    } cases[] = {{"oversize", play_oversize}, {"smuggled", play_smuggled},
                 {"endless", play_endless},   {"reader", play_reader},
                 {"torn", play_torn},         {"drill", play_drill}};
    if (argc != 4) {
        fprintf(stderr, "usage: bed CASE RECORD FOLDER\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    signal(SIGALRM, on_time_over);
    alarm(MAX_SECONDS);
    now_ms();
    open_record(argv[2]);
    snprintf(work_folder, sizeof(work_folder), "%s", argv[3]);
    const char *setting = getenv("TROUBLE");
    bool trouble = !setting || strcmp(setting, "0") != 0;
    note("case %s, with%s the trouble", argv[1], trouble ? "" : "out");
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        if (strcmp(cases[i].name, argv[1]) == 0) {
            return cases[i].play(trouble);
        }
    }
    return 2;
}
