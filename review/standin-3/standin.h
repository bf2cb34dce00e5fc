/*
 * standin.h: a small deployment on loopback for the cases of the third review.
 *
 * One program plays the platform's store, backend servers and callers with a
 * thread per connection, and starts instances with the command of
 * deploy/system.toml as separate processes. It decides nothing for them.
 * Memory is not freed: a case is one short process.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define SI_HOST "shop.example"

/* -- time and record */
uint64_t si_now_ms(void); /* since the start of the program */
void si_sleep_until(uint64_t ms);
/* Writes a line with the time to record.txt. */
void si_note(const char *format, ...) G_GNUC_PRINTF(1, 2);
/* False if TROUBLE=0: the case leaves its disruption out. */
bool si_trouble(void);
/* Ends all instances and the program. 0: held, 1: broken, 2: could not run. */
G_NORETURN void si_end(int code, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* Opens record.txt in the folder, begins the clock. */
void si_begin(const char *folder);

/* -- the store */
/* A door is an address of the store for one instance. */
typedef struct si_door {
    char address[32];
    int fd;
    volatile int busy; /* answers 503 to every call */
    volatile int cut; /* nothing passes, neither calls nor the datagrams of its
                         instance with others */
    int refused;      /* calls answered so */
} si_door;
si_door *si_open_door(void);
void si_put(const char *table, const char *key, const char *value);

/* -- backend servers */
typedef struct si_server {
    char id[32];
    const char *service;
    const char *software; /* Version */
    char address[32];
    int port;
    int fd; /* listener; -1: it does not run */
    bool engine;
    uint64_t born_ms;
    bool has_base;       /* an engine: the base model is loaded */
    GPtrArray *adapters; /* names; loaded */
    GHashTable *loading; /* names; "": the base model */
    uint64_t sequence;
    GPtrArray *conns; /* sockets, to be reset by a crash */
    uint32_t slots;
    volatile uint32_t running;
    /* a stream: events, and the time between two of them */
    uint32_t events;
    uint32_t event_ms;
    /* plain answers */
    uint32_t work_ms;
    uint32_t answer_bytes;
    volatile int reads_slowly; /* reads a body at this many bytes a second;
                                  0: at once */
    volatile bool stopped;     /* the process has ended */
} si_server;
/* adapters: what an engine holds at the start of the system; NULL: nothing, as
   one that starts later. */
si_server *si_make_server(const char *id, const char *service, bool engine,
                          const char *software, const char *adapters);
/* Listens and registers in the store. */
void si_start_server(si_server *server);
/* The process ends: connections are reset, nothing is said to the store. */
void si_crash_server(si_server *server);

/* -- instances */
typedef struct si_instance {
    char name[32];
    char zone[32];
    char listen[32];
    char ready[32];
    pid_t pid;
    si_door *door;
} si_instance;
si_instance *si_start_instance(const char *name, uint32_t memory_mb);
/* Ends its process; starts it again, with the same settings. */
void si_kill_instance(si_instance *instance);
void si_run_instance(si_instance *instance);
/* Returns false if it is not ready within 15 s. */
bool si_await_ready(si_instance *instance);
/* Memory in use, kB; 0: the process has ended. */
uint64_t si_query_memory_kb(const si_instance *instance);
/* Returns true while the process runs. */
bool si_query_alive(si_instance *instance);

/* -- callers */
typedef struct si_event {
    uint32_t id;
    char server[32];
    char software[16];
} si_event;
typedef struct si_call {
    char id[24];
    int status; /* 0: no head came */
    double retry_after_s;
    bool complete;  /* the answer came whole */
    bool silent;    /* given up after a gap */
    GArray *events; /* si_event, of a stream */
    uint64_t bytes; /* of the body */
    char seal[64];
} si_call;
/* Sends a request and reads the answer. headers: whole lines. gap_ms: longest
   time without a byte; pace: bytes read a second, 0: at once. */
si_call si_do(const char *address, const char *method, const char *path,
              const char *headers, const char *body, size_t body_count,
              uint32_t gap_ms, uint32_t pace);
void si_run_thread(GThreadFunc call, void *data);
void si_await_threads(void);

/* The configuration of a small deployment. */
void si_put_config(uint32_t version);
#endif
