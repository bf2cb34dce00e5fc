/*
 * instance_list.h: the stand-in's list of instances, which lags (prefix il_).
 *
 *     il_list *list = il_create();
 *     il_set(list, &(il_change){.name = "s1", .zone = "a",
 *         .address = "127.0.0.1:9001", .kind = "server", .lag_ms = 2000});
 *
 * Limits: lags are kept by the default main context.
 */
#ifndef LACEWING_STANDIN_INSTANCE_LIST_H
#define LACEWING_STANDIN_INSTANCE_LIST_H

#include <stdbool.h>
#include <stdint.h>

/* What becomes of one entry, after a lag. */
typedef struct il_change {
    const char *name;    /* required */
    const char *zone;    /* NULL: as it was */
    const char *address; /* NULL: as it was */
    const char *kind;    /* "entry" or "server"; NULL: as it was */
    bool leaving;
    bool gone;
    uint32_t lag_ms;
} il_change;

typedef struct il_list il_list;

il_list *il_create(void);
void il_destroy(il_list *list);
void il_set(il_list *list, const il_change *change);

/* queries */
/* Body of GET /instances; free with g_free(). */
char *il_query_json(const il_list *list);
/* NULL when not known. */
const char *il_query_zone(const il_list *list, const char *name);

#endif
