/*
 * Lists results: writes them to the store at the next positions of the batch's
 * list. A result is visible only once it is durable. Position and item are
 * both keys of rows that must not exist yet, so neither is written twice, even
 * when another node lists results of the same batch.
 */
#include <stdio.h>
#include <string.h>

#include "batch.h"

/* Each result needs two conditions and two rows. */
#define LIST_ROWS_MAX (KWB_TX_ROWS_MAX / 4)

/* Results that one transaction lists, with the texts that it refers to. */
struct listing {
	struct kwb_tx tx;
	struct kwb_buf values[LIST_ROWS_MAX];
	char positions[LIST_ROWS_MAX][POSITION_DIGITS + 8]; /* keys */
	char done[LIST_ROWS_MAX][POSITION_DIGITS + 8 +
	    OBJECT_NAME_BYTES]; /* values of TABLE_DONE */
	uint32_t count;
	size_t bytes; /* of the results */
};

static void list_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer);

static int
format_result(const struct item_run *run, struct kwb_buf *value)
{
	bool completed = run->result == KWB_ITEM_COMPLETED;
	struct kwb_item_result result = {.id = run->item->id,
	    .state = run->result,
	    .output = completed ? kwb_buf_text(&run->text) : "",
	    .output_bytes = completed ? run->text.used_bytes : 0,
	    .versions = run->versions,
	    .versions_count = completed ? run->versions_count : 0,
	    .score = run->receipt};

	return run->batch->batches->env->forward->codec->write_item_result(
	    &result, value);
}

/* Objects of two processes that run the same item have different names. */
static void
result_object_name(const struct item_run *run, char *name)
{
	snprintf(name, OBJECT_NAME_BYTES, "text-%s-%s-%llu",
	    run->batch->record.id, run->item->id,
	    (unsigned long long)run->batch->batches->env->incarnation);
}

static void
result_object_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch *batch = call->context;

	if (answer->error == 0 || answer->error == KWB_ERR_STORE_CONFLICT) {
		batch->result_object_run->result_in_object = true;
		batch_list_results(batch);
		return;
	}
	kwb_log(KWB_LOG_WARN, "batch",
	    "event=text_not_written batch=%s item=%s error=%s",
	    batch->record.id, batch->result_object_run->item->id,
	    kwb_error_name(answer->error));
}

/* Stores a result that is too long for a row as an object of its own. */
static void
result_object_put(struct item_run *run, const struct kwb_buf *value)
{
	struct kwb_batch *batch = run->batch;
	struct kwb_store *store = batch->batches->env->store;
	char name[OBJECT_NAME_BYTES];

	if (batch->result_object_call.pending != NULL)
		return;
	result_object_name(run, name);
	batch->result_object_run = run;
	batch->result_object_call.context = batch;
	batch->result_object_call.on_done = result_object_on_answer;
	if (store->ops->object_put(store, name, value->data, value->used_bytes,
		&batch->result_object_call) != 0)
		kwb_log(KWB_LOG_WARN, "batch",
		    "event=text_not_written batch=%s item=%s error=not_sent",
		    batch->record.id, run->item->id);
}

/*
 * Replaces a value that is too long for a row by the name of its object. False
 * when the result has to wait until the object is stored.
 */
static bool
value_is_ready(struct item_run *run, struct kwb_buf *value)
{
	uint32_t row_bytes = run->batch->batches->env->settings->row_max_bytes;
	char name[OBJECT_NAME_BYTES];

	if (value->used_bytes < row_bytes - row_bytes / 16)
		return true;
	if (!run->result_in_object) {
		result_object_put(run, value);
		return false;
	}
	result_object_name(run, name);
	value->used_bytes = 0;
	return kwb_buf_printf(value, "%c%s", OBJECT_PREFIX, name) == 0;
}

/* Adds a ready result, or begins to store its object; false when full. */
static bool
listing_add(
    struct listing *listing, struct kwb_batch *batch, struct item_run *run)
{
	uint32_t at = listing->count;
	struct kwb_buf *value = &listing->values[at];
	char *position = listing->positions[at];
	char *done = listing->done[at];

