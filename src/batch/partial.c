/*
 * Texts that items have so far, kept in the store in pieces: from time to time,
 * so that a node that takes the batch over resumes long items, and once more
 * when the batch is handed over at a planned stop.
 *
 * A piece holds the events since the one before it. Two owners may write for a
 * moment, so a piece names the text that it belongs to, and the first piece of
 * a resumed text the one it goes on from; see kwb_piece_joins().
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch.h"

#define PIECE_DIGITS 8 /* keys sort by event */

/* What one transaction writes. */
struct pieces {
	struct kwb_tx tx;
	struct kwb_buf values[PIECES_MAX];
	char keys[PIECES_MAX][KWB_KEY_MAX_BYTES + PIECE_DIGITS + 2];
	uint32_t count;
	size_t bytes;
};

static void leave_step(struct kwb_batch *batch);

static uint64_t
new_text_id(const struct kwb_batches *batches)
{
	static uint64_t count;
	const struct kwb_batch_env *env = batches->env;

	return kwb_text_hash(env->settings->node, env->incarnation) + ++count;
}

void
text_forget(struct item_run *run)
{
	run->text.used_bytes = 0;
	run->last_event = 0;
	run->versions_count = 0;
	run->saved = (struct kwb_piece){0};
	run->saved_bytes = 0;
	run->sending_event = 0;
	run->resumed = false;
}

/* Adds an item's events since its last piece. */
static void
piece_add(struct pieces *pieces, struct item_run *run)
{
	uint32_t at = pieces->count;
	struct kwb_buf *value = &pieces->values[at];
	struct kwb_piece *saved = &run->saved;
	size_t begin = run->saved_bytes + (saved->last > 0); /* line feed */
	uint32_t i;

	if (saved->text == 0 || run->resumed) {
		saved->before = saved->text;
		saved->resumed_at = saved->last;
		saved->text = new_text_id(run->batch->batches);
		run->resumed = false;
	}
	kwb_buf_init(value);
	kwb_buf_printf(value, "%llu %llu %llu %llu %llu",
	    (unsigned long long)saved->text, (unsigned long long)saved->before,
	    (unsigned long long)saved->resumed_at,
	    (unsigned long long)saved->last + 1,
	    (unsigned long long)run->last_event);
	for (i = 0; i < run->versions_count; i++)
		kwb_buf_printf(
		    value, " %llu", (unsigned long long)run->versions[i]);
	kwb_buf_add(value, "\n", 1);
	kwb_buf_add(
	    value, run->text.data + begin, run->text.used_bytes - begin);
	if (value->used_bytes > KWB_STORE_VALUE_MAX_BYTES) {
		kwb_buf_finish(value); /* too long for a row: made anew */
		return;
	}
	snprintf(pieces->keys[at], sizeof(pieces->keys[at]), "%s.%0*llu",
	    run->item->id, PIECE_DIGITS, (unsigned long long)saved->last + 1);
	kwb_tx_put(&pieces->tx, TABLE_PARTIAL, run->batch->head.id,
	    pieces->keys[at], value->data, value->used_bytes);
	run->sending_event = run->last_event;
	run->sending_bytes = run->text.used_bytes;
	pieces->bytes += value->used_bytes;
	pieces->count++;
}

/* Sends them under a call of the batch; false when there are none. */
static bool
pieces_send(
    struct pieces *pieces, struct kwb_batch *batch, struct kwb_store_call *call)
{
	struct kwb_store *store = batch->batches->env->store;
	bool sent = pieces->count > 0 &&
	    store->ops->transact(store, &pieces->tx, call) == 0;
	uint32_t i;

	for (i = 0; i < pieces->count; i++)
		kwb_buf_finish(&pieces->values[i]);
	return sent;
}

/* After a failure the same events are sent again, under the same keys. */
static void
pieces_sent(struct kwb_batch *batch, bool written)
{
	uint32_t i;

	for (i = 0; i < batch->spec.items_count; i++) {
		struct item_run *run = &batch->runs[i];

		if (written && run->sending_event != 0) {
			run->saved.last = run->sending_event;
			run->saved_bytes = run->sending_bytes;
		}
		run->sending_event = 0;
	}
}

/* ---- Reading ------------------------------------------------------------ */

