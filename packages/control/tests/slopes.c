/*
 * lacewing-slopes: measures what the control machines cost each daemon.
 *
 * Runs the real machines of N daemons in one process in virtual time, with a
 * simulated table and simulated links, and prints one line: bytes per second
 * on links (packed by the real codec, with the frame header), CPU time inside
 * the machines, memory and the load of the table. Runs with different numbers
 * show how these costs grow.
 *
 *     lacewing-slopes --daemons 410 --zones 10 --servers 600 --seconds 60
 */
#include "lacewing.pb-c.h"
#include "lacewing/chain.h"
#include "lacewing/claims.h"
#include "lacewing/frame.h"
#include "lacewing/membership.h"
#include "lacewing/ownership.h"
#include "lacewing/weight_share.h"
#include "sim.h"
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define LINK_DELAY_US (1 * SIM_MS)
#define STEP_US (20 * SIM_MS)
#define WARM_UP_US (20000 * SIM_MS)
#define SERVICE_TIME_US (20 * SIM_MS)

typedef struct cluster cluster;

typedef struct node {
    cluster *w;
    uint32_t index;
    char name[16];
    char zone[16];
    char address[32];
    mb_machine *mb;
    ow_machine *ow;
    cc_machine *cc;
    cl_machine *cl;
    ws_machine *ws;
} node;

struct cluster {
    sim *s;
    node *nodes;
    GHashTable *by_name; /* name -> node */
    uint64_t bytes_out;
    uint64_t messages_out;
    uint64_t cpu_ns; /* CPU time inside the machines */
    uint64_t table_writes;
    uint64_t table_reads;
    uint64_t table_bytes;
    uint64_t next_claim;
    uint64_t next_change;
    uint64_t apply_max_us; /* longest time until all applied a change */
    uint64_t change_us;    /* when the newest change was submitted */
    uint32_t not_applied;  /* daemons that lack the newest change */
};

typedef enum part {
    PART_OWNERSHIP,
    PART_CHAIN,
    PART_CLAIMS,
} part;

typedef struct table_call {
    node *n;
    part part;
} table_call;

typedef struct message {
    node *to;
    const node *from;
    mb_heartbeat heartbeat;
    mb_peer peers[MB_SAMPLE_MAX];
} message;

typedef struct service_call {
    node *n;
    cl_claim claim;
} service_call;

static int daemons = 6;
static int zones = 4;
static int servers = 22;
static int seconds = 60;
static int claims_per_s = 0;
static int changes_per_hour = 0;

static void run_actions(node *n);

static uint64_t
cpu_ns(void)
{
    struct timespec time;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return (uint64_t)time.tv_sec * 1000000000 + (uint64_t)time.tv_nsec;
}

/* -- links ---------------------------------------------------------------- */

/* Returns the bytes that a heartbeat takes on a link, frame header included.
 */
static size_t
packed_bytes(const mb_heartbeat *h)
{
    Lacewing__HeartbeatPeer items[MB_SAMPLE_MAX];
    Lacewing__HeartbeatPeer *list[MB_SAMPLE_MAX];
    for (size_t i = 0; i < h->peer_count; i++) {
        lacewing__heartbeat_peer__init(&items[i]);
        items[i].instance = (char *)h->peers[i].instance;
        items[i].zone = (char *)h->peers[i].zone;
        items[i].address = (char *)h->peers[i].address;
        items[i].incarnation = h->peers[i].incarnation;
        items[i].sequence = h->peers[i].sequence;
        items[i].state = h->peers[i].state;
        list[i] = &items[i];
    }
    Lacewing__Heartbeat out = LACEWING__HEARTBEAT__INIT;
    out.sequence = h->sequence;
    out.state = h->state;
    out.config_version = h->config_version;
    out.incarnation = h->incarnation;
    out.ack_sequence = h->ack_sequence;
    out.ack_incarnation = h->ack_incarnation;
    out.answer = h->answer;
    out.watch = h->watch;
    out.peers = list;
    out.n_peers = h->peer_count;
    Lacewing__Envelope envelope = LACEWING__ENVELOPE__INIT;
    envelope.body_case = LACEWING__ENVELOPE__BODY_HEARTBEAT;
    envelope.heartbeat = &out;
    return lacewing__envelope__get_packed_size(&envelope) + FR_HEADER_BYTES;
}

