/*
 * Checkpoints: the texts that items have so far are written to the store
 * periodically, and once more when the batch is handed over at a planned stop.
 * A node that claims the batch resumes its items from them.
 *
 * A text is stored in chunks, each with the events since the one before. Two
 * nodes may briefly own a batch, so a chunk names the text that it belongs to,
 * and the first chunk of a resumed text the one that it continues; see
 * kwb_text_chunk_follows().
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch.h"

#define CHUNK_EVENT_DIGITS 8 /* zero-padded, so that keys sort by event */

/* Chunks of one transaction. */
struct chunk_writes {
	struct kwb_tx tx;
	struct kwb_buf values[CHUNKS_MAX];
	char keys[CHUNKS_MAX][KWB_KEY_MAX_BYTES + CHUNK_EVENT_DIGITS + 2];
	uint32_t count;
	size_t bytes;
};

static void hand_over_step(struct kwb_batch *batch);

static uint64_t
new_text_id(const struct kwb_batches *batches)
{
	static uint64_t count;
	const struct kwb_batch_env *env = batches->env;

	return kwb_text_hash(env->settings->node, env->incarnation) + ++count;
}

void
run_reset_text(struct item_run *run)
{
	run_free_text(run);
	run->last_event = 0;
	run->versions_count = 0;
	run->saved_chunk = (struct kwb_text_chunk){0};
	run->saved_bytes = 0;
	run->sending_event = 0;
	run->resumed = false;
}

/*
 * Adds an item's events since its last chunk. Events that are too long for a
 * row are not stored: they would be generated again.
 */
static void
chunk_add(struct chunk_writes *writes, struct item_run *run)
{
	uint32_t at = writes->count;
	struct kwb_buf *value = &writes->values[at];
	struct kwb_text_chunk *last_chunk = &run->saved_chunk;
	size_t begin =
	    run->saved_bytes + (last_chunk->last_event > 0); /* line feed */
	uint32_t i;

	if (last_chunk->text_id == 0 || run->resumed) {
		last_chunk->parent_text_id = last_chunk->text_id;
		last_chunk->parent_last_event = last_chunk->last_event;
		last_chunk->text_id = new_text_id(run->batch->batches);
		run->resumed = false;
	}
	kwb_buf_init(value);
	kwb_buf_printf(value, "%llu %llu %llu %llu %llu",
	    (unsigned long long)last_chunk->text_id,
	    (unsigned long long)last_chunk->parent_text_id,
	    (unsigned long long)last_chunk->parent_last_event,
	    (unsigned long long)last_chunk->last_event + 1,
	    (unsigned long long)run->last_event);
	for (i = 0; i < run->versions_count; i++)
		kwb_buf_printf(
		    value, " %llu", (unsigned long long)run->versions[i]);
	kwb_buf_add(value, "\n", 1);
	kwb_buf_add(
	    value, run->text.data + begin, run->text.used_bytes - begin);
	if (value->used_bytes > KWB_STORE_VALUE_MAX_BYTES) {
		kwb_buf_finish(value);
		return;
	}
	snprintf(writes->keys[at], sizeof(writes->keys[at]), "%s.%0*llu",
	    run->item->id, CHUNK_EVENT_DIGITS,
	    (unsigned long long)last_chunk->last_event + 1);
	kwb_tx_put(&writes->tx, TABLE_PARTIAL, run->batch->record.id,
	    writes->keys[at], value->data, value->used_bytes);
	run->sending_event = run->last_event;
	run->sending_bytes = run->text.used_bytes;
	writes->bytes += value->used_bytes;
	writes->count++;
}

/* Writes the chunks by a call of the batch; false when nothing was sent. */
static bool
chunks_send(struct chunk_writes *writes, struct kwb_batch *batch,
    struct kwb_store_call *call)
{
	struct kwb_store *store = batch->batches->env->store;
	bool sent = writes->count > 0 &&
	    store->ops->transact(store, &writes->tx, call) == 0;
	uint32_t i;

