/* Streams are taken up at instances that use a server of a second software
   version already, but do not yet count the service as mixed. */
#include "chain.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define INSTANCES 6
#define STREAMS 60

static si_instance *all[INSTANCES];
static volatile bool over;

/* Other callers go on beginning streams at the other instances. */
static void *
begin_others(void *data)
{
    (void)data;
    for (int i = 0; !over; i++) {
        si_chain *chain = g_new0(si_chain, 1);
        chain->number = 1000 + i;
        chain->instances[0] = all[1 + i % (INSTANCES - 1)];
        si_run_thread(si_run_chain, chain);
        g_usleep(10000);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    si_begin(argc > 1 ? argv[1] : ".");
    si_put_config(3);
    for (int i = 0; i < 4; i++) {
        g_autofree char *id = g_strdup_printf("i-old-%d", i + 1);
        si_server *old = si_make_server(id, "llm", true, "v1", "a7");
        old->slots = 64;
        si_start_server(old);
    }
    for (int i = 0; i < INSTANCES; i++) {
        g_autofree char *name = g_strdup_printf("front-a-%d", i + 1);
        all[i] = si_start_instance(name, 260);
        /* "All machines start within 0.3 s of each other." */
        g_usleep(55000);
    }
    for (int i = 0; i < INSTANCES; i++) {
        if (!si_await_ready(all[i])) {
            si_end(2, "%s is not ready", all[i]->name);
        }
    }
    si_sleep_until(si_now_ms() + 4000);
    static si_chain chains[STREAMS];
    for (int i = 0; i < STREAMS; i++) {
        chains[i].number = i + 1;
        chains[i].instances[0] = all[0];
        /* Retries reach other daemons. */
        for (int j = 1; j < CHAIN_ATTEMPTS; j++) {
            chains[i].instances[j] = all[1 + (i + j) % (INSTANCES - 1)];
        }
        si_run_thread(si_run_chain, &chains[i]);
        g_usleep(5000);
    }
    si_sleep_until(si_now_ms() + 500);
    GThread *others = g_thread_new("others", begin_others, NULL);

    /* A release begins: the new server starts first. */
    si_server *newer = si_make_server("i-new-1", "llm", true, "v2", "a7");
    si_start_server(newer);
    for (int i = 0; i < 300 && newer->running == 0; i++) {
        g_usleep(10000);
    }
    si_note("the first stream begins at the new server");
    /* One machine of six is killed; its callers come back. */
    const char *later = getenv("LATER_MS");
    g_usleep(later ? (gulong)atoi(later) * 1000 : 0);
    if (si_trouble()) {
        kill(all[0]->pid, SIGKILL);
        si_note("%s is killed", all[0]->name);
    }
    si_sleep_until(si_now_ms() + 1000);
    over = true;
    g_thread_join(others);
    si_await_threads();

    int joined = 0;
    int taken_up = 0;
    for (int i = 0; i < STREAMS; i++) {
        g_autoptr(GString) text = g_string_new(NULL);
        int versions = si_count_versions(&chains[i], text);
        taken_up += chains[i].taken_up;
        joined += versions > 1;
        if (versions > 1) {
            si_note("caller %d: its stream holds two versions:%s", i + 1,
                    text->str);
        }
    }
    si_note("streams %d, taken up %d, of two versions %d (at most 2)", STREAMS,
            taken_up, joined);
    si_end(joined > 2 ? 1 : 0,
           "ORDER: %d of %d streams hold events of two software versions",
           joined, STREAMS);
}
