/*
 * Reads plans and allowances from a file, checks them and prints how many
 * requests a plan may run.
 *
 *   lists FILE PLAN      the file holds both lists
 */
#include <stdio.h>

#include "../src/core/yaml.h"

int
main(int argc, char **argv)
{
	const struct kwb_allowance *allowance;
	struct kwb_faults faults = {0};
	struct kwb_lists *lists = NULL;
	struct kwb_lists_source source;
	struct kwb_buf text;
	unsigned i;

	if (argc != 3)
		return 2;
	kwb_buf_init(&text);
	kwb_file_read(argv[1], &text);
	source.file = argv[1];
	source.text = kwb_buf_text(&text);
	kwb_lists_parse(&lists, &source, &faults);
	if (lists != NULL)
		kwb_lists_check(lists, &source, 1, &faults);
	for (i = 0; i < faults.count; i++)
		fprintf(stderr, "%s\n", faults.text[i]);
	allowance = kwb_lists_find_allowance(lists, argv[2]);
	if (allowance != NULL)
		printf("%s may run %u requests at once\n", allowance->plan,
		    allowance->concurrent);
	kwb_lists_free(lists);
	kwb_buf_finish(&text);
	return faults.count > 0 || allowance == NULL;
}
