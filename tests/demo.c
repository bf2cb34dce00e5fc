/*
 * lacewing-demo: runs a small deployment and stops one daemon under load.
 *
 * A platform, four engines, two plain services and three daemons in two zones
 * serve drafts, bookings and lookups. Daemon b gets a planned stop when half
 * of the requests are done. The program exits by itself and prints one line of
 * counts at the end. The exit code is 0 if no request was lost, no booking ran
 * twice, no draft was answered by a wrong adapter, and daemon b exited with
 * code 0.
 *
 *     build/bin/lacewing-demo build/bin
 */
#include "lacewing/standin_text.h"
#include "shop.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DRAFTS 160
#define BOOKINGS 60
#define LOOKUPS 30
#define WORKERS 12
#define ATTEMPTS_MAX 20
#define RETRY_DELAY_US 200000 /* 0.2 s */
#define DRAFT_TOKENS 24
#define JOBS (DRAFTS + BOOKINGS + LOOKUPS)

static const char *const daemons[] = {"a", "b", "c"};

/* The counts are atomic. */
typedef struct demo {
    hn_fleet *fleet;
    const char *urls[G_N_ELEMENTS(daemons)];
    gint drafts;        /* completed, also with a wrong text */
    gint bookings;      /* confirmed twice */
    gint retried;       /* failed attempts; most are sent again */
    gint refused;       /* attempts with an error status */
    gint lost;          /* not completed in ATTEMPTS_MAX attempts */
    gint wrong_adapter; /* drafts with an unexpected text */
    gint done;          /* requests that are completed or lost */
} demo;

/* -- requests, each retried through the next daemon ----------------------- */

static void
send_to_daemon(demo *state, uint32_t daemon, const char *path,
               const char *body, const char *idempotency_key,
               ht_response *response)
{
    g_autofree char *url = g_strdup_printf(
        "%s%s", state->urls[daemon % G_N_ELEMENTS(daemons)], path);
    ht_send_request(&(ht_desc){.url = url,
                               .body = body,
                               .key = SHOP_KEY,
                               .idempotency_key = idempotency_key},
                    response);
}

/* Counts a failed attempt and waits before the next one. */
static void
record_failure(demo *state, const ht_response *response)
{
    if (response->status >= 400) {
        g_atomic_int_inc(&state->refused);
    }
    g_atomic_int_inc(&state->retried);
    g_usleep(RETRY_DELAY_US);
}

static void
run_draft(demo *state, uint32_t job)
{
    uint32_t adapter = (job * job) % SHOP_ADAPTERS;
    uint32_t version = job % 2 + 1;
    bool chat = job % 5 == 0;
    g_autofree char *model = g_strdup_printf("shop-%u@v%u", adapter, version);
    g_autofree char *prompt = g_strdup_printf("quote %u", job);
    g_autofree char *body =
        chat ? g_strdup_printf("{\"model\":\"%s\",\"max_tokens\":%d,"
                               "\"stream\":%s,\"messages\":[{\"role\":"
                               "\"user\",\"content\":\"%s\"}]}",
                               model, DRAFT_TOKENS, job % 2 ? "true" : "false",
                               prompt)
             : g_strdup_printf("{\"model\":\"%s\",\"max_tokens\":%d,"
                               "\"stream\":%s,\"prompt\":\"%s\"}",
                               model, DRAFT_TOKENS, job % 2 ? "true" : "false",
                               prompt);
    g_autofree char *full_prompt =
        chat ? g_strdup_printf("user: %s\n", prompt) : g_strdup(prompt);
    g_autofree char *expected =
        tx_query_answer(model, full_prompt, DRAFT_TOKENS);
    for (uint32_t attempt = 0; attempt < ATTEMPTS_MAX; attempt++) {
        g_auto(ht_response) response = {0};
        send_to_daemon(state, job + attempt,
                       chat ? "/v1/chat/completions" : "/v1/completions", body,
                       NULL, &response);
        g_autofree char *text = ht_query_text(&response);
        if (text) {
            g_atomic_int_inc(&state->drafts);
            if (strcmp(text, expected) != 0) {
                g_atomic_int_inc(&state->wrong_adapter);
                g_printerr("demo: %s returned an unexpected text: \"%s\"\n",
                           model, text);
            }
            return;
        }
        record_failure(state, &response);
    }
    g_atomic_int_inc(&state->lost);
}

