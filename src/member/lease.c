/*
 * Leases with fencing tokens, one row of the table each: "holder incarnation
 * token renewals". Clocks of machines are never compared: another process takes
 * a lease only after it has itself seen the row unchanged for a whole lease
 * time. A holder that was paused for longer notices at its next renewal; until
 * then agents refuse its orders, because their token is too low.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "kwb.h"

#define ROW_MAX_BYTES 256
#define NO_HOLDER "-"

struct lease_row {
	char holder[KWB_NAME_MAX_BYTES];
	uint64_t incarnation;
	uint64_t token;
	uint64_t renewals;
};

static int row_read(const struct kwb_platform *platform, const char *name,
    struct lease_row *row, uint64_t *revision);
static int row_write(struct kwb_lease *lease,
    const struct kwb_platform *platform, const char *holder, uint64_t token,
    uint64_t expected);
static bool row_is_ours(
    const struct kwb_lease *lease, const struct lease_row *row);
static bool row_is_free(struct kwb_lease *lease, const struct lease_row *row,
    uint64_t revision, uint64_t now_ns);

void
kwb_lease_init(struct kwb_lease *lease, const char *name, const char *holder,
    uint64_t incarnation)
{
	memset(lease, 0, sizeof(*lease));
	kwb_text_copy(lease->name, sizeof(lease->name), name);
	kwb_text_copy(lease->holder, sizeof(lease->holder), holder);
	lease->incarnation = incarnation;
}

int
kwb_lease_acquire(struct kwb_lease *lease, const struct kwb_platform *platform)
{
	uint64_t started_ns = kwb_clock_now_ns();
	uint64_t revision = 0, token;
	struct lease_row row;
	int error;

	error = row_read(platform, lease->name, &row, &revision);
	if (error == KWB_ERR_PLATFORM_MISSING) {
		token = 1;
	} else if (error != 0) {
		return error;
	} else if (row_is_ours(lease, &row)) {
		token = row.token;
	} else if (row_is_free(lease, &row, revision, started_ns)) {
		token = row.token + 1;
	} else {
		return KWB_ERR_PLATFORM_CONFLICT;
	}
	error = row_write(lease, platform, lease->holder, token, revision);
	if (error != 0)
		return error;
	lease->fencing_token = token;
	return 0;
}

void
kwb_lease_release(struct kwb_lease *lease, const struct kwb_platform *platform)
{
	uint64_t revision = 0;
	struct lease_row row;

	if (row_read(platform, lease->name, &row, &revision) != 0)
		return;
	if (row_is_ours(lease, &row))
		row_write(lease, platform, NO_HOLDER, row.token, revision);
}

int
kwb_lease_read_token(const struct kwb_platform *platform, const char *name,
    uint64_t *fencing_token)
{
	uint64_t revision;
	struct lease_row row;
	int error = row_read(platform, name, &row, &revision);

	*fencing_token = error == 0 ? row.token : 0;
	return error == KWB_ERR_PLATFORM_MISSING ? 0 : error;
}

static int
row_read(const struct kwb_platform *platform, const char *name,
    struct lease_row *row, uint64_t *revision)
{
	struct kwb_buf value;
	int error;

	memset(row, 0, sizeof(*row));
	kwb_buf_init(&value);
	error = kwb_table_get(platform, name, &value, revision);
	if (error == 0 &&
	    sscanf(kwb_buf_text(&value),
		"%63s %" SCNu64 " %" SCNu64 " %" SCNu64, row->holder,
		&row->incarnation, &row->token, &row->renewals) != 4)
		error = KWB_ERR_PLATFORM_UNREACHABLE;
	kwb_buf_finish(&value);
	return error;
}

static int
row_write(struct kwb_lease *lease, const struct kwb_platform *platform,
    const char *holder, uint64_t token, uint64_t expected)
{
	char value[ROW_MAX_BYTES];
	uint64_t revision;
	int length;

	/*
	 * The counter makes each value distinct, so that a write whose answer
	 * was lost is recognized when the row is read back.
	 */
	lease->renewals++;
	length = snprintf(value, sizeof(value),
	    "%s %" PRIu64 " %" PRIu64 " %" PRIu64, holder, lease->incarnation,
	    token, lease->renewals);
	return kwb_table_put(
	    platform, lease->name, value, (size_t)length, expected, &revision);
}

static bool
row_is_ours(const struct kwb_lease *lease, const struct lease_row *row)
{
	return strcmp(row->holder, lease->holder) == 0 &&
	    row->incarnation == lease->incarnation;
}

/* Also notes when the row was first seen at this revision. */
static bool
row_is_free(struct kwb_lease *lease, const struct lease_row *row,
    uint64_t revision, uint64_t now_ns)
{
	if (strcmp(row->holder, NO_HOLDER) == 0)
		return true;
	if (revision != lease->seen_revision) {
		lease->seen_revision = revision;
		lease->seen_deadline_ns = now_ns + KWB_LEASE_MS * KWB_MS_NS;
		return false;
	}
	return now_ns >= lease->seen_deadline_ns;
}
