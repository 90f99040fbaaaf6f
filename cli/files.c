/*
 * kwbctl: the subcommands that read and change lists, all but status.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../src/core/yaml.h"
#include "ctl.h"

#define HISTORY_DEFAULT 10 /* revisions */

static int lists_move_missing(struct kwb_lists *to, struct kwb_lists *from);
static void lists_copy_missing(
    struct kwb_lists *to, const struct kwb_lists *from);
static int print_edited(
    const struct kwb_lists *lists, struct ctl *ctl, struct kwb_buf *text);
static bool replace_field(struct kwb_buf *text, const char *list,
    const char *name, const char *assignment);

int
ctl_get(struct ctl *ctl)
{
	const char *part = ctl->arguments_count ? ctl->arguments[0] : "";
	struct kwb_lists *lists = NULL, selected;
	struct kwb_buf text;
	int error = kwb_lists_fetch(&ctl->platform, &lists);

	if (error != 0)
		return ctl_print_error(error, "get");
	selected = *lists;
	if (strcmp(part, "plans") == 0)
		selected.allowances_count = 0;
	if (strcmp(part, "allowances") == 0)
		selected.plans_count = 0;
	kwb_buf_init(&text);
	kwb_lists_print(&selected, &text);
	fputs(kwb_buf_text(&text), stdout);
	kwb_buf_finish(&text);
	kwb_lists_free(lists);
	return EXIT_DONE;
}

int
ctl_check(struct ctl *ctl)
{
	struct kwb_faults faults = {0};
	struct kwb_lists *lists = NULL;
	struct ctl_files files;
	int code = EXIT_DONE;

	if (ctl->arguments_count == 0)
		return EXIT_USAGE;
	ctl_files_load(ctl, &files, &lists, &faults);
	if (lists != NULL)
		kwb_lists_check(lists, files.sources, files.count, &faults);
	if (faults.count > 0) {
		ctl_faults_print(ctl, &faults);
		code = EXIT_INVALID;
	}
	kwb_lists_free(lists);
	ctl_files_finish(&files);
	return code;
}

int
ctl_diff(struct ctl *ctl)
{
	struct kwb_faults faults = {0};
	struct kwb_lists *lists = NULL, *current = NULL;
	struct ctl_files files;
	struct kwb_buf text;
	int code = EXIT_INVALID, error;

	if (ctl->arguments_count == 0)
		return EXIT_USAGE;
	kwb_buf_init(&text);
	error = kwb_lists_fetch(&ctl->platform, &current);
	if (error != 0)
		return ctl_print_error(error, "diff");
	if (ctl_files_load(ctl, &files, &lists, &faults) == 0) {
		lists_copy_missing(lists, current);
		code = kwb_lists_diff(current, lists, &text) ? EXIT_DIFFERS
							     : EXIT_DONE;
		fputs(kwb_buf_text(&text), stdout);
	}
	ctl_faults_print(ctl, &faults);
	kwb_buf_finish(&text);
	kwb_lists_free(lists);
	kwb_lists_free(current);
	ctl_files_finish(&files);
	return code;
}

int
ctl_apply(struct ctl *ctl)
{
	struct kwb_faults faults = {0};
	struct kwb_lists *lists = NULL, *current = NULL;
	struct ctl_files files;
	int code = EXIT_INVALID, error;

	if (ctl->arguments_count == 0)
		return EXIT_USAGE;
	error = kwb_lists_fetch(&ctl->platform, &current);
	if (error != 0)
		return ctl_print_error(error, "apply");
	ctl_files_load(ctl, &files, &lists, &faults);
	if (lists != NULL) {
		/* Without a revision, it was edited from the current one. */
		if (lists->revision == 0)
			lists->revision = current->revision;
		lists_copy_missing(lists, current);
		kwb_lists_check(lists, files.sources, files.count, &faults);
	}
	if (lists != NULL && faults.count == 0)
		code = ctl_publish(ctl, lists);
	ctl_faults_print(ctl, &faults);
	kwb_lists_free(current);
	kwb_lists_free(lists);
	ctl_files_finish(&files);
	return code;
}