/* Sends the booking until two attempts succeed, each through the next daemon:
   the second success must be a replay, not another run. */
static void
run_booking(demo *state, uint32_t job)
{
    g_autofree char *key = g_strdup_printf("booking-%u", job);
    g_autofree char *body = g_strdup_printf("{\"order\":%u}", job);
    uint32_t responses = 0;
    for (uint32_t attempt = 0; attempt < ATTEMPTS_MAX && responses < 2;
         attempt++) {
        g_auto(ht_response) response = {0};
        send_to_daemon(state, job + attempt, "/v1/services/dispatch", body,
                       key, &response);
        if (response.status == 200) {
            responses++;
            continue;
        }
        record_failure(state, &response);
    }
    g_atomic_int_inc(responses == 2 ? &state->bookings : &state->lost);
}

static void
run_lookup(demo *state, uint32_t job)
{
    for (uint32_t attempt = 0; attempt < ATTEMPTS_MAX; attempt++) {
        g_auto(ht_response) response = {0};
        send_to_daemon(state, job + attempt, "/v1/services/stock",
                       "{\"item\":1}", NULL, &response);
        if (response.status == 200) {
            return;
        }
        record_failure(state, &response);
    }
    g_atomic_int_inc(&state->lost);
}

static void
run_job(void *data, void *user_data)
{
    demo *state = user_data;
    uint32_t job = GPOINTER_TO_UINT(data) - 1;
    if (job % 5 == 3) {
        run_booking(state, job);
    }
    else if (job % 8 == 2) {
        run_lookup(state, job);
    }
    else {
        run_draft(state, job);
    }
    g_atomic_int_inc(&state->done);
}

/* -- the run -------------------------------------------------------------- */

static bool
run(demo *state)
{
    g_autofree char *config = sp_config_text();
    sp_add_members(state->fleet);
    if (!hn_start(state->fleet, config) ||
        !hn_wait_ready(state->fleet, 15000)) {
        return false;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(daemons); i++) {
        state->urls[i] = hn_query_url(hn_find(state->fleet, daemons[i]));
    }
    GThreadPool *pool = g_thread_pool_new(run_job, state, WORKERS, TRUE, NULL);
    for (uint32_t job = 0; job < JOBS; job++) {
        g_thread_pool_push(pool, GUINT_TO_POINTER(job + 1), NULL);
    }
    while (g_atomic_int_get(&state->done) < JOBS / 2) {
        g_usleep(RETRY_DELAY_US / 10);
    }
    hn_member *stopped = hn_find(state->fleet, "b");
    hn_signal(stopped, SIGTERM);
    g_thread_pool_free(pool, FALSE, TRUE);
    int exit_code = -1;
    bool ended = hn_wait_exit(stopped, 20000, &exit_code);
    if (!ended || exit_code != 0) {
        g_printerr("demo: daemon b did not exit with code 0 within 20 s of "
                   "SIGTERM\n");
        return false;
    }
    return true;
}

int
main(int argc, char **argv)
{
    if (argc > 1 && argv[1][0] == '-') {
        printf("usage: lacewing-demo [BIN_DIR]\n");
        return strcmp(argv[1], "--help") == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    demo state = {0};
    state.fleet = hn_create(&(hn_desc){.bin = argc > 1 ? argv[1] : NULL});
    bool stopped = run(&state);
    uint32_t doubled = sp_query_duplicate_runs(state.fleet);
    hn_destroy(state.fleet);
    printf("demo: drafts=%d bookings=%d retried=%d refused=%d lost=%d "
           "doubled=%u wrong_adapter=%d\n",
           state.drafts, state.bookings, state.retried, state.refused,
           state.lost, doubled, state.wrong_adapter);
    bool success = stopped && !state.lost && !doubled && !state.wrong_adapter;
    return success ? EXIT_SUCCESS : EXIT_FAILURE;
}