static void
on_heartbeat(void *data)
{
    message *m = data;
    node *n = m->to;
    uint64_t start_ns = cpu_ns();
    m->heartbeat.peers = m->peers;
    mb_feed(n->mb, n->w->s->now_us,
            &(mb_event){.type = MB_EVENT_HEARTBEAT,
                        .instance = m->from->name,
                        .zone = m->from->zone,
                        .address = m->from->address,
                        .heartbeat = &m->heartbeat});
    n->w->cpu_ns += cpu_ns() - start_ns;
    run_actions(n);
    g_free(m);
}

/* Points a peer's names to those of its node, which live long enough. */
static void
use_node_names(cluster *w, mb_peer *peer)
{
    const node *n = g_hash_table_lookup(w->by_name, peer->instance);
    peer->instance = n->name;
    peer->zone = n->zone;
    peer->address = n->address;
}

static void
send_heartbeat(node *n, const mb_action *action)
{
    cluster *w = n->w;
    message *m = g_new0(message, 1);
    m->to = g_hash_table_lookup(w->by_name, action->instance);
    m->from = n;
    m->heartbeat = action->heartbeat;
    m->heartbeat.leaving_count = 0; /* no server leaves here */
    for (size_t i = 0; i < action->heartbeat.peer_count; i++) {
        m->peers[i] = action->heartbeat.peers[i];
        use_node_names(w, &m->peers[i]);
    }
    w->bytes_out += packed_bytes(&action->heartbeat);
    w->messages_out++;
    sim_schedule(w->s, w->s->now_us + LINK_DELAY_US, on_heartbeat, m);
}

/* -- the table ------------------------------------------------------------ */

static uint64_t
on_table_result(void *data, const co_table_result *result)
{
    table_call *call = data;
    node *n = call->n;
    uint64_t now_us = n->w->s->now_us;
    uint64_t start_ns = cpu_ns();
    switch (call->part) {
    case PART_OWNERSHIP:
        ow_feed(n->ow, now_us,
                &(ow_event){.type = OW_EVENT_TABLE, .table = result});
        break;
    case PART_CHAIN:
        cc_feed(n->cc, now_us,
                &(cc_event){.type = CC_EVENT_TABLE, .table = result});
        break;
    default:
        cl_feed(n->cl, now_us,
                &(cl_event){.type = CL_EVENT_TABLE, .table = result});
        break;
    }
    n->w->cpu_ns += cpu_ns() - start_ns;
    run_actions(n);
    g_free(call);
    return 0;
}

static void
call_table(node *n, part p, const co_table_call *call)
{
    table_call *out = g_new0(table_call, 1);
    *out = (table_call){n, p};
    if (call->kind == CO_TABLE_COMMIT) {
        n->w->table_writes++;
    }
    else {
        n->w->table_reads++;
    }
    sim_table_call(n->w->s, call, false, on_table_result, out);
}

/* -- actions -------------------------------------------------------------- */

static void
on_service_done(void *data)
{
    service_call *done = data;
    node *n = done->n;
    uint64_t start_ns = cpu_ns();
    cl_finish(n->cl, n->w->s->now_us, done->claim, CL_RESULT_DONE, 200,
              "{\"booked\":true}");
    n->w->cpu_ns += cpu_ns() - start_ns;
    run_actions(n);
    g_free(done);
}

static void
feed_peer_state(node *n, const mb_action *action)
{
    uint64_t now_us = n->w->s->now_us;
    bool dead = action->state == CO_PEER_DEAD;
    ow_feed(n->ow, now_us,
            &(ow_event){.type = OW_EVENT_PEER_STATE,
                        .instance = action->instance,
                        .zone = action->zone,
                        .incarnation = action->incarnation,
                        .state = action->state});
    cl_feed(n->cl, now_us,
            &(cl_event){.type = CL_EVENT_PEER_LIVENESS,
                        .instance = action->instance,
                        .incarnation = action->incarnation,
                        .alive = !dead});
    ws_feed(n->ws, now_us,
            &(ws_event){.type = WS_EVENT_PEER,
                        .instance = action->instance,
                        .alive = !dead});
}

