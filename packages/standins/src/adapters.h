/*
 * adapters.h: the adapter slots of the stand-in engine (prefix ad_).
 *
 * A fixed number of slots, each of which holds a resident adapter or one
 * that is being loaded. A load takes its slot when it begins and gives the
 * slot back if it fails. Nothing is evicted on its own.
 *
 *     ad_slots *slots = ad_create(16);
 *     if (ad_begin_load(slots, "a@v") == EN_LOAD_DEFAULT) {
 *         ad_end_load(slots, "a@v", true);
 *     }
 *
 * Limits: one thread.
 */
#ifndef LACEWING_STANDIN_ADAPTERS_H
#define LACEWING_STANDIN_ADAPTERS_H

#include "engine.h"

typedef struct ad_slots ad_slots;

/* capacity: number of slots */
ad_slots *ad_create(uint32_t capacity);
void ad_destroy(ad_slots *slots);
en_load_result ad_begin_load(ad_slots *slots, const char *model);
/* Returns false if no load of this model is in progress. */
bool ad_end_load(ad_slots *slots, const char *model, bool loaded);
/* Returns false if the model is not resident. */
bool ad_evict(ad_slots *slots, const char *model);
/* Empties all slots and forgets the loads in progress. */
void ad_clear(ad_slots *slots);

/* queries */
bool ad_query_resident(const ad_slots *slots, const char *model);
/* JSON array of the resident models' names; free with g_free(). */
char *ad_query_json(const ad_slots *slots);

#endif
