/*
 * platform_client.h: what a stand-in server asks of the platform (prefix
 * pl_).
 *
 *     pl_client *client = pl_create(url, "s1");
 *     pl_fetch(client, "a", "v", on_fetched, self);
 *
 * Limits: one main context; no time limit of its own.
 */
#ifndef LACEWING_STANDIN_PLATFORM_CLIENT_H
#define LACEWING_STANDIN_PLATFORM_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

typedef struct pl_client pl_client;

typedef void (*pl_fetch_call)(bool fetched, void *user_data);

pl_client *pl_create(const char *base_url, const char *name);
void pl_destroy(pl_client *client);
/* Fetches weights; false when refused, over the rate included. */
void pl_fetch(pl_client *client, const char *adapter, const char *version,
              pl_fetch_call call, void *user_data);
/* Puts this server into the platform's list. */
void pl_register(pl_client *client, const char *zone, uint16_t port);
void pl_leave(pl_client *client, uint32_t lag_ms);

#endif
