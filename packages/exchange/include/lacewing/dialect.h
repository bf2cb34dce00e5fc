/*
 * dialect.h: what a platform speaks, as the exchange sees it (prefix dl_).
 *
 * The exchange knows no names, formats or paths of a platform. A dl_dialect
 * holds them: names of headers, readers that turn rows and answers into the
 * types below, and writers of orders and of the store's calls. It decides
 * nothing. platform/ has the one for the users' platform.
 *
 * Readers return ER_OK and fill their result, or a typed error with a message
 * that names the field; what cannot be read is skipped by the caller with a
 * log line.
 */
#ifndef LACEWING_DIALECT_H
#define LACEWING_DIALECT_H

#include "lacewing/error.h"
#include "lacewing/routes.h"

typedef enum dl_header {
    DL_REQUEST_ID = 0, /* one for each attempt of a caller */
    DL_DEADLINE,       /* ms that the caller still waits */
    DL_PROMPT_PARTS,   /* parts of the prompt with their tokens */
    DL_LAST_EVENT,     /* id of the last event that the caller has */
    DL_SEAL,           /* the backend server's signature on its answer */
    DL_EXPECT_SERVER,  /* only this backend server may run it */
    DL_SERVER_LOAD,    /* running, waiting, slots, slowness */
    DL_NOT_RUN,        /* the backend server did not run the request */
    DL_RETRY_AFTER,    /* seconds, with fractions */
    DL_LEAVING,        /* the backend server takes nothing new any more */
    DL_SERVER_ID,      /* the backend server that answers */
    DL_MODEL,          /* MODEL or MODEL/ADAPTER */
    DL_TOKENS,         /* tokens of the prompt, largest number to produce */
    DL_URGENCY,        /* 0 first to 9 */
    DL_EXPECT_VERSION, /* of the adapter or model */
    DL_PIN,            /* keeps the run's memory afterwards */
    DL_HOLD,           /* uses a reserved slot */
    DL_LENGTH_HINT,    /* caller's guess of the tokens to produce */
    DL_COPY_TO,        /* server that keeps a copy of the run's memory */
    DL_COPY_FROM,      /* copy that the run goes on from */
    DL_FETCH_FROM,     /* server that has parts of the prompt */
    DL_HEADER_NUM
} dl_header;

/* One row of the store. */
typedef struct dl_row {
    char *key;
    GBytes *value; /* NULL: removed */
    uint64_t version;
} dl_row;

typedef struct dl_rows {
    GArray *rows;     /* dl_row, cleared with dl_clear_rows() */
    uint64_t version; /* of the whole store, to follow from */
    bool more;        /* further pages */
} dl_rows;

/* A conditional write; all of a transaction take effect or none. */
typedef struct dl_condition {
    const char *key;
    uint64_t version; /* that the row must have; 0: it must be absent */
} dl_condition;

typedef struct dl_write {
    const char *key;
    GBytes *value; /* NULL: remove */
} dl_write;

typedef struct dl_tx {
    const char *table;
    const dl_condition *conditions;
    size_t condition_count;
    const dl_write *writes;
    size_t write_count;
} dl_tx;

/* An adapter at a backend server; version 0: not told. */
typedef struct dl_adapter {
    char *name;
    uint64_t version;
    bool loading; /* on its way, takes a place already */
} dl_adapter;

typedef struct dl_model {
    char *name;
    uint64_t version;
    GArray *adapters; /* dl_adapter */
} dl_model;

typedef enum dl_server_state {
    DL_SERVER_DEFAULT = 0, /* unknown: not to be used */
    DL_SERVER_READY,
    DL_SERVER_LEAVING
} dl_server_state;

/* What a backend server says of itself, in the store or when asked. */
typedef struct dl_server {
    char *id;      /* from the store only */
    char *service; /* from the store only */
    char *address; /* from the store only */
    char *zone;    /* from the store only */
    uint32_t slots;
    dl_server_state state; /* from the store only */
    uint64_t born_ms;      /* start of its process; another: it knows nothing
                              of before */
    uint64_t version;      /* of its row, from the store only */
    uint64_t orders;       /* number of orders that it has accepted */
    bool busy;             /* loads or unloads a model now */
    GArray *models;        /* dl_model; NULL: not told */
} dl_server;