static bool
piece_parse(struct kwb_piece *piece, uint64_t *versions,
    uint32_t *versions_count, const struct kwb_row *row, const char **text)
{
	uint64_t *const fields[] = {&piece->text, &piece->before,
	    &piece->resumed_at, &piece->first, &piece->last};
	char *at = row->value;
	uint32_t i;

	for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++)
		*fields[i] = strtoull(at, &at, 10);
	for (*versions_count = 0;
	     *at == ' ' && *versions_count < ITEM_VERSIONS_MAX;
	     (*versions_count)++)
		versions[*versions_count] = strtoull(at + 1, &at, 10);
	*text = at + 1;
	return *at == '\n' && piece->text != 0 && piece->first != 0 &&
	    piece->last >= piece->first;
}

void
partial_read(struct kwb_batch *batch, const struct kwb_row *row)
{
	const char *dot = strrchr(row->key, '.');
	size_t length = dot != NULL ? (size_t)(dot - row->key) : 0;
	struct item_run *run = batch_run(batch, row->key, length);
	uint64_t versions[ITEM_VERSIONS_MAX];
	uint32_t versions_count;
	struct kwb_piece piece;
	const char *text;

	if (run == NULL || run->state != ITEM_WAITING)
		return;
	if (!piece_parse(&piece, versions, &versions_count, row, &text)) {
		kwb_log(KWB_LOG_WARN, "batch",
		    "event=partial_unreadable batch=%s item=%s", batch->head.id,
		    row->key);
		return;
	}
	if (!kwb_piece_joins(&piece, &run->saved))
		return;
	if ((run->saved.last > 0 && kwb_buf_add(&run->text, "\n", 1) != 0) ||
	    kwb_buf_add(&run->text, text,
		row->value_bytes - (size_t)(text - row->value)) != 0) {
		text_forget(run);
		return;
	}
	memcpy(run->versions, versions, sizeof(versions));
	run->versions_count = versions_count;
	run->saved = piece;
	run->saved_bytes = run->text.used_bytes;
	run->last_event = piece.last;
	run->resumed = true;
}

/* ---- Handing over ------------------------------------------------------- */

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
	static struct pieces pieces;
	struct item_run *run;

	memset(&pieces, 0, sizeof(pieces));
	while (batch->leave_next < batch->spec.items_count &&
	    pieces.count < PIECES_MAX && pieces.bytes < KWB_TX_MAX_BYTES) {
		run = &batch->runs[batch->leave_next++];
		if (run->last_event > run->saved.last &&
		    run->state != ITEM_LISTED)
			piece_add(&pieces, run);
	}
	batch->call.context = batch;
	batch->call.on_done = leave_answer;
	if (!pieces_send(&pieces, batch, &batch->call))
		leave_release(batch);
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
	kwb_store_cancel(batch->batches->env->store, &batch->checkpoint);
	batch->listing = false;
	batch->in_doubt = true; /* the listing may still be done */
	batch->leave_next = batch->loaded ? 0 : batch->spec.items_count;
	leave_step(batch);
}

/* ---- From time to time --------------------------------------------------- */

static void
checkpoint_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch *batch = call->context;

	pieces_sent(batch, answer->error == 0);
	if (answer->error != 0)
		kwb_log(KWB_LOG_INFO, "batch",
		    "event=checkpoint_lost batch=%s error=%s", batch->head.id,
		    kwb_error_name(answer->error));
}

/* Short texts are sooner made anew than kept. */
static bool
is_checkpoint_due(const struct item_run *run)
{
	return run->state == ITEM_RUNNING &&
	    run->last_event >= KWB_CHECKPOINT_LEAST &&
	    run->last_event >= run->saved.last + KWB_CHECKPOINT_EVENTS;
}

void
batch_checkpoint(struct kwb_batch *batch)
{
	static struct pieces pieces;
	uint64_t now_ns = kwb_clock_now_ns();
	uint32_t i;

	if (!batch->loaded || batch->leaving || batch->closing ||
	    batch->checkpoint.pending != NULL ||
	    now_ns - batch->checkpoint_ns < KWB_CHECKPOINT_NS)
		return;
	batch->checkpoint_ns = now_ns;
	memset(&pieces, 0, sizeof(pieces));
	for (i = 0; i < batch->spec.items_count && pieces.count < PIECES_MAX &&
	     pieces.bytes < KWB_TX_MAX_BYTES;
	     i++)
		if (is_checkpoint_due(&batch->runs[i]))
			piece_add(&pieces, &batch->runs[i]);
	if (pieces.count == 0)
		return;
	batch->checkpoint.context = batch;
	batch->checkpoint.on_done = checkpoint_answer;
	if (!pieces_send(&pieces, batch, &batch->checkpoint)) {
		pieces_sent(batch, false);
		kwb_log(KWB_LOG_INFO, "batch",
		    "event=checkpoint_lost batch=%s error=not_sent",
		    batch->head.id);
	}
}
