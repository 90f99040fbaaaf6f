/*
 * The two lists in the platform: one row of the table, written by
 * compare-and-set, and a copy of each revision in the object store. An edit of
 * an older revision is merged with later ones. A write whose answer was lost is
 * repeated until it is known whether it took effect.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kwb.h"

#define LISTS_KEY "lists"
#define OBJECT_NAME_MAX_BYTES 64
#define APPLY_TRIES 10
#define RETRY_DELAY_NS (200 * KWB_MS_NS)

static int parse_text(
    struct kwb_buf *text, uint64_t revision, struct kwb_lists **lists);
static int apply_once(const struct kwb_platform *platform,
    const struct kwb_lists *ours, uint64_t *revision, struct kwb_buf *conflicts,
    struct kwb_faults *faults);
static int merge_with_current(const struct kwb_platform *platform,
    const struct kwb_lists *ours, const struct kwb_lists *current,
    struct kwb_lists **merged, struct kwb_buf *conflicts);
static int lists_write(const struct kwb_platform *platform,
    const struct kwb_lists *lists, uint64_t expected, uint64_t *revision);
static void save_history(const struct kwb_platform *platform, uint64_t revision,
    const struct kwb_buf *text);

int
kwb_lists_fetch(const struct kwb_platform *platform, struct kwb_lists **lists)
{
	struct kwb_buf text;
	uint64_t revision = 0;
	int error;

	kwb_buf_init(&text);
	error = kwb_lists_read(platform, 0, &text, &revision);
	if (error == KWB_ERR_PLATFORM_MISSING) {
		kwb_buf_printf(&text, "revision: 0\n");
		error = 0;
	}
	if (error == 0)
		error = parse_text(&text, revision, lists);
	kwb_buf_finish(&text);
	return error;
}

int
kwb_lists_fetch_revision(const struct kwb_platform *platform, uint64_t revision,
    struct kwb_lists **lists)
{
	char name[OBJECT_NAME_MAX_BYTES];
	struct kwb_buf text;
	int error;

	kwb_buf_init(&text);
	if (revision == 0) {
		kwb_buf_printf(&text, "revision: 0\n");
		error = 0;
	} else {
		snprintf(name, sizeof(name), "lists/%" PRIu64, revision);
		error = kwb_object_get(platform, name, &text);
	}
	if (error == 0)
		error = parse_text(&text, revision, lists);
	kwb_buf_finish(&text);
	return error;
}

/* ours->revision is the revision that was edited. */
int
kwb_lists_apply(const struct kwb_platform *platform,
    const struct kwb_lists *ours, uint64_t *revision, struct kwb_buf *conflicts,
    struct kwb_faults *faults)
{
	int tries, error = 0;

	for (tries = 0; tries < APPLY_TRIES; tries++) {
		error = apply_once(platform, ours, revision, conflicts, faults);
		if (error != KWB_ERR_PLATFORM_UNREACHABLE &&
		    error != KWB_ERR_PLATFORM_CONFLICT)
			break;
		kwb_clock_sleep_ns(RETRY_DELAY_NS);
	}
	return error;
}

static int
apply_once(const struct kwb_platform *platform, const struct kwb_lists *ours,
    uint64_t *revision, struct kwb_buf *conflicts, struct kwb_faults *faults)
{
	struct kwb_lists *current = NULL, *merged = NULL;
	struct kwb_buf diff;
	int error;

	error = kwb_lists_fetch(platform, &current);
	if (error != 0)
		return error;
	kwb_buf_init(&diff);
	conflicts->used_bytes = 0;
	faults->count = 0;
	error = merge_with_current(platform, ours, current, &merged, conflicts);
	if (error == 0)
		error = kwb_lists_check(merged, NULL, 0, faults);
	if (error == 0 && kwb_lists_diff(current, merged, &diff) == 0)
		*revision = current->revision;
	else if (error == 0)
		error =
		    lists_write(platform, merged, current->revision, revision);
	kwb_buf_finish(&diff);
	kwb_lists_free(merged);
	kwb_lists_free(current);
	return error;
}

static int
merge_with_current(const struct kwb_platform *platform,
    const struct kwb_lists *ours, const struct kwb_lists *current,
    struct kwb_lists **merged, struct kwb_buf *conflicts)
{
	struct kwb_lists *base = NULL;
	int error;

	if (ours->revision == current->revision)
		return kwb_lists_merge(
		    merged, current, current, ours, conflicts);
	error = kwb_lists_fetch_revision(platform, ours->revision, &base);
	if (error == KWB_ERR_PLATFORM_MISSING) {
		kwb_buf_printf(conflicts,
		    "revision %" PRIu64 " is not in the history; get the "
		    "lists again and repeat the edit\n",
		    ours->revision);
		return KWB_ERR_LISTS_CONFLICT;
	}
	if (error == 0)
		error = kwb_lists_merge(merged, base, current, ours, conflicts);
	kwb_lists_free(base);
	return error;
}

static int
lists_write(const struct kwb_platform *platform, const struct kwb_lists *lists,
    uint64_t expected, uint64_t *revision)
{
	struct kwb_buf text, old;
	uint64_t old_revision;
	int error;

	kwb_buf_init(&text);
	kwb_buf_init(&old);
	/* An earlier writer may have died before it saved the history. */
	if (expected > 0 &&
	    kwb_lists_read(platform, 0, &old, &old_revision) == 0 &&
	    old_revision == expected)
		save_history(platform, expected, &old);
	error = kwb_lists_print(lists, &text);
	if (error == 0)
		error = kwb_table_put(platform, LISTS_KEY, text.data,
		    text.used_bytes, expected, revision);
	if (error == 0)
		save_history(platform, *revision, &text);
	kwb_buf_finish(&old);
	kwb_buf_finish(&text);
	return error;
}

/* If this fails, the next writer saves the copy. */
static void
save_history(const struct kwb_platform *platform, uint64_t revision,
    const struct kwb_buf *text)
{
	char name[OBJECT_NAME_MAX_BYTES];

	snprintf(name, sizeof(name), "lists/%" PRIu64, revision);
	kwb_object_put(platform, name, text->data, text->used_bytes);
}

static int
parse_text(struct kwb_buf *text, uint64_t revision, struct kwb_lists **lists)
{
	struct kwb_lists_source source = {"platform", kwb_buf_text(text)};
	struct kwb_faults faults = {0};
	int error = kwb_lists_parse(lists, &source, &faults);

	if (error == 0) {
		(*lists)->revision = revision;
		return 0;
	}
	kwb_lists_free(*lists);
	*lists = NULL;
	return error;
}