static void
on_membership_action(node *n, const mb_action *action)
{
    uint64_t now_us = n->w->s->now_us;
    ow_event event = {.instance = action->instance,
                      .zone = action->zone,
                      .incarnation = action->incarnation,
                      .sent_us = action->sent_us,
                      .asks_to_watch = action->asks_to_watch};
    switch (action->type) {
    case MB_ACTION_SEND:
        event.type = OW_EVENT_HEARTBEAT_SENT;
        if (action->heartbeat.watch) {
            ow_feed(n->ow, now_us, &event);
        }
        send_heartbeat(n, action);
        break;
    case MB_ACTION_HEARTBEAT_RECEIVED:
        event.type = OW_EVENT_HEARTBEAT_RECEIVED;
        ow_feed(n->ow, now_us, &event);
        cc_feed(n->cc, now_us,
                &(cc_event){.type = CC_EVENT_PEER_VERSION,
                            .instance = action->instance,
                            .version = action->version});
        break;
    case MB_ACTION_HEARTBEAT_ACKED:
        event.type = OW_EVENT_HEARTBEAT_ACKED;
        ow_feed(n->ow, now_us, &event);
        break;
    case MB_ACTION_PEER_STOPPED_WATCHING:
        event.type = OW_EVENT_PEER_STOPPED_WATCHING;
        ow_feed(n->ow, now_us, &event);
        break;
    case MB_ACTION_PEER_CHANGED:
        feed_peer_state(n, action);
        break;
    default:
        break;
    }
}

static void
on_ownership_action(node *n, const ow_action *action)
{
    uint64_t now_us = n->w->s->now_us;
    if (action->type == OW_ACTION_TABLE) {
        call_table(n, PART_OWNERSHIP, &action->table);
    }
    else if (action->type == OW_ACTION_REFUSE_ACKS) {
        mb_feed(n->mb, now_us,
                &(mb_event){.type = MB_EVENT_REFUSE_ACKS,
                            .instance = action->instance,
                            .incarnation = action->incarnation});
    }
    else if (action->type == OW_ACTION_INCARNATION_ENDED) {
        mb_set_incarnation(n->mb, now_us, action->incarnation);
    }
}

static void
on_chain_action(node *n, const cc_action *action)
{
    cluster *w = n->w;
    if (action->type == CC_ACTION_TABLE) {
        call_table(n, PART_CHAIN, &action->table);
    }
    else if (action->type == CC_ACTION_APPLY) {
        mb_set_config_version(n->mb, w->s->now_us, action->version);
        if (action->version == w->next_change) {
            w->not_applied--;
            w->apply_max_us =
                MAX(w->apply_max_us, w->s->now_us - w->change_us);
        }
    }
    else if (action->type == CC_ACTION_GET_OBJECT) {
        cc_feed(n->cc, w->s->now_us,
                &(cc_event){.type = CC_EVENT_OBJECT,
                            .number = action->number,
                            .code = ER_NOT_FOUND});
    }
}

static void
on_claims_action(node *n, const cl_action *action)
{
    if (action->type == CL_ACTION_TABLE) {
        call_table(n, PART_CLAIMS, &action->table);
    }
    else if (action->type == CL_ACTION_SEND) {
        service_call *done = g_new0(service_call, 1);
        *done = (service_call){n, action->claim};
        sim_schedule(n->w->s, n->w->s->now_us + SERVICE_TIME_US,
                     on_service_done, done);
    }
}

static void
run_actions(node *n)
{
    uint64_t start_ns = cpu_ns();
    mb_action mb;
    ow_action ow;
    cc_action cc;
    cl_action cl;
    ws_action ws;
    bool more = true;
    while (more) {
        more = false;
        while (mb_next_action(n->mb, &mb)) {
            on_membership_action(n, &mb);
            more = true;
        }
        while (ow_next_action(n->ow, &ow)) {
            on_ownership_action(n, &ow);
            more = true;
        }
        while (cc_next_action(n->cc, &cc)) {
            on_chain_action(n, &cc);
            more = true;
        }
        while (cl_next_action(n->cl, &cl)) {
            on_claims_action(n, &cl);
            more = true;
        }
        while (ws_next_action(n->ws, &ws)) {
            more = true;
        }
    }
    n->w->cpu_ns += cpu_ns() - start_ns;
}

