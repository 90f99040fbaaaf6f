/*
 * Texts that items have so far, kept in the store: from time to time, so that
 * a node that takes the batch over resumes long items, and once more when the
 * batch is handed over at a planned stop.
 */
#include <stdio.h>
#include <string.h>

#include "batch.h"

static void leave_step(struct kwb_batch *batch);

static void
leave_answer(struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch *batch = call->context;

	if (answer->error != 0)
		kwb_log(KWB_LOG_WARN, "own",
		    "event=hand_over_text_lost batch=%s error=%s",
		    batch->head.id, kwb_error_name(answer->error));
	leave_step(batch);
}

static void
released_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch *batch = call->context;

	kwb_log(KWB_LOG_INFO, "own", "event=released batch=%s error=%s",
	    batch->head.id, kwb_error_name(answer->error));
	batch->closing = true;
	own_look(batch->batches);
}

static void
partial_value(const struct item_run *run, struct kwb_buf *value)
{
	uint32_t i;

	kwb_buf_init(value);
	kwb_buf_printf(value, "%llu", (unsigned long long)run->last_event);
	for (i = 0; i < run->versions_count; i++)
		kwb_buf_printf(
		    value, " %llu", (unsigned long long)run->versions[i]);
	kwb_buf_add(value, "\n", 1);
	kwb_buf_add(value, run->text.data, run->text.used_bytes);
}

static void
leave_release(struct kwb_batch *batch)
{
	static struct kwb_tx tx;
	struct kwb_store *store = batch->batches->env->store;
	const struct kwb_batch_head *known =
	    kwb_batches_head(batch->batches, batch->head.id);
	struct kwb_batch_head head = known ? *known : batch->head;
	struct kwb_buf value;

	head.owner[0] = '\0';
	head.owner_incarnation = 0;
	kwb_buf_init(&value);
	memset(&tx, 0, sizeof(tx));
	head_write(&head, &tx, &value);
	batch->call.on_done = released_answer;
	if (store->ops->transact(store, &tx, &batch->call) != 0)
		batch->closing = true;
	kwb_buf_finish(&value);
}

/* Writes the texts that items have so far, then lets go of the batch. */
static void
leave_step(struct kwb_batch *batch)
{
	static struct kwb_tx tx;
	struct kwb_store *store = batch->batches->env->store;
	struct kwb_buf values[LEAVE_ROWS_MAX];
	uint32_t count = 0;
	size_t bytes = 0;
	struct item_run *run;
	uint32_t i;

	memset(&tx, 0, sizeof(tx));
	while (batch->leave_next < batch->spec.items_count &&
	    count < LEAVE_ROWS_MAX && bytes < KWB_TX_MAX_BYTES) {
		run = &batch->runs[batch->leave_next++];
		if (run->last_event == 0 || run->state == ITEM_LISTED)
			continue;
		partial_value(run, &values[count]);
		if (values[count].used_bytes > KWB_STORE_VALUE_MAX_BYTES) {
			kwb_buf_finish(&values[count]);
			continue; /* too long for a row: made anew */
		}
		bytes += values[count].used_bytes;
		kwb_tx_put(&tx, TABLE_PARTIAL, batch->head.id, run->item->id,
		    values[count].data, values[count].used_bytes);
		count++;
	}
	batch->call.context = batch;
	batch->call.on_done = leave_answer;
	if (count == 0 || store->ops->transact(store, &tx, &batch->call) != 0)
		leave_release(batch);
	for (i = 0; i < count; i++)
		kwb_buf_finish(&values[i]);
}

void
batch_leave(struct kwb_batch *batch)
{
	uint32_t i;

	if (batch->leaving)
		return;
	batch->leaving = true;
	if (batch->loaded)
		for (i = 0; i < batch->spec.items_count; i++)
			run_stop(&batch->runs[i]);
	kwb_store_cancel(batch->batches->env->store, &batch->call);
	batch->listing = false;
	batch->in_doubt = true; /* the listing may still be done */
	batch->leave_next = batch->loaded ? 0 : batch->spec.items_count;
	leave_step(batch);
}

static void
checkpoint_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch *batch = call->context;

	if (answer->error != 0)
		kwb_log(KWB_LOG_INFO, "batch",
		    "event=checkpoint_lost batch=%s error=%s", batch->head.id,
		    kwb_error_name(answer->error));
}

static bool
is_checkpoint_due(const struct item_run *run)
{
	return run->state == ITEM_RUNNING &&
	    run->last_event >= run->saved_event + KWB_CHECKPOINT_EVENTS;
}

/* Writes long texts that have grown; losing one costs only work. */
void
batch_checkpoint(struct kwb_batch *batch)
{
	static struct kwb_tx tx;
	struct kwb_store *store = batch->batches->env->store;
	struct kwb_buf values[LEAVE_ROWS_MAX];
	uint64_t now_ns = kwb_clock_now_ns();
	uint32_t count = 0;
	size_t bytes = 0;
	uint32_t i;

	if (!batch->loaded || batch->leaving || batch->closing ||
	    batch->checkpoint.driver != NULL ||
	    now_ns - batch->checkpoint_ns < KWB_CHECKPOINT_NS)
		return;
	batch->checkpoint_ns = now_ns;
	memset(&tx, 0, sizeof(tx));
	for (i = 0; i < batch->spec.items_count && count < LEAVE_ROWS_MAX &&
	     bytes < KWB_TX_MAX_BYTES;
	     i++) {
		struct item_run *run = &batch->runs[i];

		if (!is_checkpoint_due(run))
			continue;
		partial_value(run, &values[count]);
		run->saved_event = run->last_event;
		if (values[count].used_bytes > KWB_STORE_VALUE_MAX_BYTES) {
			kwb_buf_finish(&values[count]);
			continue;
		}
		bytes += values[count].used_bytes;
		kwb_tx_put(&tx, TABLE_PARTIAL, batch->head.id, run->item->id,
		    values[count].data, values[count].used_bytes);
		count++;
	}
	if (count == 0)
		return;
	batch->checkpoint.context = batch;
	batch->checkpoint.on_done = checkpoint_answer;
	if (store->ops->transact(store, &tx, &batch->checkpoint) != 0)
		kwb_log(KWB_LOG_INFO, "batch",
		    "event=checkpoint_lost batch=%s error=not_sent",
		    batch->head.id);
	for (i = 0; i < count; i++)
		kwb_buf_finish(&values[i]);
}
