/*
 * shell.h: the HTTP server, the control interface and the history that both
 * stand-ins share (prefix sh_).
 *
 * The server ends after max_seconds at the latest, records a history, and
 * accepts orders to inject faults on POST /control: {"order":"NAME",...}.
 * GET /control/history returns the history, GET /control/stats the counts of
 * the program. /control itself is exempt from all faults but crash and
 * freeze. These orders are handled here:
 *
 *     crash                      exits at once
 *     freeze     ms              blocks the whole process for this time
 *     silent                     connections used so far never answer again
 *     lose_answers count         so many requests take effect, but their
 *                                connections close without an answer
 *     late       ms              delays each answer; 0 ends the delay
 *     down       [ms] [mode]     requests get 503 (mode "refuse", the
 *                                default) or no answer ("silent") and have
 *                                no effect; ms 0: until healed
 *     partition  who:[...] [ms] [mode]  as down, for requests of callers
 *                                with these names or in these zones only
 *     heal                       ends down, late, lose_answers, partition
 *
 * All other orders go to the program.
 *
 *     sh_shell *shell = sh_create(&(sh_desc){.listen = "127.0.0.1:0",
 *         .handle = on_request, .order = on_order, .user_data = self});
 *     sh_run(shell);
 *
 * A request is paused before the program gets it. The program answers it at
 * any later time with sh_answer(), or streams the answer itself; it must then
 * check sh_is_silent() first.
 *
 * Limits: one thread, the default main context.
 */
#ifndef LACEWING_STANDIN_SHELL_H
#define LACEWING_STANDIN_SHELL_H

#include "history.h"
#include "lacewing/error.h"
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

typedef struct sh_shell sh_shell;

/* Handles a paused request. */
typedef void (*sh_handle_callback)(SoupServerMessage *message,
                                   const char *path, GHashTable *query,
                                   void *user_data);
/* Applies an order; returns false if it is unknown or malformed. */
typedef bool (*sh_order_callback)(const char *order, JsonObject *body,
                                  void *user_data);
/* Zone of an instance; NULL if unknown. */
typedef const char *(*sh_zone_callback)(const char *name, void *user_data);
/* The program's counts as JSON; freed with g_free(). */
typedef char *(*sh_stats_callback)(void *user_data);

typedef struct sh_desc {
    const char *listen;    /* numeric ADDRESS:PORT, required; port 0: any */
    const char *port_file; /* file to write the port to; default none */
    const char *history;   /* file to append to; default memory only */
    uint32_t max_seconds;  /* longest run time; default 600 */
    sh_handle_callback handle; /* required */
    sh_order_callback order;   /* required */
    sh_zone_callback zone;     /* default none */
    sh_stats_callback stats;   /* default none */
    void *user_data;
} sh_desc;

/* Listens at once; returns NULL and sets the status on failure. */
sh_shell *sh_create(const sh_desc *desc, er_status *status);
void sh_destroy(sh_shell *shell);
/* Runs the main loop until max_seconds have passed or SIGTERM arrives. */
void sh_run(sh_shell *shell);

/* Answers a paused request with JSON, subject to the injected faults. */
void sh_answer(sh_shell *shell, SoupServerMessage *message, uint32_t status,
               const char *body);
/* Closes the connection of a paused request without an answer. */
void sh_close_connection(SoupServerMessage *message);

/* queries */
hs_history *sh_query_history(sh_shell *shell);
uint16_t sh_query_port(const sh_shell *shell);
/* True if the order "silent" covers the connection of this request. */
bool sh_is_silent(const sh_shell *shell, SoupServerMessage *message);
/* Body of a request; NULL if it is not a JSON object. */
JsonNode *sh_query_body(SoupServerMessage *message);
/* Value of a request's header; NULL if absent. */
const char *sh_query_header(SoupServerMessage *message, const char *name);
/* A member of an object; fallback if it is absent or of another type. */
const char *sh_query_text(JsonObject *object, const char *name,
                          const char *fallback);
int64_t sh_query_int(JsonObject *object, const char *name, int64_t fallback);

#endif
