/* Streams of a machine that loses power just before a second software version
   appears are not taken up anywhere. */
#include "chain.h"

#include <signal.h>
#include <string.h>

#define INSTANCES 6
#define STREAMS 30
#define NEW_STREAMS 30

int
main(int argc, char **argv)
{
    si_begin(argc > 1 ? argv[1] : ".");
    si_put_config(3);
    for (int i = 0; i < 4; i++) {
        g_autofree char *id = g_strdup_printf("i-old-%d", i + 1);
        si_start_server(si_make_server(id, "llm", true, "v1", "a7"));
    }
    si_instance *all[INSTANCES];
    for (int i = 0; i < INSTANCES; i++) {
        g_autofree char *name = g_strdup_printf("front-a-%d", i + 1);
        all[i] = si_start_instance(name, 260);
    }
    for (int i = 0; i < INSTANCES; i++) {
        if (!si_await_ready(all[i])) {
            si_end(2, "%s is not ready", all[i]->name);
        }
    }
    uint64_t begun = si_now_ms() + 4000;
    si_sleep_until(begun);
    static si_chain chains[STREAMS];
    for (int i = 0; i < STREAMS; i++) {
        chains[i].number = i + 1;
        chains[i].instances[0] = all[0];
        for (int j = 1; j < CHAIN_ATTEMPTS; j++) {
            /* Retries reach other daemons. */
            chains[i].instances[j] = all[1 + (i + j) % (INSTANCES - 1)];
        }
        si_run_thread(si_run_chain, &chains[i]);
        g_usleep(10000);
    }

    /* One machine of six loses power, and is dark for 3.5 s: it is stopped,
       then killed. */
    si_sleep_until(begun + 1500);
    if (si_trouble()) {
        kill(all[0]->pid, SIGSTOP);
        si_note("%s loses power", all[0]->name);
    }
    /* A release begins: the new server starts first. */
    si_sleep_until(begun + 2500);
    si_start_server(si_make_server("i-new-1", "llm", true, "v2", NULL));
    si_sleep_until(begun + 5000);
    if (si_trouble()) {
        si_kill_instance(all[0]);
        si_note("%s is back: its connections are reset", all[0]->name);
        si_run_instance(all[0]);
    }
    static si_chain fresh[NEW_STREAMS];
    for (int i = 0; i < NEW_STREAMS; i++) {
        fresh[i].number = 1000 + i;
        fresh[i].instances[0] = all[1 + i % (INSTANCES - 1)];
        si_run_thread(si_run_chain, &fresh[i]);
        g_usleep(30000);
    }
    si_await_threads();

    int taken_up = 0;
    int go_on = 0;
    int begin = 0;
    for (int i = 0; i < STREAMS; i++) {
        taken_up += chains[i].taken_up;
        go_on += chains[i].goes_on;
    }
    for (int i = 0; i < NEW_STREAMS; i++) {
        begin += fresh[i].calls[0].events->len > 0;
    }
    si_note("taken up %d, go on %d; new streams %d, begun %d", taken_up, go_on,
            NEW_STREAMS, begin);
    bool broken =
        taken_up >= 12 && (double)go_on / taken_up < 0.5 * begin / NEW_STREAMS;
    si_end(broken,
           "LOST: %d of %d streams that callers took up go on; %d of %d new "
           "ones begin",
           go_on, taken_up, begin, NEW_STREAMS);
}
