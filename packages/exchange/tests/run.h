/* run.h: runs one Check test case as the main() of a test program. */
#ifndef LACEWING_TESTS_RUN_H
#define LACEWING_TESTS_RUN_H

#include <check.h>
#include <stdlib.h>

/* Returns the exit status for main(). */
static int
run_case(const char *name, TCase *tcase)
{
    Suite *suite = suite_create(name);
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif
