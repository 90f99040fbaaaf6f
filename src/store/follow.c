/*
 * Follows a table: reads all of its rows, page by page, then waits for changes
 * in its feed. When the store no longer has the history from the last known
 * revision on, the whole table is read again, and rows that are missing from it
 * are reported as deleted.
 */
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "kwb_node.h"

static void follower_fetch(struct kwb_follower *follower);

static struct kwb_follower_row *
row_new(struct kwb_follower *follower, const char *key)
{
	uint32_t capacity =
	    follower->rows_capacity ? follower->rows_capacity * 2 : 16;
	struct kwb_follower_row **rows;
	struct kwb_follower_row *row;

	if (follower->rows_count == follower->rows_capacity) {
		rows = realloc(follower->rows,
		    capacity * sizeof(struct kwb_follower_row *));
		if (rows == NULL)
			return NULL;
		follower->rows = rows;
		follower->rows_capacity = capacity;
	}
	row = calloc(1, sizeof(*row));
	if (row == NULL)
		return NULL;
	row->key = strdup(key);
	if (row->key == NULL ||
	    kwb_index_put(&follower->index, row->key, row) != 0) {
		free(row->key);
		free(row);
		return NULL;
	}
	row->row_index = follower->rows_count;
	follower->rows[follower->rows_count++] = row;
	return row;
}

static void
row_remove(struct kwb_follower *follower, struct kwb_follower_row *known)
{
	struct kwb_follower_row *last = follower->rows[--follower->rows_count];

	kwb_index_remove(&follower->index, known->key);
	last->row_index = known->row_index;
	follower->rows[last->row_index] = last;
	free(known->key);
	free(known);
}

static void
row_apply(struct kwb_follower *follower, const struct kwb_row *row)
{
	struct kwb_follower_row *known =
	    kwb_index_get(&follower->index, row->key);

	if (known != NULL && row->revision < known->revision)
		return;
	if (known != NULL)
		known->seen = true;
	if (row->deleted) {
		if (known == NULL)
			return;
		row_remove(follower, known);
		follower->on_row(follower->context, row);
		return;
	}
	if (known != NULL && known->revision == row->revision)
		return;
	if (known == NULL)
		known = row_new(follower, row->key);
	if (known == NULL) {
		kwb_log(KWB_LOG_ERROR, "follow",
		    "event=row_lost table=%s error=out_of_memory",
		    follower->table);
		return;
	}
	known->seen = true;
	known->revision = row->revision;
	follower->on_row(follower->context, row);
}

static void
rows_remove_unseen(struct kwb_follower *follower)
{
	struct kwb_row deleted_row = {.deleted = true};
	uint32_t i = 0;

	while (i < follower->rows_count) {
		if (follower->rows[i]->seen) {
			follower->rows[i++]->seen = false;
			continue;
		}
		deleted_row.key = follower->rows[i]->key;
		deleted_row.revision = follower->read_revision;
		follower->on_row(follower->context, &deleted_row);
		row_remove(follower, follower->rows[i]);
	}
}

static void
page_apply(struct kwb_follower *follower, const struct kwb_store_answer *answer)
{
	uint32_t i;

	if (follower->next_key == NULL)
		follower->read_revision = answer->revision;
	for (i = 0; i < answer->rows_count; i++)
		row_apply(follower, &answer->rows[i]);
	free(follower->next_key);
	follower->next_key = NULL;
	if (answer->more && answer->rows_count > 0) {
		follower->next_key = malloc(
		    strlen(answer->rows[answer->rows_count - 1].key) + 2);
		if (follower->next_key == NULL)
			return;
		/* The lowest key after the last one of this page. */
		strcpy(follower->next_key,
		    answer->rows[answer->rows_count - 1].key);
		strcat(follower->next_key, "\x01");
		return;
	}
	rows_remove_unseen(follower);
	follower->revision = follower->read_revision;
	follower->reading = false;
	follower->synced = true;
	if (follower->on_synced != NULL)
		follower->on_synced(follower->context);
}

static void
feed_apply(struct kwb_follower *follower, const struct kwb_store_answer *answer)
{
	uint32_t i;

	for (i = 0; i < answer->rows_count; i++)
		if (answer->rows[i].part[0] == '\0')
			row_apply(follower, &answer->rows[i]);
	if (answer->revision > follower->revision)
		follower->revision = answer->revision;
}

static void
read_restart(struct kwb_follower *follower)
{
	uint32_t i;

	free(follower->next_key);
	follower->next_key = NULL;
	follower->reading = true;
	for (i = 0; i < follower->rows_count; i++)
		follower->rows[i]->seen = false;
}

/* Notes up to when all changes are known; the answer has been applied. */
static void
proof_update(
    struct kwb_follower *follower, const struct kwb_store_answer *answer)
{
	struct kwb_proof_input input = {.sent_ns = follower->sent_ns,
	    .answered_ns = kwb_boot_now_ns(),
	    .is_partial = follower->reading || answer->more};
	uint64_t proof_ns = kwb_access_proof_ns(&input);

