/*
 * The records of all batches, which every node follows in the store, and the
 * timer that starts and checks items of the batches that this node runs.
 */
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "batch.h"

struct kwb_batch_record *
kwb_batches_find_record(const struct kwb_batches *batches, const char *id)
{
	uint32_t i;

	for (i = batches->records_count; i > 0; i--)
		if (strcmp(batches->records[i - 1]->id, id) == 0)
			return batches->records[i - 1];
	return NULL;
}

const struct kwb_batch_record *
kwb_batches_newest_record(const struct kwb_batches *batches, const char *model)
{
	const struct kwb_batch_record *newest = NULL;
	uint32_t i;

	for (i = 0; i < batches->records_count; i++)
		if (strcmp(batches->records[i]->model, model) == 0 &&
		    (newest == NULL ||
			batches->records[i]->accepted_ms > newest->accepted_ms))
			newest = batches->records[i];
	return newest;
}

void
records_update(
    struct kwb_batches *batches, const struct kwb_batch_record *record)
{
	struct kwb_batch_record *existing =
	    kwb_batches_find_record(batches, record->id);
	uint32_t capacity =
	    batches->records_capacity ? batches->records_capacity * 2 : 16;
	struct kwb_batch_record **records;
	struct kwb_batch_record copy;

	if (existing != NULL && existing->revision >= record->revision)
		return;
	if (existing == NULL || strcmp(existing->owner, record->owner) != 0)
		owner_note_assignment(batches, record);
	if (existing == NULL &&
	    batches->records_count == batches->records_capacity) {
		records = realloc(batches->records,
		    capacity * sizeof(struct kwb_batch_record *));
		if (records == NULL)
			return;
		batches->records = records;
		batches->records_capacity = capacity;
	}
	if (kwb_batch_record_copy(&copy, record) != 0)
		return;
	if (existing == NULL) {
		existing = calloc(1, sizeof(*existing));
		if (existing == NULL) {
			kwb_batch_record_finish(&copy);
			return;
		}
		batches->records[batches->records_count++] = existing;
	}
	kwb_batch_record_finish(existing);
	*existing = copy;
	if (record->config_version > batches->config_version)
		batches->config_version = record->config_version;
	batches->changed_ns = kwb_clock_now_ns();
	owner_check_soon(batches);
}

void
record_add_to_tx(const struct kwb_batch_record *record, struct kwb_tx *tx,
    struct kwb_buf *value)
{
	kwb_batch_record_serialize(record, value);
	kwb_tx_expect(tx, TABLE_RECORDS, "", record->id, record->revision);
	kwb_tx_put(tx, TABLE_RECORDS, "", record->id, kwb_buf_text(value),
	    value->used_bytes);
}

static void
record_free(struct kwb_batch_record *record)
{
	kwb_batch_record_finish(record);
	free(record);
}

static void
record_on_row(void *context, const struct kwb_row *row)
{
	struct kwb_batches *batches = context;
	struct kwb_batch_record record;
	uint32_t i;

	if (row->deleted) {
		for (i = 0; i < batches->records_count; i++)
			if (strcmp(batches->records[i]->id, row->key) == 0) {
				record_free(batches->records[i]);
				batches->records[i] =
				    batches->records[--batches->records_count];
				break;
			}
		owner_check_soon(batches);
		return;
	}
	if (kwb_batch_record_parse(&record, row) != 0) {
		kwb_log(KWB_LOG_WARN, "batch",
		    "event=head_unreadable batch=%s revision=%llu", row->key,
		    (unsigned long long)row->revision);
		return;
	}
	records_update(batches, &record);
	kwb_batch_record_finish(&record);
}

static void
dispatch_on_timer(int fd, short what, void *context)
{
	struct kwb_batches *batches = context;
	struct kwb_batch *batch;
	bool has_waiting = false;
	uint64_t now_ns = kwb_clock_now_ns();
	bool was_delayed =
	    kwb_check_was_delayed(batches->dispatch_due_ns, now_ns);

	(void)fd;
	(void)what;
	batches->dispatch_armed = false;
	if (batches->handing_over)
		return;
	/*
	 * A node without an answer of the store for so long may have missed
	 * the end of a batch: running items go on, no new ones start.
	 */
	if (kwb_clock_now_ns() - batches->env->store->last_answer_ns <
	    KWB_DISPATCH_STORE_AGE_NS)
		TAILQ_FOREACH (batch, &batches->running, entry)
			has_waiting |= batch_dispatch(batch);
	now_ns = kwb_clock_now_ns();
	if (now_ns - batches->move_checked_ns >= KWB_MOVE_CHECK_NS) {
		batches->move_checked_ns = now_ns;
		TAILQ_FOREACH (batch, &batches->running, entry)
			if (!was_delayed)
				batch_check_running(batch);
		TAILQ_FOREACH (batch, &batches->running, entry)
			batch_checkpoint(batch);
	}
	if (!batches->dispatch_armed && !TAILQ_EMPTY(&batches->running)) {
		batches->dispatch_armed = true;
		batches->dispatch_due_ns = now_ns +
		    (has_waiting ? KWB_DISPATCH_NS : KWB_MOVE_CHECK_NS);
		kwb_timer_arm(
		    batches->dispatch_timer, batches->dispatch_due_ns);
	}
}

/* One that is overdue already stays so: it tells of a pause of the process. */
void
kwb_batches_dispatch(struct kwb_batches *batches)
{
	uint64_t now_ns = kwb_clock_now_ns();

	if (!batches->dispatch_armed || now_ns < batches->dispatch_due_ns)
		batches->dispatch_due_ns = now_ns;
	batches->dispatch_armed = true;
	kwb_timer_arm(batches->dispatch_timer, 0);
}

void
kwb_batches_rebalance(struct kwb_batches *batches)
{
	batches->move_checked_ns = 0;
	kwb_batches_dispatch(batches);
}

int
kwb_batches_init(struct kwb_batches *batches, const struct kwb_batch_env *env)
{
	int code;

	memset(batches, 0, sizeof(*batches));
	batches->env = env;
	TAILQ_INIT(&batches->running);
	TAILQ_INIT(&batches->reads);
	batches->dispatch_timer =
	    kwb_timer_new(env->base, dispatch_on_timer, batches);
	if (batches->dispatch_timer == NULL)
		return KWB_ERR_MEMORY;
	code = owner_init(batches);
	if (code != 0)
		return code;
	return kwb_follower_init(&batches->follower, env->base, env->store,
	    TABLE_RECORDS, record_on_row, NULL, batches);
}

void
kwb_batches_finish(struct kwb_batches *batches)
{
	uint32_t i;

	kwb_follower_finish(&batches->follower);
	while (!TAILQ_EMPTY(&batches->running))
		batch_free(TAILQ_FIRST(&batches->running));
	owner_finish(batches);
	event_free(batches->dispatch_timer);
	for (i = 0; i < batches->records_count; i++)
		record_free(batches->records[i]);
	free(batches->records);
	kwb_batch_record_finish(&batches->sweep_record);
}

void
kwb_batches_hand_over(struct kwb_batches *batches)
{
	struct kwb_batch *batch;

	batches->handing_over = true;
	TAILQ_FOREACH (batch, &batches->running, entry)
		batch_hand_over(batch);
}

bool
kwb_batches_is_config_behind(const struct kwb_batches *batches)
{
	const struct kwb_node_config *config = *batches->env->config;

	return config == NULL || config->version < batches->config_version;
}

bool
kwb_batches_is_idle(const struct kwb_batches *batches)
{
	return TAILQ_EMPTY(&batches->running);
}
