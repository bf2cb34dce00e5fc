/*
 * platform_client.h: the requests of a stand-in server to the platform
 * (prefix pl_).
 *
 *     pl_client *client = pl_create("http://127.0.0.1:9000", "s1");
 *     pl_register(client, "zone-a", port);
 *     pl_fetch_weights(client, "a", "v", on_fetched, self);
 *
 * Limits: one main context; requests have no time limit.
 */
#ifndef LACEWING_STANDIN_PLATFORM_CLIENT_H
#define LACEWING_STANDIN_PLATFORM_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

typedef struct pl_client pl_client;

/* fetched: whether the platform answered with status 200. */
typedef void (*pl_fetch_call)(bool fetched, void *user_data);

/* name: of this server, in the platform's list of instances */
pl_client *pl_create(const char *base_url, const char *name);
/* Takes NULL. */
void pl_destroy(pl_client *client);
/* Fetches the weights of an adapter version. The callback gets false on any
   failure, also if the platform refuses because of its rate limit. */
void pl_fetch_weights(pl_client *client, const char *adapter,
                      const char *version, pl_fetch_call call,
                      void *user_data);
/* Adds this server, on loopback, to the platform's list of instances. */
void pl_register(pl_client *client, const char *zone, uint16_t port);
/* Marks this server as leaving in the platform's list, after the lag. */
void pl_report_leaving(pl_client *client, uint32_t lag_ms);

#endif
