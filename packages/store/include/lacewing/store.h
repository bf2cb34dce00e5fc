/*
 * store.h: platform services of deployments of our own (prefix pf_).
 *
 * Three interfaces, each with a vtable: a transactional table, an object store
 * and the list of instances. (Backend servers fetch weights from the weight
 * store themselves.) Calls are asynchronous. Each ends with exactly one
 * callback with a result, also when the platform is down (ER_PLATFORM_DOWN) or
 * does not answer (ER_TIMEOUT).
 *
 *     pf_table *table = pf_http_table_create(&(pf_http_desc){
 *         .base_url = "http://127.0.0.1:9000"});
 *     pf_op ops[] = {{.key = "claim/a", .value = bytes}};
 *     pf_table_commit(table, ops, 1, on_done, self);
 *
 * After ER_PLATFORM_DOWN or ER_TIMEOUT a transaction may or may not have taken
 * effect. A caller that must know writes a value that is unique to its attempt
 * and reads it back.
 *
 * Limits: one main context; values up to PF_VALUE_BYTES_MAX.
 */
#ifndef LACEWING_STORE_H
#define LACEWING_STORE_H

#include "lacewing/error.h"
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PF_VALUE_BYTES_MAX (1024 * 1024)

/* Special values of pf_op.expect: the row must be absent, or no condition. */
#define PF_VERSION_ABSENT 0
#define PF_VERSION_ANY UINT64_MAX

typedef struct pf_row {
    char *key;
    GBytes *value;
    uint64_t version; /* 0 (PF_VERSION_ABSENT): the row is absent */
} pf_row;

/* One conditional write. Either all writes of a transaction take effect or
   none. */
typedef struct pf_op {
    const char *key;
    uint64_t expect; /* required version of the row; 0 (PF_VERSION_ABSENT): the
                        row must be absent; PF_VERSION_ANY: no condition */
    GBytes *value;   /* NULL: delete the row */
} pf_op;

/* ER_OK: committed; versions[i] is the new version of ops[i].
   ER_CONFLICT: not committed; rows[i] is the current row of ops[i] if its
   condition failed, else its key is NULL.
   Any other code: the transaction may or may not have taken effect. */
typedef struct pf_commit_result {
    er_code code;
    size_t count;
    const uint64_t *versions;
    const pf_row *rows;
} pf_commit_result;

/* ER_OK: rows holds the rows found. pf_table_read() of an absent row returns
   one row with version 0. */
typedef struct pf_read_result {
    er_code code;
    size_t count;
    const pf_row *rows;
} pf_read_result;

typedef void (*pf_commit_callback)(const pf_commit_result *result,
                                   void *user_data);
typedef void (*pf_read_callback)(const pf_read_result *result,
                                 void *user_data);

typedef struct pf_table pf_table;

typedef struct pf_table_vt {
    void (*destroy)(pf_table *table);
    void (*commit)(pf_table *table, const pf_op *ops, size_t count,
                   pf_commit_callback callback, void *user_data);
    void (*read)(pf_table *table, const char *key, pf_read_callback callback,
                 void *user_data);
    /* Reads at most limit rows, in key order, whose key starts with prefix and
       is greater than after (NULL: from the first). */
    void (*scan)(pf_table *table, const char *prefix, const char *after,
                 uint32_t limit, pf_read_callback callback, void *user_data);
} pf_table_vt;

struct pf_table {
    const pf_table_vt *vt;
};

void pf_table_destroy(pf_table *table);
void pf_table_commit(pf_table *table, const pf_op *ops, size_t count,
                     pf_commit_callback callback, void *user_data);
void pf_table_read(pf_table *table, const char *key, pf_read_callback callback,
                   void *user_data);
void pf_table_scan(pf_table *table, const char *prefix, const char *after,
                   uint32_t limit, pf_read_callback callback, void *user_data);

/* Object store: reads and writes whole values by name, without conditions. */
typedef struct pf_objects pf_objects;

typedef struct pf_objects_vt {
    void (*destroy)(pf_objects *objects);
    void (*put)(pf_objects *objects, const char *name, GBytes *value,
                pf_commit_callback callback, void *user_data);
    void (*get)(pf_objects *objects, const char *name,
                pf_read_callback callback, void *user_data);
} pf_objects_vt;

struct pf_objects {
    const pf_objects_vt *vt;
};

void pf_objects_destroy(pf_objects *objects);
void pf_objects_put(pf_objects *objects, const char *name, GBytes *value,
                    pf_commit_callback callback, void *user_data);
void pf_objects_get(pf_objects *objects, const char *name,
                    pf_read_callback callback, void *user_data);

/* The platform's list of instances. It may be out of date. */
typedef enum pf_instance_kind {
    PF_INSTANCE_DEFAULT = 0, /* same as PF_INSTANCE_ENTRY */
    PF_INSTANCE_ENTRY,       /* runs the daemon */
    PF_INSTANCE_SERVER,      /* a backend server */
    PF_INSTANCE_KIND_NUM
} pf_instance_kind;

typedef struct pf_instance {
    char *name;
    char *zone;
    char *address; /* host:port */
    pf_instance_kind kind;
    bool leaving;
} pf_instance;

typedef struct pf_instances_result {
    er_code code;
    size_t count;
    const pf_instance *instances;
} pf_instances_result;

typedef void (*pf_instances_callback)(const pf_instances_result *result,
                                      void *user_data);

typedef struct pf_instances pf_instances;

typedef struct pf_instances_vt {
    void (*destroy)(pf_instances *instances);
    void (*list)(pf_instances *instances, pf_instances_callback callback,
                 void *user_data);
} pf_instances_vt;

struct pf_instances {
    const pf_instances_vt *vt;
};

void pf_instances_destroy(pf_instances *instances);
void pf_instances_list(pf_instances *instances, pf_instances_callback callback,
                       void *user_data);

/* -- HTTP and JSON adapters (docs/PLATFORM_API.md) ------------------------ */

typedef struct pf_http_desc {
    const char *base_url; /* required: http://ADDRESS:PORT */
    const char *identity; /* name of the sender, in the X-Lacewing-Instance
                             header; default: none */
    uint32_t timeout_ms;  /* of a call; default 2000 */
    uint32_t connections; /* most open at once; default 8 */
} pf_http_desc;

pf_table *pf_http_table_create(const pf_http_desc *desc);
pf_objects *pf_http_objects_create(const pf_http_desc *desc);
pf_instances *pf_http_instances_create(const pf_http_desc *desc);

/* -- table in memory, for tests ------------------------------------------- */

/* Faults to inject into a table in memory. The table runs its callbacks from
   an idle or timeout source of the default main context. */
typedef struct pf_memory_table_faults {
    bool down;         /* every call ends with ER_PLATFORM_DOWN */
    bool lose_answers; /* commits are applied but end with ER_TIMEOUT */
    uint32_t delay_ms; /* delay of each answer */
} pf_memory_table_faults;

pf_table *pf_memory_table_create(void);
void pf_memory_table_set_faults(pf_table *table,
                                const pf_memory_table_faults *faults);
/* Number of commits and of reads and scans so far. */
uint64_t pf_memory_table_query_commits(const pf_table *table);
uint64_t pf_memory_table_query_reads(const pf_table *table);

#endif