	for (i = 0; i < writes->count; i++)
		kwb_buf_finish(&writes->values[i]);
	return sent;
}

/*
 * Notes the outcome of the last write. After a failure the same events are
 * written again, under the same keys.
 */
static void
chunks_mark_sent(struct kwb_batch *batch, bool written)
{
	uint32_t i;

	for (i = 0; i < batch->spec.items_count; i++) {
		struct item_run *run = &batch->runs[i];

		if (written && run->sending_event != 0) {
			run->saved_chunk.last_event = run->sending_event;
			run->saved_bytes = run->sending_bytes;
		}
		run->sending_event = 0;
	}
}

/* ---- Restoring ----------------------------------------------------------- */

static bool
chunk_parse(struct kwb_text_chunk *chunk, uint64_t *versions,
    uint32_t *versions_count, const struct kwb_row *row, const char **text)
{
	uint64_t *const fields[] = {&chunk->text_id, &chunk->parent_text_id,
	    &chunk->parent_last_event, &chunk->first_event, &chunk->last_event};
	char *at = row->value;
	uint32_t i;

	for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++)
		*fields[i] = strtoull(at, &at, 10);
	for (*versions_count = 0;
	     *at == ' ' && *versions_count < ITEM_VERSIONS_MAX;
	     (*versions_count)++)
		versions[*versions_count] = strtoull(at + 1, &at, 10);
	*text = at + 1;
	return *at == '\n' && chunk->text_id != 0 && chunk->first_event != 0 &&
	    chunk->last_event >= chunk->first_event;
}

void
chunk_restore(struct kwb_batch *batch, const struct kwb_row *row)
{
	const char *dot = strrchr(row->key, '.');
	size_t length = dot != NULL ? (size_t)(dot - row->key) : 0;
	struct item_run *run = batch_find_run(batch, row->key, length);
	uint64_t versions[ITEM_VERSIONS_MAX];
	uint32_t versions_count;
	struct kwb_text_chunk chunk;
	const char *text;

	if (run == NULL || run->state != ITEM_WAITING)
		return;
	if (!chunk_parse(&chunk, versions, &versions_count, row, &text)) {
		kwb_log(KWB_LOG_WARN, "batch",
		    "event=partial_unreadable batch=%s item=%s",
		    batch->record.id, row->key);
		return;
	}
	if (!kwb_text_chunk_follows(&chunk, &run->saved_chunk))
		return;
	if (run_add_text(run, text,
		row->value_bytes - (size_t)(text - row->value)) != 0) {
		run_reset_text(run);
		return;
	}
	memcpy(run->versions, versions, sizeof(versions));
	run->versions_count = versions_count;
	run->saved_chunk = chunk;
	run->saved_bytes = run->text.used_bytes;
	run->last_event = chunk.last_event;
	run->resumed = true;
}

/* ---- Handing over -------------------------------------------------------- */

static void
hand_over_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch *batch = call->context;

	if (answer->error != 0)
		kwb_log(KWB_LOG_WARN, "own",
		    "event=hand_over_text_lost batch=%s error=%s",
		    batch->record.id, kwb_error_name(answer->error));
	hand_over_step(batch);
}

static void
release_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch *batch = call->context;

	kwb_log(KWB_LOG_INFO, "own", "event=released batch=%s error=%s",
	    batch->record.id, kwb_error_name(answer->error));
	batch->closing = true;
	owner_check_soon(batch->batches);
}

