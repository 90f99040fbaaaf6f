/*
 * Completion of a program's commands and options in bash.
 */
#include "kwb.h"

void
kwb_completion_print(FILE *out, const char *program,
    const struct option *options, const char *const *words)
{
	fprintf(out, "complete -o default -W \"");
	for (; options->name != NULL; options++)
		fprintf(out, "--%s ", options->name);
	for (; *words != NULL; words++)
		fprintf(out, "%s%s", *words, words[1] != NULL ? " " : "");
	fprintf(out, "\" %s\n", program);
}
