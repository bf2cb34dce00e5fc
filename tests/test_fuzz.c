/* Runs every fuzz target on a fixed corpus and on mutations of it. The seed is
   fixed, so that each run has the same inputs. A target fails by crashing. */
#include "fuzz/targets.h"
#include "lacewing/frame.h"
#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define MUTATIONS_PER_INPUT 3000
#define SEED 20261204

/* Valid inputs, at least one for each decoder of text, and an empty one. */
static const char *const corpus[] = {
    "data: {\"index\":0,\"text\":\" w\",\"model\":\"a@1\"}\n\ndata: {\"done\":"
    "true,\"tokens\":1}\n\n",
    "[{\"group\":\"team a\",\"key\":\"weight\",\"value\":\"2\"},"
    "{\"group\":\"adapter x\",\"key\":null,\"value\":null}]",
    "[deployment]\nname = t\nregion = r\n[zone z]\nlatency_ms = 1\n"
    "[server s]\nzone = z\naddress = 127.0.0.1:1\nkind = engine\n"
    "[model m]\n[team t]\n[adapter a]\nmodel = m\nteam = t\nversions = 1\n"
    "[operation o]\nkind = draft\nidempotent = true\ndeadline_ms = 10\n",
    "POST /a/b?c HTTP/1.1\r\nHost: x\r\nConnection: a, b\r\n"
    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
    "{\"Version\":7,\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\",\"Prefix\":"
    "\"/a/\",\"Kind\":\"safe\",\"Split\":[{\"Service\":\"s\",\"Weight\":9}]"
    "}],\"Services\":[{\"Name\":\"s\",\"InferenceEngine\":{\"Slots\":3,"
    "\"Models\":[{\"Name\":\"m\",\"WeightsSize\":1.5}]}}],\"Limits\":{}}",
    "{\"Service\":\"s\",\"Address\":\"1.2.3.4:5\",\"Zone\":\"z\",\"Slots\":1,"
    "\"State\":\"ready\",\"Sequence\":0,\"born\":1,\"Models\":[{\"Name\":"
    "\"m\",\"Adapters\":[\"a@1\"]}],\"Coming\":[\"m/b@2\"]}",
    "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n: c\n\nid: 3\nda",
    "z1\",\"Adapter\":null,\"Model\":\"m1",
    "{\"Rows\":[{\"Table\":\"t\",\"part\":\"\",\"Key\":\"k\",\"Value\":"
    "\"aGk=\",\"Ver\":4}],\"MorePages\":false,\"Ver\":5}",
    "",
};

static void
run_all_targets(const uint8_t *bytes, size_t size)
{
    fz_frames(bytes, size);
    fz_events(bytes, size);
    fz_edits(bytes, size);
    fz_config(bytes, size);
    fz_http(bytes, size);
    fz_platform(bytes, size);
    fz_stream(bytes, size);
    fz_order(bytes, size);
}

/* Applies one random change: overwrites a byte, truncates the input, repeats
   its end, or appends a character that delimits something in a format. */
static void
mutate(GRand *rand, GByteArray *bytes)
{
    guint at = bytes->len ? g_rand_int_range(rand, 0, bytes->len) : 0;
    switch (g_rand_int_range(rand, 0, 4)) {
    case 0:
        if (bytes->len) {
            bytes->data[at] = (guint8)g_rand_int(rand);
        }
        break;
    case 1:
        g_byte_array_set_size(bytes, at);
        break;
    case 2:
        if (bytes->len) {
            g_autofree guint8 *tail =
                g_memdup2(bytes->data + at, bytes->len - at);
            g_byte_array_append(bytes, tail, bytes->len - at);
        }
        break;
    default: {
        guint8 byte = (guint8) "\n\0[]{}\":=;"[g_rand_int_range(rand, 0, 10)];
        g_byte_array_append(bytes, &byte, 1);
        break;
    }
    }
}

/* Runs the targets on one input and on its mutations. */
static void
run_mutations(const uint8_t *bytes, size_t size)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(SEED);
    run_all_targets(bytes, size);
    for (uint32_t i = 0; i < MUTATIONS_PER_INPUT; i++) {
        g_autoptr(GByteArray) mutated = g_byte_array_new();
        g_byte_array_append(mutated, bytes, (guint)size);
        guint changes = (guint)g_rand_int_range(rand, 1, 6);
        for (guint change = 0; change < changes; change++) {
            mutate(rand, mutated);
        }
        run_all_targets(mutated->data ? mutated->data : (const guint8 *)"",
                        mutated->len);
    }
}

START_TEST(test_corpus)
{
    run_mutations((const uint8_t *)corpus[_i], strlen(corpus[_i]));
}
END_TEST

START_TEST(test_valid_frame)
{
    Lacewing__Hello hello = LACEWING__HELLO__INIT;
    hello.instance = "a";
    hello.zone = "z";
    Lacewing__Envelope envelope = LACEWING__ENVELOPE__INIT;
    envelope.body_case = LACEWING__ENVELOPE__BODY_HELLO;
    envelope.hello = &hello;
    g_autoptr(GByteArray) bytes = g_byte_array_new();
    fr_encode(&envelope, bytes);
    run_mutations(bytes->data, bytes->len);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("fuzz");
    TCase *tests = tcase_create("all");
    tcase_set_timeout(tests, 120);
    tcase_add_loop_test(tests, test_corpus, 0, G_N_ELEMENTS(corpus));
    tcase_add_test(tests, test_valid_frame);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