typedef enum dl_operator_kind {
    DL_OPERATOR_DEFAULT = 0, /* nothing that the exchange knows */
    DL_OPERATOR_CONFIG,
    DL_OPERATOR_VERSION /* a new version of an adapter or model */
} dl_operator_kind;

typedef struct dl_operator {
    dl_operator_kind kind;
    rc_table *config; /* owned by the reader's caller */
    char *model;
    char *adapter; /* NULL: of the model itself */
    uint64_t version;
} dl_operator;

typedef enum dl_order_kind { DL_LOAD = 0, DL_UNLOAD } dl_order_kind;

typedef struct dl_order {
    dl_order_kind kind;
    const char *model;
    const char *adapter; /* NULL: the model itself */
    uint64_t version;    /* 0: the newest */
    bool conditional;
    uint64_t orders; /* conditional: number of orders accepted before */
    const char *holder;
    uint64_t fence;
} dl_order;

typedef enum dl_order_result {
    DL_ORDER_DEFAULT = 0, /* not understood */
    DL_ORDER_TAKEN,       /* is being carried out */
    DL_ORDER_HOLDS,       /* already so */
    DL_ORDER_CONFLICT,    /* another is under way, or the count differs */
    DL_ORDER_FENCED,      /* another holder has a higher fence */
    DL_ORDER_WRONG_SERVER /* another server has the address now */
} dl_order_result;

/* Load that a backend server tells with an answer. */
typedef struct dl_load {
    uint32_t running;
    uint32_t waiting;
    uint32_t slots;
    uint32_t slowness_percent; /* 100: as usual; 0: not told */
} dl_load;

/* What a backend server says of itself with an answer. */
typedef struct dl_notice {
    bool leaving;      /* it takes nothing new any more */
    uint64_t pause_ms; /* it wants nothing for so long; 0: not told */
    bool unreadable;   /* one of the two was told in a way that is not known;
                          it counts as not told */
} dl_notice;

typedef struct dl_dialect {
    const char *headers[DL_HEADER_NUM];
    const char *operator_table;
    const char *server_table;
    const char *own_table;
    const char *report_path; /* GET at a backend server */
    const char *order_path;  /* POST at a backend server */
    const char *tx_path;     /* POST at the store */
    const char *body_type;
    er_code (*read_operator)(const dl_row *row, dl_operator *out,
                             er_status *status);
    er_code (*read_server)(const dl_row *row, dl_server *out,
                           er_status *status);
    er_code (*read_report)(const char *bytes, size_t count, dl_server *out,
                           er_status *status);
    bool (*read_load)(const char *value, dl_load *out);
    /* Of an answer's status and its two headers; NULL: not there. */
    void (*read_notice)(uint32_t status, const char *leaving,
                        const char *retry_after, dl_notice *out);
    dl_order_result (*read_order_status)(uint32_t status);
    /* A status that promises that the request did not run. */
    bool (*read_refusal)(uint32_t status, const char *not_run);
    er_code (*read_rows)(const char *bytes, size_t count, dl_rows *out,
                         er_status *status);
    GString *(*write_order)(const dl_order *order);
    GString *(*write_tx)(const dl_tx *tx);
    /* Rows of a table; after: last key of the page before, or NULL. */
    GString *(*write_get_path)(const char *table, const char *after);
    /* Changes of a table behind a version, waiting for the first. */
    GString *(*write_feed_path)(const char *table, uint64_t after,
                                uint32_t wait_ms);
} dl_dialect;

void dl_clear_rows(dl_rows *rows);
void dl_clear_server(dl_server *server);
void dl_clear_operator(dl_operator *operator);
GArray *dl_make_models(void);
GArray *dl_make_rows(void);

#endif