	if (proof_ns > follower->proof_ns)
		follower->proof_ns = proof_ns;
}

static void
follower_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_follower *follower = call->context;
	uint64_t delay_ns = KWB_STORE_RETRY_NS;

	if (answer->error == 0) {
		follower->failures = 0;
		follower->last_success_ns = kwb_clock_now_ns();
		if (follower->reading)
			page_apply(follower, answer);
		else
			feed_apply(follower, answer);
		proof_update(follower, answer);
		follower_fetch(follower);
		if (follower->on_proof != NULL)
			follower->on_proof(follower->context);
		return;
	}
	if (answer->error == KWB_ERR_STORE_HISTORY_GONE) {
		kwb_log(KWB_LOG_INFO, "follow",
		    "event=read_again table=%s revision=%llu reason=%s",
		    follower->table, (unsigned long long)follower->revision,
		    kwb_error_name(answer->error));
		read_restart(follower);
		follower_fetch(follower);
		return;
	}
	/*
	 * From the second failure on, retries come half as often. A whole read
	 * starts over: entries of earlier pages may have expired by now.
	 */
	if (follower->failures++ > 0)
		delay_ns *= 2;
	if (follower->reading)
		read_restart(follower);
	kwb_timer_arm(follower->timer, kwb_clock_now_ns() + delay_ns);
}

static void
fetch(struct kwb_follower *follower, uint32_t wait_ms)
{
	struct kwb_range range = {
	    .table = follower->table, .part = "", .from = follower->next_key};
	int code;

	follower->started_ns = kwb_clock_now_ns();
	follower->asked_ms = wait_ms;
	if (!follower->reading || follower->next_key == NULL)
		follower->sent_ns = kwb_boot_now_ns();
	if (follower->reading)
		code = follower->store->ops->range(
		    follower->store, &range, &follower->call);
	else
		code =
		    follower->store->ops->feed(follower->store, follower->table,
			follower->revision, wait_ms, &follower->call);
	if (code != 0)
		kwb_timer_arm(
		    follower->timer, kwb_clock_now_ns() + KWB_STORE_RETRY_NS);
}

static void
follower_fetch(struct kwb_follower *follower)
{
	bool is_late = follower->is_proof_kept && follower->failures > 0;

	fetch(follower, is_late ? 0 : follower->wait_ms);
}

static void
follower_on_timer(int fd, short what, void *context)
{
	(void)fd;
	(void)what;
	follower_fetch(context);
}

int
kwb_follower_init(struct kwb_follower *follower, struct event_base *base,
    struct kwb_store *store, const char *table,
    void (*on_row)(void *context, const struct kwb_row *row),
    void (*on_synced)(void *context), void *context)
{
	memset(follower, 0, sizeof(*follower));
	follower->on_row = on_row;
	follower->on_synced = on_synced;
	follower->context = context;
	follower->store = store;
	follower->table = table;
	follower->call.on_done = follower_on_answer;
	follower->call.context = follower;
	follower->reading = true;
	follower->wait_ms = KWB_FEED_WAIT_MS;
	follower->timer = kwb_timer_new(base, follower_on_timer, follower);
	if (follower->timer == NULL)
		return KWB_ERR_MEMORY;
	follower_fetch(follower);
	return 0;
}

void
kwb_follower_finish(struct kwb_follower *follower)
{
	uint32_t i;

	kwb_store_cancel(follower->store, &follower->call);
	event_free(follower->timer);
	for (i = 0; i < follower->rows_count; i++) {
		free(follower->rows[i]->key);
		free(follower->rows[i]);
	}
	free(follower->rows);
	kwb_index_finish(&follower->index);
	free(follower->next_key);
}

void
kwb_follower_refresh(struct kwb_follower *follower, uint64_t min_wait_ns)
{
	uint64_t waited_ns = kwb_clock_now_ns() - follower->started_ns;

	if (follower->call.pending == NULL || waited_ns < min_wait_ns)
		return;
	kwb_log(KWB_LOG_INFO, "follow",
	    "event=refreshed table=%s revision=%llu waited_ms=%llu",
	    follower->table, (unsigned long long)follower->revision,
	    (unsigned long long)(waited_ns / KWB_MS_NS));
	kwb_store_cancel(follower->store, &follower->call);
	follower_fetch(follower);
}

void
kwb_follower_keep_proof(struct kwb_follower *follower, uint32_t wait_ms)
{
	follower->is_proof_kept = true;
	follower->wait_ms =
	    wait_ms < KWB_FEED_WAIT_MS ? wait_ms : KWB_FEED_WAIT_MS;
}

void
kwb_follower_ask(struct kwb_follower *follower)
{
	/* A whole read or a pause after a failure is under way. */
	if (follower->reading || follower->call.pending == NULL)
		return;
	kwb_store_cancel(follower->store, &follower->call);
	read_restart(follower);
	follower_fetch(follower);
}

bool
kwb_follower_is_current(const struct kwb_follower *follower, uint64_t age_ns)
{
	return follower->synced &&
	    kwb_clock_now_ns() - follower->last_success_ns <= age_ns;
}
