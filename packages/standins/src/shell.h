/*
 * shell.h: what both stand-ins are made of (prefix sh_).
 *
 * An HTTP server on loopback that ends by itself, keeps a history, and takes
 * orders to fail on POST /control: {"order":"NAME",...}. GET
 * /control/history gives the history, GET /control/stats the counts of the
 * program. Orders that the shell knows:
 *
 *     crash                      exit at once
 *     freeze     ms              nothing moves for that long
 *     silent                     open connections go silent for good
 *     lose_answers count         calls take effect, the connection breaks
 *     late       ms              each answer waits; 0 ends it
 *     down       ms [mode]       calls get 503 ("refuse") or no answer
 *                                ("silent") and have no effect
 *     partition  who:[...] [mode] [ms]  the same for callers of these names
 *                                or zones; ms 0: until healed
 *     heal                       ends down, late, lose_answers, partition
 *
 * Other orders go to the program.
 *
 *     sh_shell *shell = sh_create(&(sh_desc){.listen = "127.0.0.1:0",
 *         .handle = on_call, .order = on_order, .user_data = self});
 *     sh_run(shell);
 *
 * A call reaches the program paused; it answers at any later time with
 * sh_answer(), or streams by its own means after asking sh_is_silent().
 *
 * Limits: one thread.
 */
#ifndef LACEWING_STANDIN_SHELL_H
#define LACEWING_STANDIN_SHELL_H

#include "history.h"
#include "lacewing/error.h"
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

typedef struct sh_shell sh_shell;

typedef void (*sh_handle_callback)(SoupServerMessage *message,
                                   const char *path, GHashTable *query,
                                   void *user_data);
/* Carries out an order; false when it is not known or malformed. */
typedef bool (*sh_order_callback)(const char *order, JsonObject *body,
                                  void *user_data);
/* Zone of an instance, NULL when not known. */
typedef const char *(*sh_zone_callback)(const char *name, void *user_data);
/* JSON of the program's counts; freed with g_free(). */
typedef char *(*sh_stats_callback)(void *user_data);

typedef struct sh_desc {
    const char *listen;        /* HOST:PORT by number, port 0: any; required */
    const char *port_file;     /* gets the port; default none */
    const char *history;       /* file; default memory alone */
    uint32_t max_seconds;      /* ends by itself; default 600 */
    sh_handle_callback handle; /* required */
    sh_order_callback order;   /* required */
    sh_zone_callback zone;     /* default none */
    sh_stats_callback stats;   /* default none */
    void *user_data;
} sh_desc;

sh_shell *sh_create(const sh_desc *desc, er_status *status);
void sh_destroy(sh_shell *shell);
/* Runs until the time is over or SIGTERM. */
void sh_run(sh_shell *shell);

/* Answers a paused call, as the orders to fail allow. */
void sh_answer(sh_shell *shell, SoupServerMessage *message, uint32_t status,
               const char *body);
/* The connection breaks without an answer. */
void sh_close_connection(SoupServerMessage *message);

/* queries */
hs_history *sh_query_history(sh_shell *shell);
uint16_t sh_query_port(const sh_shell *shell);
bool sh_is_silent(const sh_shell *shell, SoupServerMessage *message);
/* Object of a request's body; NULL when it is not one. */
JsonNode *sh_query_body(SoupServerMessage *message);
const char *sh_query_header(SoupServerMessage *message, const char *name);
/* Members with checked types; fallback when absent or of another type. */
const char *sh_query_text(JsonObject *object, const char *name,
                          const char *fallback);
int64_t sh_query_int(JsonObject *object, const char *name, int64_t fallback);

#endif
