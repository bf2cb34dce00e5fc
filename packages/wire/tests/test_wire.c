/* Tests of the frame decoder: input in pieces of any size, truncation,
   corruption and the size limit. */
#include "lacewing/frame.h"
#include <check.h>
#include <stdlib.h>

static void
encode_cancel(GByteArray *out, uint64_t request)
{
    Lacewing__Cancel cancel = LACEWING__CANCEL__INIT;
    cancel.request = request;
    Lacewing__Envelope envelope = LACEWING__ENVELOPE__INIT;
    envelope.body_case = LACEWING__ENVELOPE__BODY_CANCEL;
    envelope.cancel = &cancel;
    fr_encode(&envelope, out);
}

START_TEST(test_frames_in_any_pieces)
{
    g_autoptr(GByteArray) bytes = g_byte_array_new();
    for (uint64_t i = 1; i <= 100; i++) {
        encode_cancel(bytes, i);
    }
    for (size_t piece = 1; piece < 40; piece++) {
        g_autoptr(fr_decoder) decoder = fr_create(&(fr_desc){0});
        uint64_t seen = 0;
        for (size_t offset = 0; offset < bytes->len; offset += piece) {
            fr_push(decoder, bytes->data + offset,
                    MIN(piece, bytes->len - offset));
            Lacewing__Envelope *envelope = NULL;
            while (fr_next(decoder, &envelope, NULL) == ER_OK && envelope) {
                ck_assert_uint_eq(envelope->cancel->request, ++seen);
                lacewing__envelope__free_unpacked(envelope, NULL);
            }
        }
        ck_assert_uint_eq(seen, 100);
        ck_assert_int_eq(fr_query_end(decoder, NULL), ER_OK);
    }
}
END_TEST

START_TEST(test_each_flipped_bit_is_refused)
{
    g_autoptr(GByteArray) bytes = g_byte_array_new();
    encode_cancel(bytes, 77);
    for (size_t bit = 0; bit < (size_t)bytes->len * 8; bit++) {
        g_autoptr(fr_decoder) decoder = fr_create(&(fr_desc){0});
        bytes->data[bit / 8] ^= (uint8_t)(1u << (bit % 8));
        fr_push(decoder, bytes->data, bytes->len);
        Lacewing__Envelope *envelope = NULL;
        er_code code = fr_next(decoder, &envelope, NULL);
        bool incomplete = fr_query_end(decoder, NULL) != ER_OK;
        ck_assert_ptr_null(envelope);
        ck_assert(code != ER_OK || incomplete);
        bytes->data[bit / 8] ^= (uint8_t)(1u << (bit % 8));
    }
}
END_TEST

START_TEST(test_truncated_frame_is_reported)
{
    g_autoptr(GByteArray) bytes = g_byte_array_new();
    encode_cancel(bytes, 77);
    for (size_t size = 1; size < bytes->len; size++) {
        g_autoptr(fr_decoder) decoder = fr_create(&(fr_desc){0});
        fr_push(decoder, bytes->data, size);
        Lacewing__Envelope *envelope = NULL;
        ck_assert_int_eq(fr_next(decoder, &envelope, NULL), ER_OK);
        ck_assert_ptr_null(envelope);
        ck_assert_int_eq(fr_query_end(decoder, NULL), ER_FRAME_TRUNCATED);
    }
}
END_TEST

START_TEST(test_length_over_limit_is_refused_before_its_payload)
{
    static const uint8_t header[FR_HEADER_BYTES] = {0x7f, 0xff, 0xff, 0xff};
    g_autoptr(fr_decoder) decoder = fr_create(&(fr_desc){0});
    fr_push(decoder, header, sizeof(header));
    Lacewing__Envelope *envelope = NULL;
    ck_assert_int_eq(fr_next(decoder, &envelope, NULL), ER_FRAME_TOO_LARGE);
    ck_assert_int_eq(fr_next(decoder, &envelope, NULL), ER_FRAME_TOO_LARGE);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("wire");
    TCase *tests = tcase_create("all");
    tcase_add_test(tests, test_frames_in_any_pieces);
    tcase_add_test(tests, test_each_flipped_bit_is_refused);
    tcase_add_test(tests, test_truncated_frame_is_reported);
    tcase_add_test(tests,
                   test_length_over_limit_is_refused_before_its_payload);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