static void
on_step(void *data)
{
    node *n = data;
    uint64_t now_us = n->w->s->now_us;
    uint64_t start_ns = cpu_ns();
    if (now_us >= mb_query_wakeup_us(n->mb)) {
        mb_feed(n->mb, now_us, &(mb_event){.type = MB_EVENT_TICK});
    }
    if (now_us >= ow_query_wakeup_us(n->ow)) {
        ow_feed(n->ow, now_us, &(ow_event){.type = OW_EVENT_TICK});
    }
    if (now_us >= cc_query_wakeup_us(n->cc)) {
        cc_feed(n->cc, now_us, &(cc_event){.type = CC_EVENT_TICK});
    }
    if (now_us >= cl_query_wakeup_us(n->cl)) {
        cl_feed(n->cl, now_us, &(cl_event){.type = CL_EVENT_TICK});
    }
    if (now_us >= ws_query_wakeup_us(n->ws)) {
        ws_feed(n->ws, now_us, &(ws_event){.type = WS_EVENT_TICK});
    }
    n->w->cpu_ns += cpu_ns() - start_ns;
    run_actions(n);
    sim_schedule(n->w->s, now_us + STEP_US, on_step, n);
}

/* -- load ----------------------------------------------------------------- */

static void
on_claim(void *data)
{
    cluster *w = data;
    node *n = &w->nodes[sim_random_below(w->s, (uint32_t)daemons)];
    g_autofree char *key =
        g_strdup_printf("k%" G_GUINT64_FORMAT, w->next_claim++);
    uint64_t start_ns = cpu_ns();
    cl_make_claim(n->cl, w->s->now_us,
                  &(cl_claim_desc){.team = "t", .key = key, .body_hash = "h"});
    w->cpu_ns += cpu_ns() - start_ns;
    run_actions(n);
    sim_schedule(w->s, w->s->now_us + 1000000 / (uint64_t)claims_per_s,
                 on_claim, w);
}

static void
on_change(void *data)
{
    cluster *w = data;
    node *n = &w->nodes[sim_random_below(w->s, (uint32_t)daemons)];
    g_autofree char *id =
        g_strdup_printf("u%" G_GUINT64_FORMAT, ++w->next_change);
    w->change_us = w->s->now_us;
    w->not_applied = (uint32_t)daemons;
    cc_submit(n->cc, w->s->now_us,
              &(cc_submit_desc){.expect = cc_query_version(n->cc),
                                .id = id,
                                .who = "ana",
                                .text = "[adapter a]\nversion=2\n",
                                .audit = "{}"});
    run_actions(n);
    uint64_t next_us =
        w->s->now_us + UINT64_C(3600000000) / (uint64_t)changes_per_hour;
    /* The last change gets 5 s to spread before the report. */
    if (next_us + 5000 * SIM_MS < WARM_UP_US + (uint64_t)seconds * 1000000) {
        sim_schedule(w->s, next_us, on_change, w);
    }
}

/* -- the run -------------------------------------------------------------- */

static void
make_node(cluster *w, uint32_t i)
{
    node *n = &w->nodes[i];
    n->w = w;
    n->index = i;
    g_snprintf(n->name, sizeof(n->name), "entry-%03u", i);
    g_snprintf(n->zone, sizeof(n->zone), "zone-%02u", i % (uint32_t)zones);
    g_snprintf(n->address, sizeof(n->address), "10.0.%u.%u:7000", i / 250,
               i % 250);
    g_hash_table_insert(w->by_name, n->name, n);
    uint64_t incarnation = UINT64_C(1760000000000000) + i;
    n->mb = mb_create(&(mb_desc){.instance = n->name,
                                 .zone = n->zone,
                                 .address = n->address,
                                 .incarnation = incarnation,
                                 .seed = i + 1});
    n->ow = ow_create(&(ow_desc){.instance = n->name,
                                 .zone = n->zone,
                                 .incarnation = incarnation,
                                 .seed = i + 1});
    n->cc = cc_create(&(cc_desc){.instance = n->name, .seed = i + 1});
    n->cl = cl_create(&(cl_desc){
        .instance = n->name, .incarnation = incarnation, .seed = i + 1});
    n->ws = ws_create(&(ws_desc){.instance = n->name,
                                 .loads_per_s_milli = 6000,
                                 .instances = (uint32_t)daemons,
                                 .seed = i + 1});
}

