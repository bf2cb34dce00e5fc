/*
 * shop.h: the sample deployment of the end-to-end tests (prefix sp_).
 *
 * A shop with two zones. Each zone has two engines and one plain service:
 * e1, e2 and s1 in z1; e3, e4 and s2 in z2. Daemons a and b run in z1, c in
 * z2. Adapters shop-0 to shop-23 have the versions v1 and v2. Team shop calls
 * with SHOP_KEY, team other with OTHER_KEY.
 *
 *     g_autoptr(hn_fleet) fleet = sp_start(false);
 *     g_auto(ht_response) response = {0};
 *     sp_complete(fleet, "a", "shop-1@v1", "x", 20, &response);
 *
 * The limits of fleet.h apply.
 */
#ifndef LACEWING_SHOP_H
#define LACEWING_SHOP_H

#include "fleet.h"
#include "http.h"

#define SHOP_KEY "shop-key"
#define OTHER_KEY "other-key"
#define SHOP_ADAPTERS 24

/* The extra groups for hn_start(): limits, model, teams, operations and
   adapters. Free with g_free(). */
char *sp_config_text(void);
void sp_add_members(hn_fleet *fleet);
/* Starts the deployment and waits until it is ready; aborts the process if
   that fails. */
hn_fleet *sp_start(bool tls);

/* Requests one completion, not streamed, through a daemon. */
void sp_complete(hn_fleet *fleet, const char *daemon, const char *model,
                 const char *prompt, uint32_t tokens, ht_response *response);
/* Returns true if the response is complete and holds exactly the text that the
   stand-in engine generates for this model and prompt. */
bool sp_is_expected(const ht_response *response, const char *model,
                    const char *prompt, uint32_t tokens);
/* Sends one booking (operation dispatch, not idempotent) with the idempotency
   key. */
void sp_book(hn_fleet *fleet, const char *daemon, const char *key,
             const char *body, ht_response *response);
/* Number of times that the services ran the booking with this key. */
uint32_t sp_query_runs(hn_fleet *fleet, const char *key);
/* Number of runs beyond the first of each key, summed over all keys. */
uint32_t sp_query_duplicate_runs(hn_fleet *fleet);

#endif