static void
release_batch(struct kwb_batch *batch)
{
	static struct kwb_tx tx;
	struct kwb_store *store = batch->batches->env->store;
	const struct kwb_batch_record *known =
	    kwb_batches_find_record(batch->batches, batch->record.id);
	struct kwb_batch_record record = known ? *known : batch->record;
	struct kwb_buf value;

	record.owner[0] = '\0';
	record.owner_incarnation = 0;
	kwb_buf_init(&value);
	memset(&tx, 0, sizeof(tx));
	record_add_to_tx(&record, &tx, &value);
	batch->call.on_done = release_on_answer;
	if (store->ops->transact(store, &tx, &batch->call) != 0)
		batch->closing = true;
	kwb_buf_finish(&value);
}

/* Writes the next unsaved texts, and releases the batch after the last. */
static void
hand_over_step(struct kwb_batch *batch)
{
	static struct chunk_writes pieces;
	struct item_run *run;

	memset(&pieces, 0, sizeof(pieces));
	while (batch->hand_over_next < batch->spec.items_count &&
	    pieces.count < CHUNKS_MAX && pieces.bytes < KWB_TX_MAX_BYTES) {
		run = &batch->runs[batch->hand_over_next++];
		if (run->last_event > run->saved_chunk.last_event &&
		    run->state != ITEM_LISTED)
			chunk_add(&pieces, run);
	}
	batch->call.context = batch;
	batch->call.on_done = hand_over_on_answer;
	if (!chunks_send(&pieces, batch, &batch->call))
		release_batch(batch);
}

void
batch_hand_over(struct kwb_batch *batch)
{
	uint32_t i;

	if (batch->handing_over)
		return;
	batch->handing_over = true;
	if (batch->loaded)
		for (i = 0; i < batch->spec.items_count; i++)
			run_stop(&batch->runs[i]);
	kwb_store_cancel(batch->batches->env->store, &batch->call);
	kwb_store_cancel(batch->batches->env->store, &batch->checkpoint_call);
	batch->listing = false;
	batch->in_doubt = true; /* a listing may still take effect */
	batch->hand_over_next = batch->loaded ? 0 : batch->spec.items_count;
	hand_over_step(batch);
}

/* ---- Periodic checkpoints ------------------------------------------------ */

static void
checkpoint_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch *batch = call->context;

	chunks_mark_sent(batch, answer->error == 0);
	if (answer->error != 0)
		kwb_log(KWB_LOG_INFO, "batch",
		    "event=checkpoint_lost batch=%s error=%s", batch->record.id,
		    kwb_error_name(answer->error));
}

/* Generating a short text again costs less than checkpointing it. */
static bool
is_checkpoint_due(const struct item_run *run)
{
	return run->state == ITEM_RUNNING &&
	    run->last_event >= KWB_CHECKPOINT_MIN_EVENTS &&
	    run->last_event >=
	    run->saved_chunk.last_event + KWB_CHECKPOINT_EVENTS;
}

void
batch_checkpoint(struct kwb_batch *batch)
{
	static struct chunk_writes pieces;
	uint64_t now_ns = kwb_clock_now_ns();
	uint32_t i;

	if (!batch->loaded || batch->handing_over || batch->closing ||
	    batch->checkpoint_call.pending != NULL ||
	    now_ns - batch->checkpoint_started_ns < KWB_CHECKPOINT_NS)
		return;
	batch->checkpoint_started_ns = now_ns;
	memset(&pieces, 0, sizeof(pieces));
	for (i = 0; i < batch->spec.items_count && pieces.count < CHUNKS_MAX &&
	     pieces.bytes < KWB_TX_MAX_BYTES;
	     i++)
		if (is_checkpoint_due(&batch->runs[i]))
			chunk_add(&pieces, &batch->runs[i]);
	if (pieces.count == 0)
		return;
	batch->checkpoint_call.context = batch;
	batch->checkpoint_call.on_done = checkpoint_on_answer;
	if (!chunks_send(&pieces, batch, &batch->checkpoint_call)) {
		chunks_mark_sent(batch, false);
		kwb_log(KWB_LOG_INFO, "batch",
		    "event=checkpoint_lost batch=%s error=not_sent",
		    batch->record.id);
	}
}
