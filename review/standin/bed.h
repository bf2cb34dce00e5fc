/*
 * bed.h: test bed of the review's scripts.
 *
 * One process plays the platform's store, backend servers and clients on
 * loopback addresses, as the users' pages describe them, and starts the
 * project's own program as separate processes with the command and the
 * template of the deploy file.
 */
#ifndef REVIEW_BED_H
#define REVIEW_BED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define MAX_INSTANCES 4
#define MAX_SERVERS 8
#define MAX_ADAPTERS 64
#define HOST "desk.example"
#define MODEL "m0"
#define OTHER_MODEL "m1"
#define STREAM_EVENTS 40

/* -- text buffers */
typedef struct buffer {
    char *data;
    size_t length;
    size_t capacity;
} buffer;
void buffer_add(buffer *b, const void *bytes, size_t count);
void buffer_print(buffer *b, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void buffer_drop(buffer *b, size_t count);

/* -- loop, timers and connections */
typedef struct conn conn;
struct conn {
    int fd; /* -1: closed */
    bool connecting;
    bool reading; /* input is taken */
    bool closing; /* closes once all output has left */
    buffer in;
    buffer out;
    void (*on_input)(conn *c);
    void (*on_closed)(conn *c);
    void (*on_drained)(conn *c); /* all output has left; NULL: ignored */
    void *owner;
    bool freed;
};
typedef void (*timer_call)(void *data);

int64_t now_ms(void); /* since the start of the test */
void run_until(int64_t until_ms);
void call_later(int64_t delay_ms, timer_call call, void *data);
/* Listens on a free port of 127.0.0.1; writes IP:PORT. */
void listen_here(char *address, size_t size, void (*accepted)(conn *c),
                 void *owner);
conn *open_conn(const char *ip, int port, int receive_bytes, void *owner);
void write_text(conn *c, const char *text);
void write_bytes(conn *c, const void *bytes, size_t count);
void close_conn(conn *c);
/* Returns a port that is free on the address for TCP and UDP. */
int free_port(const char *ip);

/* -- HTTP */
typedef struct request {
    char method[16];
    char target[1024];
    char *head; /* all header lines */
    char *body;
    size_t body_length;
} request;
/* Takes a whole request off the input. Returns false if there is none. */
bool take_request(conn *c, request *out);
void free_request(request *r);
/* Copies a header's value; "" if it is missing. Returns whether it is there.
 */
bool get_header(const char *head, const char *name, char *out, size_t size);

/* -- JSON; of members with the same name the last one counts */
typedef struct json json;
json *json_parse(const char *text, size_t length);
void json_free(json *j);
const json *json_member(const json *j, const char *name);
const char *json_string(const json *j); /* NULL: not a string */
int64_t json_integer(const json *j, int64_t fallback);
size_t json_count(const json *j);
const json *json_at(const json *j, size_t at);

/* -- the record */
void open_record(const char *file);
void note(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* -- the store */
extern char store_address[32];
void start_store(void);
void store_put(const char *table, const char *key, const char *value);
/* A drill: the store takes a copy, is away (it does not answer), and comes
   back from the copy. */
void store_copy(void);
void store_leave(void);
void store_restore(void);

/* -- backend servers */
typedef enum trouble_kind {
    SOUND = 0,
    ENDLESS_PIECES, /* answers to resumable streams go on without end */
    TORN_STREAMS    /* each twentieth stream ends inside its 21st event */
} trouble_kind;
typedef struct server {
    char id[24];
    char address[32];
    const char *service;
    bool engine;
    bool up;
    trouble_kind trouble;
    int work_ms;
    size_t answer_bytes; /* of a plain answer; 0: 800 */
    int slots;
    int running;
    int64_t born_ms;
    int64_t sequence;
    bool has_model;
    bool has_other_model;
    char *adapters[MAX_ADAPTERS];
    int adapter_count;
    char *loading[MAX_ADAPTERS];
    int loading_count;
    int orders;
    int crashes;
    int endless; /* answers without end so far */
    int streams; /* so far */
    int torn;    /* streams that ended inside an event so far */
} server;
extern server servers[MAX_SERVERS];
extern int server_count;
server *add_server(const char *service, bool engine, const char *model);
/* Called with each order that a server gets. */
extern void (*on_arrival)(server *s, const char *holder, int64_t fence);
/* Called with each order that a server has accepted. */
extern void (*on_order)(server *s, const char *operation, const char *model,
                        const char *adapter, const char *body);

/* -- instances */
typedef struct instance {
    char name[24];
    char ip[40];
    int listen_port;
    int ready_port;
    char settings[256];
    char log[256];
    pid_t pid; /* 0: it does not run */
    int own_ends;
    bool stopping;
    bool waits; /* for start_more_instances() */
} instance;
extern instance instances[MAX_INSTANCES];
extern int instance_count;
extern char work_folder[200];
/* The instances after the first `running` ones start with
   start_more_instances(). */
void add_instances(int count, int running);
void start_more_instances(void);
void await_ready(void); /* exits with 2 if that takes too long */
void stop_instances(void);

/* -- clients and their requests */
/* Request-Id of the first request; the others count up from it. */
#define FIRST_ID 0x5a0000000000ULL
typedef enum kind { BOOK = 0, STOCK, CHAT, DRAFT, KIND_NUM } kind;
extern const char *const kind_names[KIND_NUM];
/* Deadline-Ms of each kind: its client leaves then. */
extern const int deadlines_ms[KIND_NUM];
typedef struct work {
    kind kind;
    int instance;
    int client;
    bool kept;    /* its connection had carried a whole answer before */
    bool arrived; /* at a server */
    bool begun;   /* an answer has begun */
    int server;
    int runs;
    int64_t sent_ms;
    int64_t arrived_ms;
    int64_t done_ms;   /* whole answer or closed connection; 0: neither */
    int64_t closed_ms; /* the instance closed without a whole answer */
    int status;
    bool crashed_server; /* its server crashed while it ran */
    bool incomplete;     /* a whole answer 200 without the last event */
    bool odd;            /* sent by the client that makes the trouble */
} work;
extern work *works;
extern int work_count;
work *find_work(const char *id);
typedef struct client {
    int number;
    int instance;
    kind kinds[4];
    int kind_count;
    int next;
    int pause_ms;      /* between an answer and the next request */
    int hold_ms;       /* reads nothing for so long within each answer */
    int receive_bytes; /* of its socket; 0: as the system sets it */
    const char *headers;
    const char *model; /* NULL: one of the loaded adapters */
    bool rare;         /* asks for adapters that are not loaded */
    const char *tokens;
    bool odd;
    bool once;
    bool stopped;
    conn *conn;
    int answers; /* whole ones on this connection */
    int current; /* index in works; -1: none */
    bool held;
} client;
client *add_client(int instance, int pause_ms);
void start_client(client *c);
void stop_clients(void);

#endif