/* Prints a conflict with another edit, if there is one. */
int
ctl_publish(struct ctl *ctl, const struct kwb_lists *ours)
{
	struct kwb_faults faults = {0};
	struct kwb_buf conflicts;
	uint64_t revision = 0;
	int error, code;

	kwb_buf_init(&conflicts);
	error = kwb_lists_apply(
	    &ctl->platform, ours, &revision, &conflicts, &faults);
	if (error != 0) {
		ctl_faults_print(ctl, &faults);
		fputs(kwb_buf_text(&conflicts), stderr);
		code = ctl_print_error(error, "not applied");
	} else {
		code = ctl_wait_in_force(ctl, revision);
	}
	kwb_buf_finish(&conflicts);
	return code;
}

int
ctl_edit(struct ctl *ctl)
{
	struct kwb_faults faults = {0};
	struct kwb_lists *lists = NULL, *edited = NULL;
	struct kwb_buf text;
	struct kwb_lists_source source = {"edit", NULL};
	int code, error;

	if (ctl->arguments_count < 3)
		return EXIT_USAGE;
	error = kwb_lists_fetch(&ctl->platform, &lists);
	if (error != 0)
		return ctl_print_error(error, "edit");
	kwb_buf_init(&text);
	code = print_edited(lists, ctl, &text);
	source.text = kwb_buf_text(&text);
	if (code == EXIT_DONE &&
	    (kwb_lists_parse(&edited, &source, &faults) != 0 ||
		kwb_lists_check(edited, &source, 1, &faults) != 0)) {
		ctl_faults_print(ctl, &faults);
		code = EXIT_INVALID;
	}
	if (code == EXIT_DONE)
		code = ctl_publish(ctl, edited);
	kwb_lists_free(edited);
	kwb_lists_free(lists);
	kwb_buf_finish(&text);
	return code;
}

int
ctl_history(struct ctl *ctl)
{
	uint64_t count = ctl->arguments_count
	    ? strtoull(ctl->arguments[0], NULL, 10)
	    : HISTORY_DEFAULT;
	struct kwb_lists *current = NULL, *old, *older;
	struct kwb_buf text;
	uint64_t revision;
	int error = kwb_lists_fetch(&ctl->platform, &current);

	if (error != 0)
		return ctl_print_error(error, "history");
	kwb_buf_init(&text);
	for (revision = current->revision; revision > 0 && count > 0;
	     revision--, count--) {
		old = older = NULL;
		text.used_bytes = 0;
		if (kwb_lists_fetch_revision(&ctl->platform, revision, &old) ==
			0 &&
		    kwb_lists_fetch_revision(
			&ctl->platform, revision - 1, &older) == 0)
			kwb_lists_diff(older, old, &text);
		printf("revision %" PRIu64 "\n%s", revision,
		    old ? kwb_buf_text(&text) : "not in the object store\n");
		kwb_lists_free(old);
		kwb_lists_free(older);
	}
	kwb_buf_finish(&text);
	kwb_lists_free(current);
	return EXIT_DONE;
}

/* Plans and allowances may each come from one file only. */
int
ctl_files_load(struct ctl *ctl, struct ctl_files *files,
    struct kwb_lists **lists, struct kwb_faults *faults)
{
	struct kwb_lists *parsed;
	int i;

	memset(files, 0, sizeof(*files));
	*lists = NULL;
	for (i = 0; i < ctl->arguments_count && i < FILES_MAX; i++) {
		struct kwb_buf *text = &files->texts[files->count];
		struct kwb_lists_source *source =
		    &files->sources[files->count++];

		kwb_buf_init(text);
		source->file = ctl->arguments[i];
		if (kwb_file_read(source->file, text) != 0)
			kwb_faults_add(
			    faults, "%s: cannot be read", source->file);
		source->text = kwb_buf_text(text);
		kwb_lists_parse(&parsed, source, faults);
		if (parsed == NULL)
			continue;
		if (*lists == NULL) {
			*lists = parsed;
			continue;
		}
		if (lists_move_missing(*lists, parsed) != 0)
			kwb_faults_add(faults,
			    "%s: another file already has plans or allowances",
			    source->file);
	}
	return faults->count == 0 && *lists != NULL ? 0 : KWB_ERR_LISTS_INVALID;
}

void
ctl_files_finish(struct ctl_files *files)
{
	unsigned i;

	for (i = 0; i < files->count; i++)
		kwb_buf_finish(&files->texts[i]);
}

