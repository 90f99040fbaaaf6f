/*
 * Removes expired batches, which nobody may ask for any more: first the rows
 * and objects that belong to a batch, its record last, so that the next node
 * can begin a removal that was cut short again.
 */
#include <stdio.h>
#include <string.h>

#include "batch.h"

#define SWEEP_ROWS 45 /* in one transaction */

static void sweep_step(struct kwb_batches *batches);

static void
sweep_complete(struct kwb_batches *batches, int error)
{
	kwb_log(KWB_LOG_INFO, "sweep", "event=%s batch=%s error=%s",
	    error == 0 ? "removed" : "not_removed", batches->sweep_record.id,
	    kwb_error_name(error));
	batches->sweep_step = KWB_SWEEP_NONE;
}

static void
removal_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batches *batches = call->context;

	if (answer->error != 0 && answer->error != KWB_ERR_STORE_MISSING) {
		sweep_complete(batches, answer->error);
		return;
	}
	if (batches->sweep_step == KWB_SWEEP_RECORD) {
		sweep_complete(batches, 0);
		return;
	}
	if (batches->sweep_step == KWB_SWEEP_OBJECT)
		batches->sweep_step = KWB_SWEEP_RECORD;
	sweep_step(batches);
}

/* Removes the object of a long result, before the row that names it. */
static void
sweep_drop_result_object(struct kwb_batches *batches, const char *name)
{
	struct kwb_store *store = batches->env->store;

	kwb_text_copy(batches->sweep_dropped_object,
	    sizeof(batches->sweep_dropped_object), name);
	batches->sweep.on_done = removal_on_answer;
	if (store->ops->object_drop(store, name, &batches->sweep) != 0)
		sweep_complete(batches, KWB_ERR_STORE_REFUSED);
}

/* Removes the rows that were read; without rows, begins the next step. */
static void
rows_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	static struct kwb_tx tx;
	struct kwb_batches *batches = call->context;
	struct kwb_store *store = batches->env->store;
	const char *name;
	uint32_t i;

	if (answer->error != 0) {
		sweep_complete(batches, answer->error);
		return;
	}
	if (answer->rows_count == 0) {
		batches->sweep_step++;
		sweep_step(batches);
		return;
	}
	memset(&tx, 0, sizeof(tx));
	for (i = 0; i < answer->rows_count; i++) {
		name = batches->sweep_step == KWB_SWEEP_DONE
		    ? strchr(answer->rows[i].value, OBJECT_PREFIX)
		    : NULL;
		if (name != NULL &&
		    strcmp(name + 1, batches->sweep_dropped_object) != 0) {
			sweep_drop_result_object(batches, name + 1);
			return;
		}
		kwb_tx_remove(&tx, answer->rows[i].table,
		    batches->sweep_record.id, answer->rows[i].key);
		if (name != NULL)
			break; /* its object is removed, now its row */
	}
	call->on_done = removal_on_answer;
	if (store->ops->transact(store, &tx, call) != 0)
		sweep_complete(batches, KWB_ERR_STORE_REFUSED);
}

static int
sweep_rows(struct kwb_batches *batches, const char *table)
{
	struct kwb_range range = {.table = table,
	    .part = batches->sweep_record.id,
	    .limit = SWEEP_ROWS};

	batches->sweep.on_done = rows_on_answer;
	return batches->env->store->ops->range(
	    batches->env->store, &range, &batches->sweep);
}

/* Positions are known, so the results, which are large, aren't read. */
static int
sweep_results(struct kwb_batches *batches)
{
	static struct kwb_tx tx;
	char keys[SWEEP_ROWS][POSITION_DIGITS + 8];
	uint32_t i;

	memset(&tx, 0, sizeof(tx));
	for (i = 0; i < SWEEP_ROWS &&
	     batches->sweep_position < batches->sweep_record.total;
	     i++) {
		snprintf(keys[i], sizeof(keys[i]), "%0*u", POSITION_DIGITS,
		    batches->sweep_position++);
		kwb_tx_remove(
		    &tx, TABLE_RESULTS, batches->sweep_record.id, keys[i]);
	}
	if (i == 0) {
		batches->sweep_step++;
		sweep_step(batches);
		return 0;
	}
	batches->sweep.on_done = removal_on_answer;
	return batches->env->store->ops->transact(
	    batches->env->store, &tx, &batches->sweep);
}