static void
start_node(node *n)
{
    cluster *w = n->w;
    g_autoptr(GArray) list = g_array_new(FALSE, FALSE, sizeof(ow_server_desc));
    g_autoptr(GPtrArray) names = g_ptr_array_new_with_free_func(g_free);
    for (int i = 0; i < servers; i++) {
        char *name = g_strdup_printf("engine-%03d", i);
        char *zone = g_strdup_printf("zone-%02d", i % zones);
        g_ptr_array_add(names, name);
        g_ptr_array_add(names, zone);
        ow_server_desc server = {.name = name, .zone = zone};
        g_array_append_val(list, server);
    }
    ow_set_servers(n->ow, w->s->now_us,
                   (const ow_server_desc *)(const void *)list->data,
                   list->len);
    for (int i = 0; i < daemons; i++) {
        mb_feed(n->mb, w->s->now_us,
                &(mb_event){.type = MB_EVENT_LISTED,
                            .instance = w->nodes[i].name,
                            .zone = w->nodes[i].zone,
                            .address = w->nodes[i].address});
    }
    mb_set_state(n->mb, w->s->now_us, CO_PEER_READY);
    run_actions(n);
    sim_schedule(w->s,
                 w->s->now_us + sim_random_below(w->s, (uint32_t)STEP_US),
                 on_step, n);
}

static uint64_t
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

static void
report(const cluster *w, uint64_t memory)
{
    double n = daemons;
    double s = seconds;
    /* cpu_ns / 1e7 is percent of a CPU second. */
    uint32_t owned = 0;
    uint32_t min_owned = UINT32_MAX;
    uint32_t max_owned = 0;
    for (int i = 0; i < daemons; i++) {
        uint32_t count = ow_query_owned_count(w->nodes[i].ow);
        owned += count;
        min_owned = MIN(min_owned, count);
        max_owned = MAX(max_owned, count);
    }
    printf("slopes: daemons=%d zones=%d servers=%d claims_per_s=%d "
           "changes_per_hour=%d link_bytes_per_s=%.0f messages_per_s=%.1f "
           "cpu_pct=%.3f memory_kb=%.0f table_writes_per_s=%.1f "
           "table_reads_per_s=%.1f table_read_bytes_per_s=%.0f owned=%u "
           "least=%u most=%u in_force_ms=%.0f behind=%u\n",
           daemons, zones, servers, claims_per_s, changes_per_hour,
           (double)w->bytes_out / n / s, (double)w->messages_out / n / s,
           (double)w->cpu_ns / 1e7 / n / s, (double)memory / 1024 / n,
           (double)w->table_writes / s, (double)w->table_reads / s,
           (double)w->s->read_bytes / n / s, owned, min_owned, max_owned,
           (double)w->apply_max_us / 1000, w->not_applied);
}

static void
run_and_report(void)
{
    static cluster w; /* kept until the process ends */
    w.s = sim_create(1);
    w.by_name = g_hash_table_new(g_str_hash, g_str_equal);
    w.nodes = g_new0(node, (gsize)daemons);
    uint64_t before = heap_bytes();
    for (uint32_t i = 0; i < (uint32_t)daemons; i++) {
        make_node(&w, i);
    }
    for (int i = 0; i < daemons; i++) {
        start_node(&w.nodes[i]);
    }
    sim_run(w.s, WARM_UP_US);
    uint64_t memory = heap_bytes() - before;
    w.bytes_out = 0;
    w.messages_out = 0;
    w.cpu_ns = 0;
    w.table_writes = 0;
    w.table_reads = 0;
    w.s->read_bytes = 0;
    if (claims_per_s > 0) {
        on_claim(&w);
    }
    if (changes_per_hour > 0) {
        on_change(&w);
    }
    sim_run(w.s, WARM_UP_US + (uint64_t)seconds * 1000000);
    report(&w, memory);
}

int
main(int argc, char **argv)
{
    GOptionEntry entries[] = {
        {"daemons", 0, 0, G_OPTION_ARG_INT, &daemons, "Daemons", "N"},
        {"zones", 0, 0, G_OPTION_ARG_INT, &zones, "Availability zones", "N"},
        {"servers", 0, 0, G_OPTION_ARG_INT, &servers, "Backend servers", "N"},
        {"seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "Measured time", "S"},
        {"claims", 0, 0, G_OPTION_ARG_INT, &claims_per_s,
         "Claims a second, of all daemons", "N"},
        {"changes", 0, 0, G_OPTION_ARG_INT, &changes_per_hour,
         "Configuration changes an hour", "N"},
        {0}};
    g_autoptr(GOptionContext) context =
        g_option_context_new("- measure the cost of control for one daemon");
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, NULL) || daemons < 1 ||
        zones < 1 || servers < 0 || seconds < 1 || claims_per_s < 0 ||
        changes_per_hour < 0) {
        fprintf(stderr, "lacewing-slopes: unknown option or number out of "
                        "range; see --help\n");
        return EXIT_FAILURE;
    }
    run_and_report();
    return EXIT_SUCCESS;
}
