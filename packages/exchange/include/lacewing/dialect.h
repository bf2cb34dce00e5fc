/*
 * dialect.h: interface to a platform's protocol (prefix dl_).
 *
 * The exchange contains no header names, formats or paths of a platform. A
 * dl_dialect supplies them: header names, readers that parse rows and answers
 * into the types below, and writers that format orders and requests to the
 * store. It makes no decisions. platform/ implements the one for the users'
 * platform.
 *
 * Readers return ER_OK and fill their result, or return an error whose message
 * names the field. The caller then logs the error and skips the input.
 */
#ifndef LACEWING_DIALECT_H
#define LACEWING_DIALECT_H

#include "lacewing/error.h"
#include "lacewing/routes.h"

/* HTTP headers of the platform; dl_dialect.headers has their names. */
typedef enum dl_header {
    DL_REQUEST_ID = 0, /* unique for each attempt of a caller */
    DL_DEADLINE,       /* ms that the caller still waits */
    DL_PROMPT_PARTS,   /* parts of the prompt with their token counts */
    DL_LAST_EVENT,     /* id of the last event that the caller received */
    DL_RESUMES,        /* DL_REQUEST_ID of the attempt that brought the caller
                          the first event of its stream */
    DL_SIGNATURE,      /* the backend server's signature of its answer */
    DL_EXPECT_SERVER,  /* only this backend server may run the request */
    DL_SERVER_LOAD,    /* running, waiting, slots, slowness */
    DL_NOT_EXECUTED,   /* the backend server did not run the request */
    DL_RETRY_AFTER,    /* seconds, with fractions */
    DL_LEAVING,        /* the backend server accepts no new requests */
    DL_LIMIT,          /* requests per second that the backend server takes
                          from all instances together */
    DL_SERVER_ID,      /* the backend server that answers */
    DL_MODEL,          /* MODEL or MODEL/ADAPTER */
    DL_TOKENS,         /* prompt tokens and most tokens to generate */
    DL_PRIORITY,       /* 0 (highest) to 9 */
    DL_EXPECT_VERSION, /* required version of the adapter or model */
    DL_PIN,            /* keeps the KV cache of the run afterwards */
    DL_RESERVED_SLOT,  /* the request uses a reserved slot */
    DL_LENGTH_HINT,    /* caller's estimate of the generated tokens */
    DL_KV_BACKUP,      /* server that keeps a copy of the KV cache */
    DL_KV_RESUME_FROM, /* KV cache copy that the run continues from */
    DL_KV_FETCH_FROM,  /* server that caches parts of the prompt */
    DL_WORKSPACE,      /* name of the caller's workspace, for the server */
    DL_STORE_ERA,      /* counts how often the store was restored */
    DL_HEADER_NUM
} dl_header;

/* A version of the store. A store that is restored from an older copy gives
   its version numbers out again and raises its era, so a version here has the
   era in its upper bits: it rises with each write, across restorations too. 0:
   none. The era has 13 bits, as a double holds 53 bits exactly. */
#define DL_ERA_SHIFT 40
#define DL_MAX_ERA ((UINT64_C(1) << 13) - 1)
#define DL_MAX_VERSION_NUMBER ((UINT64_C(1) << DL_ERA_SHIFT) - 1)
uint64_t dl_make_version(uint64_t era, uint64_t number);
uint64_t dl_query_era(uint64_t version);
/* Returns the number by which the store knows the version. */
uint64_t dl_query_version_number(uint64_t version);

/* One row of the store. */
typedef struct dl_row {
    char *key;
    GBytes *value; /* NULL: the row was removed */
    uint64_t version;
} dl_row;

typedef struct dl_rows {
    GArray *rows;     /* dl_row, cleared with dl_clear_rows() */
    uint64_t version; /* of the whole store; changes are read from here */
    uint64_t now_ms;  /* the store's clock; 0: not stated */
    bool more;        /* there are further pages */
} dl_rows;

/* A condition of a transaction. Either all writes of a transaction take
   effect or none. */
typedef struct dl_condition {
    const char *key;
    uint64_t version; /* required row version; 0: no such row */
} dl_condition;

typedef struct dl_write {
    const char *key;
    GBytes *value; /* NULL: removes the row */
} dl_write;

typedef struct dl_tx {
    const char *table;
    const dl_condition *conditions;
    size_t condition_count;
    const dl_write *writes;
    size_t write_count;
} dl_tx;

/* An adapter at a backend server; version 0: not reported. */
typedef struct dl_adapter {
    char *name;
    uint64_t version;
    bool loading; /* being loaded; already occupies a place */
} dl_adapter;

typedef struct dl_model {
    char *name;
    uint64_t version;
    GArray *adapters; /* dl_adapter */
} dl_model;

typedef enum dl_server_state {
    DL_SERVER_DEFAULT = 0, /* unknown; gets no requests */
    DL_SERVER_READY,
    DL_SERVER_LEAVING
} dl_server_state;

/* State of a backend server, from its row in the store or from its report. */
typedef struct dl_server {
    char *id;       /* from the store only */
    char *service;  /* from the store only */
    char *address;  /* from the store only */
    char *zone;     /* from the store only */
    char *software; /* version of its program, not of its models: any text;
                       from the store only */
    uint32_t slots;
    dl_server_state state; /* from the store only */
    uint64_t born_ms;      /* start of its process; a process that started
                              later has none of the earlier state */
    uint64_t version;      /* of its row, from the store only */
    uint64_t orders;       /* number of orders accepted so far */
    bool busy;             /* is loading or unloading a model */
    GArray *models;        /* dl_model; NULL: not reported */
} dl_server;