static int
sweep_object(struct kwb_batches *batches)
{
	const struct kwb_batch_record *record = &batches->sweep_record;
	char name[OBJECT_NAME_BYTES];

	batch_object_name(name, sizeof(name), record->workspace, record->id);
	batches->sweep.on_done = removal_on_answer;
	return batches->env->store->ops->object_drop(
	    batches->env->store, name, &batches->sweep);
}

static int
sweep_record(struct kwb_batches *batches)
{
	static struct kwb_tx tx;
	const struct kwb_batch_record *record = &batches->sweep_record;

	memset(&tx, 0, sizeof(tx));
	kwb_tx_expect(&tx, TABLE_RECORDS, "", record->id, record->revision);
	kwb_tx_remove(&tx, TABLE_RECORDS, "", record->id);
	batches->sweep.on_done = removal_on_answer;
	return batches->env->store->ops->transact(
	    batches->env->store, &tx, &batches->sweep);
}

static void
sweep_step(struct kwb_batches *batches)
{
	int code = 0;

	switch (batches->sweep_step) {
	case KWB_SWEEP_NONE:
		return;
	case KWB_SWEEP_DONE:
		code = sweep_rows(batches, TABLE_DONE);
		break;
	case KWB_SWEEP_PARTIAL:
		code = sweep_rows(batches, TABLE_PARTIAL);
		break;
	case KWB_SWEEP_RESULTS:
		code = sweep_results(batches);
		break;
	case KWB_SWEEP_OBJECT:
		code = sweep_object(batches);
		break;
	case KWB_SWEEP_RECORD:
		code = sweep_record(batches);
		break;
	}
	if (code != 0)
		sweep_complete(batches, code);
}

/* Kept for a quarter longer than the setting says. */
bool
batch_is_expired(
    const struct kwb_batches *batches, const struct kwb_batch_record *record)
{
	uint64_t keep_ms =
	    (uint64_t)batches->env->settings->batch_keep_ms * 5 / 4;

	return record->accepted_ms + keep_ms <
	    kwb_store_now_ms(batches->env->store);
}

/* Begins with the oldest expired batch that this node may remove. */
void
sweep_start_next(struct kwb_batches *batches)
{
	const struct kwb_batch_record *oldest = NULL;
	const struct kwb_batch_record *record;
	uint32_t i;

	if (batches->sweep_step != KWB_SWEEP_NONE || batches->handing_over ||
	    kwb_clock_now_ns() - batches->sweep_checked_ns < KWB_SWEEP_CHECK_NS)
		return;
	for (i = 0; i < batches->records_count; i++) {
		record = batches->records[i];
		if (batch_is_expired(batches, record) &&
		    (strcmp(record->owner, batches->env->settings->node) == 0 ||
			!owner_is_alive(batches, record->owner)) &&
		    batch_find(batches, record->id) == NULL &&
		    (oldest == NULL ||
			record->accepted_ms < oldest->accepted_ms))
			oldest = record;
	}
	batches->sweep_checked_ns = kwb_clock_now_ns();
	if (oldest == NULL)
		return;
	kwb_batch_record_finish(&batches->sweep_record);
	if (kwb_batch_record_copy(&batches->sweep_record, oldest) != 0)
		return;
	batches->sweep_step = KWB_SWEEP_DONE;
	batches->sweep_position = 0;
	batches->sweep_dropped_object[0] = '\0';
	batches->sweep.context = batches;
	sweep_step(batches);
}
