/*
 * instance_list.h: the instance list of the stand-in platform (prefix il_).
 *
 * Each change takes effect after its own lag, so that readers see an outdated
 * list meanwhile.
 *
 *     il_list *list = il_create();
 *     il_set(list, &(il_change){.name = "s1", .zone = "a",
 *         .address = "127.0.0.1:9001", .kind = "server", .lag_ms = 2000});
 *
 * Limits: the lags are timers on the default main context.
 */
#ifndef LACEWING_STANDIN_INSTANCE_LIST_H
#define LACEWING_STANDIN_INSTANCE_LIST_H

#include <stdbool.h>
#include <stdint.h>

/* The new state of one entry. NULL keeps the value of the present entry; a new
   entry gets "" as zone and address, and "entry" as kind. */
typedef struct il_change {
    const char *name;    /* required */
    const char *zone;    /* or NULL */
    const char *address; /* or NULL */
    const char *kind;    /* "entry" or "server", or NULL */
    bool leaving;
    bool gone;       /* removes the entry */
    uint32_t lag_ms; /* 0: takes effect at once */
} il_change;

typedef struct il_list il_list;

il_list *il_create(void);
/* No lag may end after this call: its timer would use the freed list. */
void il_destroy(il_list *list);
/* Copies the change and applies it after its lag. */
void il_set(il_list *list, const il_change *change);

/* queries */
/* Body of GET /instances; free it with g_free(). */
char *il_query_json(const il_list *list);
/* Zone of an instance; NULL if the instance is unknown. */
const char *il_query_zone(const il_list *list, const char *name);

#endif
