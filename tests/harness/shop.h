/*
 * shop.h: a small deployment for tests of the whole path (prefix sp_).
 *
 * Two zones, two engines and one plain service in each, daemons a and b in
 * z1 and c in z2, adapters shop-0 to shop-23 with versions v1 and v2, team
 * shop with SHOP_KEY and team other with OTHER_KEY.
 *
 *     g_autoptr(hn_fleet) fleet = sp_start(false);
 *     g_auto(ht_response) answer = {0};
 *     sp_complete(fleet, "a", "shop-1@v1", "x", 20, &answer);
 *
 * Limits: for one test; see fleet.h.
 */
#ifndef LACEWING_SHOP_H
#define LACEWING_SHOP_H

#include "fleet.h"
#include "http.h"

#define SHOP_KEY "shop-key"
#define OTHER_KEY "other-key"
#define SHOP_ADAPTERS 24

/* Groups of the configuration beyond servers and zones; free it. */
char *sp_config_text(void);
void sp_add_members(hn_fleet *fleet);
/* Started and ready; aborts the test otherwise. */
hn_fleet *sp_start(bool tls);

/* One completion through a daemon, not streamed. */
void sp_complete(hn_fleet *fleet, const char *daemon, const char *model,
                 const char *prompt, uint32_t tokens, ht_response *answer);
/* True when the answer is whole and just what that model answers. */
bool sp_is_expected(const ht_response *answer, const char *model,
                    const char *prompt, uint32_t tokens);
/* One booking. */
void sp_book(hn_fleet *fleet, const char *daemon, const char *key,
             const char *body, ht_response *answer);
/* Runs of the booking with this key, over both services. */
uint32_t sp_query_runs(hn_fleet *fleet, const char *key);
/* Runs beyond the first, over all keys. */
uint32_t sp_query_duplicate_runs(hn_fleet *fleet);

#endif