void
ctl_faults_print(const struct ctl *ctl, const struct kwb_faults *faults)
{
	unsigned i;

	(void)ctl;
	for (i = 0; i < faults->count; i++)
		fprintf(stderr, "%s\n", faults->text[i]);
}

/*
 * Moves a list that is empty in to from the other lists, which are then freed.
 * KWB_ERR_LISTS_INVALID if both sides have entries in a list.
 */
static int
lists_move_missing(struct kwb_lists *to, struct kwb_lists *from)
{
	int error = 0;

	if (from->revision > to->revision)
		to->revision = from->revision;
	if (from->plans_count > 0 && to->plans_count > 0)
		error = KWB_ERR_LISTS_INVALID;
	if (from->allowances_count > 0 && to->allowances_count > 0)
		error = KWB_ERR_LISTS_INVALID;
	if (to->plans_count == 0) {
		to->plans = from->plans;
		to->plans_count = from->plans_count;
		from->plans = NULL;
		from->plans_count = 0;
	}
	if (to->allowances_count == 0) {
		to->allowances = from->allowances;
		to->allowances_count = from->allowances_count;
		from->allowances = NULL;
		from->allowances_count = 0;
	}
	kwb_lists_free(from);
	return error;
}

/* A list that is in no file is taken from the current lists. */
static void
lists_copy_missing(struct kwb_lists *to, const struct kwb_lists *from)
{
	struct kwb_lists missing = *from;
	struct kwb_lists empty = {0}, *copy = NULL;
	struct kwb_buf ignored;

	if (to->plans_count > 0)
		missing.plans_count = 0;
	if (to->allowances_count > 0)
		missing.allowances_count = 0;
	missing.revision = 0;
	kwb_buf_init(&ignored);
	if (kwb_lists_merge(&copy, &empty, &missing, &missing, &ignored) == 0)
		lists_move_missing(to, copy);
	kwb_buf_finish(&ignored);
}

/* Prints the lists as YAML with the edits that the arguments name. */
static int
print_edited(
    const struct kwb_lists *lists, struct ctl *ctl, struct kwb_buf *text)
{
	bool is_plan = strcmp(ctl->arguments[0], "plan") == 0;
	int i;

	if (!is_plan && strcmp(ctl->arguments[0], "allowance") != 0)
		return EXIT_USAGE;
	if (kwb_lists_print(lists, text) != 0)
		return EXIT_INVALID;
	for (i = 2; i < ctl->arguments_count; i++) {
		if (replace_field(text, is_plan ? "plans" : "allowances",
			ctl->arguments[1], ctl->arguments[i]))
			continue;
		fprintf(stderr, "kwbctl: no such entry or field: %s %s %s\n",
		    ctl->arguments[0], ctl->arguments[1], ctl->arguments[i]);
		return EXIT_INVALID;
	}
	return EXIT_DONE;
}

/*
 * Replaces a field in printed lists by an assignment FIELD=VALUE. Relies on
 * kwb_lists_print: one field on each line, the name of an entry first.
 */
static bool
replace_field(struct kwb_buf *text, const char *list, const char *name,
    const char *assignment)
{
	size_t field_length = strcspn(assignment, "=");
	struct kwb_buf out;
	const char *line, *next;
	bool is_in_list = false, is_in_entry = false, is_replaced = false;

	kwb_buf_init(&out);
	for (line = text->data; *line != '\0'; line = next) {
		size_t indent = strspn(line, " -");
		const char *word = line + indent;
		const char *value = word + strcspn(word, ":\n");

		next = line + strcspn(line, "\n");
		next += *next == '\n';
		if (indent == 0)
			is_in_list = strncmp(word, list, strlen(list)) == 0;
		if (strncmp(line, "- ", 2) == 0)
			is_in_entry = is_in_list &&
			    strncmp(value + 2, name, strlen(name)) == 0 &&
			    value[2 + strlen(name)] == '\n';
		if (is_in_entry && !is_replaced &&
		    assignment[field_length] == '=' &&
		    (size_t)(value - word) == field_length &&
		    strncmp(word, assignment, field_length) == 0) {
			kwb_buf_add(&out, line, indent + field_length);
			kwb_buf_printf(
			    &out, ": %s\n", assignment + field_length + 1);
			is_replaced = true;
			continue;
		}
		kwb_buf_add(&out, line, (size_t)(next - line));
	}
	kwb_buf_finish(text);
	*text = out;
	return is_replaced;
}
