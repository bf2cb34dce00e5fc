/* lacewing questionnaire: generates a configuration from answers. */
#include "command.h"

#include "lacewing/questionnaire.h"
#include <stdio.h>

static char *answers_file = NULL;
static char *output_file = NULL;
static char *save_file = NULL;
static gboolean reference = FALSE;

static const GOptionEntry options[] = {
    {"answers", 'a', 0, G_OPTION_ARG_FILENAME, &answers_file,
     "Read the answers from FILE; default: ask for them", "FILE"},
    {"output", 'o', 0, G_OPTION_ARG_FILENAME, &output_file,
     "Write the configuration to FILE; default: standard output", "FILE"},
    {"save-answers", 0, 0, G_OPTION_ARG_FILENAME, &save_file,
     "Save the answers to FILE", "FILE"},
    {"questions", 0, 0, G_OPTION_ARG_NONE, &reference,
     "Print the reference of the questions and exit", NULL},
    {NULL},
};

static er_code
_tl_read_answers(GKeyFile *answers, er_status *status)
{
    if (!answers_file) {
        return qn_interview(stdin, stderr, answers, status);
    }
    g_autoptr(GError) error = NULL;
    if (!g_key_file_load_from_file(answers, answers_file, G_KEY_FILE_NONE,
                                   &error)) {
        return er_set(status, ER_FILE, "%s: %s", answers_file, error->message);
    }
    return ER_OK;
}

static tl_exit
_tl_save_answers(GKeyFile *answers)
{
    if (!save_file) {
        return TL_EXIT_OK;
    }
    g_autofree char *text = g_key_file_to_data(answers, NULL, NULL);
    return tl_write_output(save_file, text);
}

tl_exit
tl_run_questionnaire(int argc, char **argv)
{
    if (!tl_parse_options(options, NULL,
                          "Generates a configuration from answers.", &argc,
                          &argv)) {
        return TL_EXIT_USAGE;
    }
    if (reference) {
        g_autofree char *page = qn_query_reference();
        return tl_write_output(output_file, page);
    }
    g_autoptr(GKeyFile) answers = g_key_file_new();
    er_status status = {0};
    if (_tl_read_answers(answers, &status) != ER_OK) {
        return tl_fail(&status);
    }
    tl_exit saved = _tl_save_answers(answers);
    if (saved != TL_EXIT_OK) {
        return saved;
    }
    g_autofree char *text = NULL;
    qn_problem problem = {0};
    er_code code = qn_generate(answers, answers_file ? answers_file : "input",
                               &text, &problem);
    if (code != ER_OK) {
        fprintf(stderr, "lacewing: %s: %s: %s\n",
                qn_query_problem_name(problem.code), problem.question,
                problem.message);
        qn_problem_clear(&problem);
        return TL_EXIT_REFUSED;
    }
    return tl_write_output(output_file, text);
}
