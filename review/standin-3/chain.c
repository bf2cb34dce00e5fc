#include "chain.h"

#include <string.h>

void *
si_run_chain(void *data)
{
    si_chain *c = data;
    uint32_t last = 0;
    const char *first_id = NULL;
    for (c->count = 0; c->count < CHAIN_ATTEMPTS;) {
        si_instance *instance = c->instances[c->count];
        if (!instance) {
            break;
        }
        g_autofree char *more =
            last ? g_strdup_printf("Last-Event-Id: %u\r\nResumes: %s\r\n",
                                   last, first_id)
                 : g_strdup("");
        /* The last part of a prompt belongs to the request. */
        g_autofree char *headers = g_strdup_printf(
            CHAIN_HEADERS "Prompt-Prefix: 5c1e07a2:198,%08x:602\r\n%s",
            (unsigned)c->number + 0x1000, more);
        si_call *call = &c->calls[c->count];
        *call = si_do(instance->listen, "POST", "/draft/1", headers, "prompt",
                      6, 4000, 0);
        c->count++;
        c->taken_up = c->taken_up || last;
        c->goes_on = c->goes_on || (last && call->events->len);
        si_note("caller %d: attempt %d (%s) at %s%s: status %d, %u events, "
                "%s",
                c->number, c->count, call->id, instance->name,
                last ? ", takes its stream up" : "", call->status,
                call->events->len,
                call->complete ? "whole"
                : call->silent ? "silent"
                               : "connection ended");
        if (call->events->len) {
            last = g_array_index(call->events, si_event, call->events->len - 1)
                       .id;
            first_id = first_id ? first_id : call->id;
        }
        if (call->status == 200 && call->complete) {
            break;
        }
        g_usleep(50000 + (gulong)(call->retry_after_s * 1000000));
    }
    return NULL;
}

int
si_count_versions(const si_chain *c, GString *text)
{
    char seen[4][16];
    int count = 0;
    for (int i = 0; i < c->count; i++) {
        for (guint j = 0; j < c->calls[i].events->len; j++) {
            const si_event *e =
                &g_array_index(c->calls[i].events, si_event, j);
            int at = 0;
            while (at < count && strcmp(seen[at], e->software) != 0) {
                at++;
            }
            if (at == count && count < 4) {
                g_strlcpy(seen[count++], e->software, 16);
                g_string_append_printf(text, " %s from event %u (%s)",
                                       e->software, e->id, e->server);
            }
        }
    }
    return count;
}
