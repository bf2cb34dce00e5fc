/*
 * lacewing: command line tool for operators. It writes and checks
 * configurations, calls the administration API of a daemon, and makes reports
 * of test runs. "lacewing --help" lists the commands and the exit codes.
 */
#include "command.h"

#include <locale.h>
#include <stdio.h>
#include <string.h>

static const struct {
    const char *name;
    tl_command_function run;
    const char *help;
} commands[] = {
#define TL_ROW(text, function, line)                                          \
    {.name = (text), .run = (function), .help = (line)},
    TL_COMMANDS(TL_ROW)
#undef TL_ROW
};

static void
_tl_print_help(FILE *out)
{
    fputs("Usage: lacewing COMMAND [--help]\n\nCommands:\n", out);
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        fprintf(out, "  %-20s %s\n", commands[i].name, commands[i].help);
    }
    fputs("\nExit codes:\n", out);
#define TL_ROW(code, number, meaning)                                         \
    fprintf(out, "  %-3d %s\n", number, meaning);
    TL_EXITS(TL_ROW)
#undef TL_ROW
}

int
main(int argc, char **argv)
{
    setlocale(LC_ALL, "");
    const char *name = argc > 1 ? argv[1] : "";
    if (strcmp(name, "--help") == 0 || strcmp(name, "help") == 0) {
        _tl_print_help(stdout);
        return TL_EXIT_OK;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, name) == 0) {
            g_autofree char *program = g_strdup_printf("lacewing %s", name);
            g_set_prgname(program);
            return (int)commands[i].run(argc - 1, argv + 1);
        }
    }
    _tl_print_help(stderr);
    return TL_EXIT_USAGE;
}
