/*
 * workspaces.h: the workspaces of a configuration and their keys (prefix wp_).
 *
 * A caller names its workspace by a key. The table keeps hashes of the keys,
 * not the keys, and finds the workspace of a key in constant time.
 *
 *     wp_table *table = wp_create();
 *     wp_add(table, &(wp_workspace){.name = "desk", .per_s = 10, .burst = 20},
 *            keys, 2);
 *     const wp_workspace *found = wp_query_by_key(table, key);
 *     wp_destroy(table);
 *
 * Memory: about 150 bytes a key.
 */
#ifndef LACEWING_WORKSPACES_H
#define LACEWING_WORKSPACES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct wp_table wp_table;

typedef struct wp_workspace {
    const char *name;
    bool has_priority;     /* priority is set; it goes before the route's */
    uint32_t priority;     /* 0 is the highest */
    bool in_tokens;        /* the quota counts tokens, otherwise requests */
    uint32_t plain_tokens; /* that a request counts as which names none */
    double per_s;          /* quota over all instances; 0: no limit */
    double burst;          /* may be used at once on top of it */
    /* set by wp_add() */
    uint32_t key_count;        /* that are not empty */
    uint32_t shared_key_count; /* that another workspace had before */
    uint32_t keys_digest;      /* of all keys, in any order */
} wp_workspace;

typedef void (*wp_callback)(const wp_workspace *workspace, void *user_data);

wp_table *wp_create(void);
void wp_destroy(wp_table *table);

/* Copies the workspace and its keys. Empty keys are left out: no caller may
   use them. */
void wp_add(wp_table *table, const wp_workspace *workspace,
            const char *const *keys, size_t key_count);

/* queries */
/* Returns NULL if no workspace has the key. */
const wp_workspace *wp_query_by_key(const wp_table *table, const char *key);
void wp_each(const wp_table *table, wp_callback call, void *user_data);

#endif