typedef enum dl_operator_kind {
    DL_OPERATOR_DEFAULT = 0, /* of no use to the exchange; ignored */
    DL_OPERATOR_CONFIG,
    DL_OPERATOR_VERSION /* a new version of an adapter or model */
} dl_operator_kind;

/* A row of the operator's table. */
typedef struct dl_operator {
    dl_operator_kind kind;
    rc_table *config; /* owned by the reader's caller */
    char *model;
    char *adapter; /* NULL: the version is of the model itself */
    uint64_t version;
} dl_operator;

typedef enum dl_order_kind { DL_LOAD = 0, DL_UNLOAD } dl_order_kind;

/* An order to load or unload an adapter or model. */
typedef struct dl_order {
    dl_order_kind kind;
    const char *model;
    const char *adapter; /* NULL: the model itself */
    uint64_t version;    /* 0: the newest */
    bool conditional;    /* fails unless the order count is as expected */
    uint64_t orders;     /* conditional: orders accepted before this one */
    const char *holder;
    uint64_t fence;
} dl_order;

typedef enum dl_order_result {
    DL_ORDER_DEFAULT = 0,  /* the status is unknown */
    DL_ORDER_ACCEPTED,     /* the order is being carried out */
    DL_ORDER_ALREADY_DONE, /* the server is already in the ordered state */
    DL_ORDER_CONFLICT,     /* another order is running or the count differs */
    DL_ORDER_FENCED,       /* another holder has a higher fence */
    DL_ORDER_WRONG_SERVER  /* another server has the address now */
} dl_order_result;

/* Load that a backend server reports in the head of an answer. */
typedef struct dl_load {
    uint32_t running;
    uint32_t waiting;
    uint32_t slots;
    uint32_t slowness_percent; /* 100: normal speed; 0: not reported */
} dl_load;

/* Availability that a backend server reports in the head of an answer. */
typedef struct dl_notice {
    bool leaving;      /* it accepts no new requests any more */
    uint64_t pause_ms; /* it asks for no requests for this long; 0: no pause */
    bool limited;      /* it takes limit_per_s from all instances together */
    double limit_per_s;
    bool limit_unreadable; /* a limit is named, its value is unknown */
    bool unreadable;       /* one of them has an unknown value, which counts
                              as not reported */
} dl_notice;

typedef struct dl_dialect {
    const char *headers[DL_HEADER_NUM];
    const char *operator_table; /* configuration and versions */
    const char *server_table;   /* list of backend servers */
    const char *own_table;      /* leases, written by the exchange */
    const char *stream_table;   /* streams that callers may take up again,
                                   written by the exchange */
    const char *report_path;    /* GET at a backend server */
    const char *order_path;     /* POST at a backend server */
    const char *tx_path;        /* POST at the store */
    const char *body_type;
    er_code (*read_operator)(const dl_row *row, dl_operator *out,
                             er_status *status);
    er_code (*read_server)(const dl_row *row, dl_server *out,
                           er_status *status);
    er_code (*read_report)(const char *bytes, size_t count, dl_server *out,
                           er_status *status);
    bool (*read_load)(const char *value, dl_load *out);
    /* Reads DL_PROMPT_PARTS: the hashes of the parts that other requests may
       share, up to max. Returns their number. */
    uint32_t (*read_prompt_parts)(const char *value, uint64_t *parts,
                                  uint32_t max);
    /* Returns whether this is the name of an adapter of a model that has so
       many. */
    bool (*names_adapter)(const char *name, uint32_t adapter_count);
    /* Reads an answer's status, DL_LEAVING, DL_RETRY_AFTER and DL_LIMIT; an
       absent header is NULL. */
    void (*read_notice)(uint32_t status, const char *leaving,
                        const char *retry_after, const char *limit,
                        dl_notice *out);
    dl_order_result (*read_order_status)(uint32_t status);
    /* Returns whether an answer guarantees that the request did not run; an
       absent DL_NOT_EXECUTED is NULL. */
    bool (*read_refusal)(uint32_t status, const char *not_run);
    /* era: DL_STORE_ERA of the answer, NULL if absent, which is era 0. */
    er_code (*read_rows)(const char *bytes, size_t count, const char *era,
                         dl_rows *out, er_status *status);
    GString *(*write_order)(const dl_order *order);
    GString *(*write_tx)(const dl_tx *tx);
    /* Path that reads a page of a table; after: last key of the previous
       page, or NULL. */
    GString *(*write_get_path)(const char *table, const char *after);
    /* Path that reads the changes of a table after a version; the store
       waits up to wait_ms for the first one. */
    GString *(*write_feed_path)(const char *table, uint64_t after,
                                uint32_t wait_ms);
} dl_dialect;

/* Free the contents, not the struct itself. */
void dl_clear_rows(dl_rows *rows);
void dl_clear_server(dl_server *server);
void dl_clear_operator(dl_operator *operator);
/* Create an empty array of dl_model or dl_row that frees its elements. */
GArray *dl_make_models(void);
GArray *dl_make_rows(void);

#endif