	kwb_buf_init(value);
	if (format_result(run, value) != 0) {
		kwb_log(KWB_LOG_ERROR, "batch",
		    "event=result_unwritable batch=%s item=%s bytes=%zu",
		    batch->record.id, run->item->id, run->text.used_bytes);
		return false;
	}
	if (!value_is_ready(run, value)) {
		kwb_buf_finish(value);
		return true;
	}
	if (at > 0 && listing->bytes + value->used_bytes > KWB_TX_MAX_BYTES) {
		kwb_buf_finish(value);
		return false;
	}
	listing->bytes += value->used_bytes;
	listing->count++;
	snprintf(position, sizeof(listing->positions[at]), "%0*u",
	    POSITION_DIGITS, batch->listed + at);
	kwb_tx_expect(
	    &listing->tx, TABLE_RESULTS, batch->record.id, position, 0);
	kwb_tx_expect(
	    &listing->tx, TABLE_DONE, batch->record.id, run->item->id, 0);
	kwb_tx_put(&listing->tx, TABLE_RESULTS, batch->record.id, position,
	    value->data, value->used_bytes);
	/* The item's row names the object, too, so that the sweep finds it. */
	snprintf(done, sizeof(listing->done[at]), "%0*u%s%s", POSITION_DIGITS,
	    batch->listed + at, run->result_in_object ? " " : "",
	    run->result_in_object ? value->data : "");
	kwb_tx_put(&listing->tx, TABLE_DONE, batch->record.id, run->item->id,
	    done, strlen(done));
	run->state = ITEM_LISTING;
	return true;
}

void
batch_list_results(struct kwb_batch *batch)
{
	static struct listing listing;
	struct kwb_store *store = batch->batches->env->store;
	uint32_t i;
	int code;

	if (batch->listing || batch->in_doubt || !batch->loaded)
		return;
	memset(&listing, 0, sizeof(listing));
	for (i = 0; i < batch->spec.items_count; i++) {
		if (batch->runs[i].state != ITEM_READY)
			continue;
		if (listing.count == LIST_ROWS_MAX ||
		    !listing_add(&listing, batch, &batch->runs[i]))
			break;
	}
	if (listing.count == 0)
		return;
	batch->listing = true;
	batch->call.context = batch;
	batch->call.on_done = list_on_answer;
	code = store->ops->transact(store, &listing.tx, &batch->call);
	for (i = 0; i < listing.count; i++)
		kwb_buf_finish(&listing.values[i]);
	if (code != 0) {
		batch->listing = false;
		batch_reconcile(batch);
	}
}

/* All items have a result: no node needs to run the batch any more. */
void
batch_mark_complete(struct kwb_batch *batch)
{
	batch->record.listed = true;
	batch->closing = true;
	kwb_log(KWB_LOG_INFO, "batch", "event=all_listed batch=%s items=%u",
	    batch->record.id, batch->spec.items_count);
	owner_check_soon(batch->batches);
}

static void
list_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch *batch = call->context;
	uint32_t i;

	batch->listing = false;
	if (answer->error != 0) {
		kwb_log(KWB_LOG_INFO, "batch",
		    "event=listing_in_doubt batch=%s error=%s",
		    batch->record.id, kwb_error_name(answer->error));
		batch_reconcile(batch);
		return;
	}
	for (i = 0; i < batch->spec.items_count; i++) {
		if (batch->runs[i].state != ITEM_LISTING)
			continue;
		batch->runs[i].state = ITEM_LISTED;
		batch->listed++;
		run_finish(&batch->runs[i]);
	}
	reads_wake(batch->batches, batch->record.id);
	if (batch->listed == batch->spec.items_count)
		batch_mark_complete(batch);
	else
		batch_list_results(batch);
}

static void
reconcile_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch *batch = call->context;
	uint32_t i;

	if (answer->error != 0) {
		batch->load_retry_ns = kwb_clock_now_ns() + KWB_BATCH_RETRY_NS;
		return;
	}
	batch_mark_listed(batch, answer);
	if (batch_read_more(batch, TABLE_DONE, answer))
		return;
	batch->in_doubt = false;
	for (i = 0; i < batch->spec.items_count; i++)
		if (batch->runs[i].state == ITEM_LISTING)
			batch->runs[i].state = ITEM_READY;
	if (batch->listed == batch->spec.items_count)
		batch_mark_complete(batch);
	else
		batch_list_results(batch);
}

/*
 * Reads which items are listed, after an unclear answer to a transaction. Until
 * that is known nothing more is listed: the next position depends on it.
 */
void
batch_reconcile(struct kwb_batch *batch)
{
	struct kwb_store *store = batch->batches->env->store;
	struct kwb_range range = {
	    .table = TABLE_DONE, .part = batch->record.id};

	batch->load_retry_ns = 0;
	batch->in_doubt = true;
	batch->call.context = batch;
	batch->call.on_done = reconcile_on_answer;
	if (store->ops->range(store, &range, &batch->call) != 0)
		batch->load_retry_ns = kwb_clock_now_ns() + KWB_BATCH_RETRY_NS;
}
