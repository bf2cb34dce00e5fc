/* backend_private.h: what the files of the backend client share. */
#ifndef LACEWING_BACKEND_PRIVATE_H
#define LACEWING_BACKEND_PRIVATE_H

#include "lacewing/backend.h"
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

struct be_server {
    char *address;
    tm_service *timers;
    SoupSession *session;
    GCancellable *cancel; /* cancelled when the server is destroyed */
    uint64_t fence;
    char *owner;
    uint32_t stall_timeout_ms;
    uint32_t start_timeout_ms;
    uint32_t order_timeout_ms;
    uint32_t probe_ms;
    GHashTable *streams; /* set of be_stream */
};

/* A message to the server with the headers that all of them carry. */
SoupMessage *_be_message(be_server *server, const char *method,
                         const char *path);

/* Sets a JSON body; takes over the builder's root. */
void _be_set_json(SoupMessage *message, JsonBuilder *builder);

/* Member of an object, or the fallback when absent or of another type. */
const char *_be_json_string(JsonObject *object, const char *name,
                            const char *fallback);
int64_t _be_json_int(JsonObject *object, const char *name, int64_t fallback);

/* Whether the error is certain to come from before a connection: nothing was
   sent. */
bool _be_never_connected(const GError *error);

/* Type of the error in an answer's body; NULL without one. Free it. */
char *_be_error_type(GBytes *body);

#endif
