#include "targets.h"

#include "event_stream.h"
#include "lacewing/config.h"
#include "lacewing/frame.h"

/* In two pieces, so that each place to cut is met by some input. */
void
fz_frames(const uint8_t *bytes, size_t size)
{
    g_autoptr(fr_decoder) decoder = fr_create(&(fr_desc){0});
    size_t cut = size ? bytes[0] % size : 0;
    const size_t pieces[] = {cut, size - cut};
    for (size_t i = 0; i < G_N_ELEMENTS(pieces); i++) {
        fr_push(decoder, bytes + (i ? cut : 0), pieces[i]);
        Lacewing__Envelope *envelope = NULL;
        while (fr_next(decoder, &envelope, NULL) == ER_OK && envelope) {
            lacewing__envelope__free_unpacked(envelope, NULL);
        }
    }
    /* The payload alone too: the checksum keeps mutations from it. */
    Lacewing__Envelope *envelope =
        lacewing__envelope__unpack(NULL, size, bytes);
    if (envelope) {
        lacewing__envelope__free_unpacked(envelope, NULL);
    }
}

void
fz_events(const uint8_t *bytes, size_t size)
{
    se_parser *parser = se_create();
    size_t cut = size ? bytes[0] % size : 0;
    se_push(parser, (const char *)bytes, cut);
    while (se_next(parser)) {
    }
    se_push(parser, (const char *)bytes + cut, size - cut);
    while (se_next(parser)) {
    }
    se_destroy(parser);
}

void
fz_edits(const uint8_t *bytes, size_t size)
{
    g_autofree char *text = g_strndup((const char *)bytes, size);
    g_autoptr(dc_edits) edits = NULL;
    if (dc_edits_parse(text, &edits, NULL) == ER_OK) {
        g_autoptr(dc_config) config = NULL;
        dc_apply_edits(NULL, edits, &config, NULL);
    }
}

void
fz_config(const uint8_t *bytes, size_t size)
{
    g_autofree char *text = g_strndup((const char *)bytes, size);
    g_autoptr(dc_config) config = NULL;
    dc_parse(text, "fuzz", &config, NULL);
}
