/* Streams that began at a new software version are taken up at a machine that
   is cut off and has not heard of this version. */
#include "chain.h"

#include <string.h>

#define INSTANCES 6
#define STREAMS 160

int
main(int argc, char **argv)
{
    si_begin(argc > 1 ? argv[1] : ".");
    si_put_config(3);
    for (int i = 0; i < 3; i++) {
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
    si_instance *first = all[0];
    si_instance *alone = all[INSTANCES - 1];
    uint64_t begun = si_now_ms() + 4000;
    si_sleep_until(begun);

    /* One machine of six is cut off from the store and the other machines for
       5.5 s; callers and servers still reach it. */
    if (si_trouble()) {
        alone->door->cut = 1;
        si_note("%s is cut off", alone->name);
    }
    /* A release begins: the new server starts first, empty. */
    si_sleep_until(begun + 300);
    si_server *newer = si_make_server("i-new-1", "llm", true, "v2", NULL);
    si_start_server(newer);
    si_sleep_until(begun + 3000);
    static si_chain chains[STREAMS];
    for (int i = 0; i < STREAMS; i++) {
        chains[i].number = i + 1;
        chains[i].instances[0] = first;
        /* Retries reach other daemons. */
        for (int j = 1; j < CHAIN_ATTEMPTS; j++) {
            chains[i].instances[j] = all[1 + (i + j) % (INSTANCES - 1)];
        }
        si_run_thread(si_run_chain, &chains[i]);
        g_usleep(2000);
    }
    /* The process of another machine is killed; its callers come back. */
    si_sleep_until(begun + 4200);
    if (si_trouble()) {
        si_kill_instance(first);
        si_note("%s is killed", first->name);
    }
    /* The platform starts it again after a short delay. */
    si_sleep_until(begun + 5200);
    if (si_trouble()) {
        si_run_instance(first);
    }
    si_sleep_until(begun + 5500);
    if (si_trouble()) {
        alone->door->cut = 0;
        si_note("%s is no longer cut off", alone->name);
    }
    si_await_threads();

    int joined = 0;
    int began_new = 0;
    for (int i = 0; i < STREAMS; i++) {
        g_autoptr(GString) text = g_string_new(NULL);
        int versions = si_count_versions(&chains[i], text);
        began_new += strstr(text->str, " v2 from event 1 ") != NULL;
        joined += versions > 1;
        if (versions > 1) {
            si_note("caller %d: its stream holds two versions:%s", i + 1,
                    text->str);
        }
    }
    si_note("streams %d, begun at v2 %d, of two versions %d (at most 2)",
            STREAMS, began_new, joined);
    if (began_new < 15) {
        si_end(2, "only %d streams began at the new version", began_new);
    }
    si_end(joined > 2 ? 1 : 0,
           "ORDER: %d of %d streams hold events of two software versions",
           joined, STREAMS);
}
