/*
 * client.h: calls of the administration API (private, prefix tl_).
 */
#ifndef LACEWING_TOOL_CLIENT_H
#define LACEWING_TOOL_CLIENT_H

#include "command.h"

typedef struct tl_client tl_client;

/* Options that every command with a daemon has: --admin, --key, --key-file,
   --ca, --json. */
extern const GOptionEntry tl_client_options[];
/* tl_parse_options() with these as well. */
bool tl_parse_client_options(const GOptionEntry *entries,
                             const char *arguments, const char *summary,
                             int *argc, char ***argv);
/* Whether --json was given. */
bool tl_client_query_json(void);

/* Made from the options; NULL after a message on standard error. */
tl_client *tl_client_create(void);
void tl_client_destroy(tl_client *client);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(tl_client, tl_client_destroy)

/* One call; path is behind /admin/v1/. body may be NULL. *answer is set
   whenever there is a JSON answer, also with an error. */
er_code tl_client_call(tl_client *client, const char *method, const char *path,
                       JsonNode *body, JsonNode **answer, er_status *status);
/* The configuration in force and its version. */
er_code tl_client_config(tl_client *client, dc_config **config,
                         uint64_t *version, er_status *status);

/* A change. Adds id to the body (with members already begun), makes the call
   and, when the answer is lost, asks what became of it. Prints the outcome;
   takes over body. */
tl_exit tl_client_change(tl_client *client, const char *method,
                         const char *path, JsonObject *body, uint64_t expect,
                         uint64_t *version);
/* Waits until no peer is behind a version, with progress on standard
   error. */
tl_exit tl_client_wait_in_force(tl_client *client, uint64_t version,
                                uint32_t wait_ms);

#endif
