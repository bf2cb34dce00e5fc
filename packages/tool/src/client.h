/*
 * client.h: a blocking client of the administration API of a daemon (private,
 * prefix tl_).
 *
 *     if (!tl_parse_client_options(options, "SERVER", "Summary.", &argc,
 *                                  &argv)) {
 *         return TL_EXIT_USAGE;
 *     }
 *     g_autoptr(tl_client) client = tl_client_create();
 *     if (!client) {
 *         return TL_EXIT_USAGE;
 *     }
 *     g_autoptr(JsonNode) response = NULL;
 *     er_status status = {0};
 *     if (tl_client_call(client, "GET", "status", NULL, &response, &status) !=
 *         ER_OK) {
 *         return tl_fail(&status);
 *     }
 *     tl_print_response(response, tl_client_is_json_requested());
 */
#ifndef LACEWING_TOOL_CLIENT_H
#define LACEWING_TOOL_CLIENT_H

#include "command.h"

typedef struct tl_client tl_client;

/* Options of every command that calls a daemon: --admin, --key, --key-file,
   --ca, --json. */
extern const GOptionEntry tl_client_options[];
/* Does the same as tl_parse_options(), with tl_client_options added. */
bool tl_parse_client_options(const GOptionEntry *entries,
                             const char *arguments, const char *summary,
                             int *argc, char ***argv);
bool tl_client_is_json_requested(void);

/* Creates a client from the parsed options and the environment. Returns NULL
   after printing an error. */
tl_client *tl_client_create(void);
void tl_client_destroy(tl_client *client);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(tl_client, tl_client_destroy)

/* Makes one call and waits for its response. path is relative to /admin/v1/;
   body may be NULL. Sets *response to the JSON of the response, also of an
   error response, or to NULL if there is none. Free it with json_node_unref().
 */
er_code tl_client_call(tl_client *client, const char *method, const char *path,
                       JsonNode *body, JsonNode **response, er_status *status);
/* Reads the configuration in force and its version. */
er_code tl_client_read_config(tl_client *client, dc_config **config,
                              uint64_t *version, er_status *status);

/* Submits a change that is committed only if version expect is the one in
   force. Adds "expect" and a new "id" to body and takes ownership of it. If
   the response is lost, asks by the id whether the change was committed.
   Prints the new version or the error. Sets *version to the version of the
   change. */
tl_exit tl_client_change(tl_client *client, const char *method,
                         const char *path, JsonObject *body, uint64_t expect,
                         uint64_t *version);
/* Polls until the version is in force on every instance and prints progress on
   standard error. Gives up with TL_EXIT_UNREACHABLE after wait_ms, which does
   not include the time of the calls. */
tl_exit tl_client_wait_in_force(tl_client *client, uint64_t version,
                                uint32_t wait_ms);

#endif
