/*
 * adapters.h: the places of an engine for adapters (prefix ad_).
 *
 *     ad_places *places = ad_create(16);
 *     ad_begin(places, "a@v");
 *     ad_end(places, "a@v", true);
 *
 * Limits: one thread.
 */
#ifndef LACEWING_STANDIN_ADAPTERS_H
#define LACEWING_STANDIN_ADAPTERS_H

#include "engine.h"

typedef struct ad_places ad_places;

ad_places *ad_create(uint32_t capacity);
void ad_destroy(ad_places *places);
en_load ad_begin(ad_places *places, const char *model);
/* False when no load of it is under way. */
bool ad_end(ad_places *places, const char *model, bool loaded);
bool ad_evict(ad_places *places, const char *model);
void ad_clear(ad_places *places);

/* queries */
bool ad_query_held(const ad_places *places, const char *model);
char *ad_query_json(const ad_places *places);

#endif
