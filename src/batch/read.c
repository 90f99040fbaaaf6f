/*
 * Reading results and bodies. Results lie in the store under their positions
 * and never change, so any node reads them there; an empty list is held back
 * until a result lands or the reader's wait is over.
 */
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch.h"

static void read_results(struct kwb_read *read);
static void read_object(struct kwb_read *read);

static void
read_done(struct kwb_read *read, int error)
{
	read->error = error;
	if (read->linked)
		TAILQ_REMOVE(&read->batches->reads, read, entry);
	read->linked = false;
	if (error != 0)
		kwb_log(KWB_LOG_INFO, "read",
		    "event=failed batch=%s item=%s after=%u error=%s",
		    read->batch, read->item, read->after,
		    kwb_error_name(error));
	read->on_done(read);
}

static void
read_again(struct kwb_read *read, int error)
{
	uint64_t now_ns = kwb_clock_now_ns();

	if (now_ns + KWB_READ_RETRY_NS >= read->deadline_ns) {
		read_done(read, error);
		return;
	}
	kwb_timer_arm(read->timer, now_ns + KWB_READ_RETRY_NS);
}

static void
text_answer(struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_read *read = call->context;
	const char *text = kwb_buf_text(&answer->object);

	if (answer->error != 0) {
		read_again(read,
		    answer->error == KWB_ERR_STORE_MISSING
			? KWB_ERR_STORE_UNKNOWN /* its row is there */
			: answer->error);
		return;
	}
	read->next = read->after + 1;
	read_done(read,
	    read->batches->env->forward->dialect->write_results(
		&text, 1, read->total, read->next, &read->answer));
}

/* One result that is too long for a row: it comes alone. */
static void
read_text(struct kwb_read *read, const char *name)
{
	struct kwb_store *store = read->batches->env->store;
	int code;

	read->call.on_done = text_answer;
	code = store->ops->object_get(store, name, &read->call);
	if (code != 0)
		read_again(read, code);
}

static void
results_send(struct kwb_read *read, const struct kwb_store_answer *answer)
{
	const struct kwb_dialect *dialect =
	    read->batches->env->forward->dialect;
	const char **results = calloc(answer->rows_count + 1, sizeof(char *));
	size_t bytes = 0;
	uint32_t count = 0;
	int code = KWB_ERR_MEMORY;

	for (; results != NULL && count < answer->rows_count; count++) {
		if (strtoul(answer->rows[count].key, NULL, 10) !=
		    read->after + count) {
			kwb_log(KWB_LOG_ERROR, "read",
			    "event=position_missing batch=%s position=%u",
			    read->batch, read->after + count);
			break;
		}
		bytes += answer->rows[count].value_bytes;
		if (count > 0 && bytes > KWB_RESULTS_MAX_BYTES)
			break;
		if (answer->rows[count].value[0] == OBJECT_MARK) {
			if (count > 0)
				break;
			free(results);
			read_text(read, answer->rows[0].value + 1);
			return;
		}
		results[count] = answer->rows[count].value;
	}
	read->next = read->after + count;
	if (results != NULL)
		code = dialect->write_results(
		    results, count, read->total, read->next, &read->answer);
	free(results);
	read_done(read, code);
}

static void
results_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_read *read = call->context;

	if (answer->error != 0) {
		read_again(read, answer->error);
		return;
	}
	if (answer->rows_count > 0 || read->after >= read->total ||
	    kwb_clock_now_ns() + KWB_READ_POLL_NS >= read->wait_deadline_ns) {
		results_send(read, answer);
		return;
	}
	kwb_timer_arm(read->timer, kwb_clock_now_ns() + KWB_READ_POLL_NS);
}

static void
read_results(struct kwb_read *read)
{
	struct kwb_store *store = read->batches->env->store;
	char from[POSITION_DIGITS + 8];
	struct kwb_range range = {.table = TABLE_RESULTS,
	    .part = read->batch,
	    .from = from,
	    .limit = KWB_RESULTS_MAX};
	int code;

	if (!read->linked) {
		TAILQ_INSERT_TAIL(&read->batches->reads, read, entry);
		read->linked = true;
	}
	snprintf(from, sizeof(from), "%0*u", POSITION_DIGITS, read->after);
	read->call.on_done = results_answer;
	code = store->ops->range(store, &range, &read->call);
	if (code != 0)
		read_again(read, code);
}

static void
head_answer(struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_read *read = call->context;
	struct kwb_batch_head head;

	if (answer->error != 0) {
		read_again(read, answer->error);
		return;
	}
	if (answer->rows_count == 0) {
		read_done(read, KWB_ERR_STORE_MISSING);
		return;
	}
	if (kwb_batch_head_parse(&head, &answer->rows[0]) != 0) {
		read_done(read, KWB_ERR_STORE_VALUE);
		return;
	}
	heads_put(read->batches, &head);
	if (sweep_is_due(read->batches, &head)) {
		read_done(read, KWB_ERR_STORE_MISSING);
		return;
	}
	read->total = head.total;
	read->head_read = true;
	if (read->item[0] != '\0')
		read_object(read);
	else
		read_results(read);
}

/* Asks the store itself: only that makes "no such batch" certain. */
static void
read_head(struct kwb_read *read)
{
	struct kwb_store *store = read->batches->env->store;
	char to[KWB_KEY_MAX_BYTES + 1];
	struct kwb_range range = {
	    .table = TABLE_HEADS, .part = "", .from = read->batch, .to = to};
	int code;

	snprintf(to, sizeof(to), "%s\x01", read->batch);
	read->call.on_done = head_answer;
	code = store->ops->range(store, &range, &read->call);
	if (code != 0)
		read_again(read, code);
}

static int
item_body(const struct kwb_batch_spec *spec, struct kwb_read *read)
{
	uint32_t i;

	for (i = 0; i < spec->items_count; i++)
		if (strcmp(spec->items[i].id, read->item) == 0)
			return kwb_buf_add(&read->answer, spec->items[i].body,
			    spec->items[i].body_bytes);
	return KWB_ERR_STORE_MISSING;
}

static void
object_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_read *read = call->context;
	struct kwb_batch_spec spec;
	int code;

	if (answer->error != 0) {
		read_again(read,
		    answer->error == KWB_ERR_STORE_MISSING
			? KWB_ERR_STORE_UNKNOWN /* its head is there */
			: answer->error);
		return;
	}
	code = read->batches->env->forward->dialect->read_batch(
	    kwb_buf_text(&answer->object), answer->object.used_bytes, &spec);
	if (code == 0) {
		code = item_body(&spec, read);
		kwb_batch_spec_finish(&spec);
	}
	read_done(read, code);
}

static void
read_object(struct kwb_read *read)
{
	struct kwb_store *store = read->batches->env->store;
	const struct kwb_batch *batch = batch_find(read->batches, read->batch);
	char name[KWB_KEY_MAX_BYTES + 8];
	int code;

	if (batch != NULL && batch->runs != NULL) {
		read_done(read, item_body(&batch->spec, read));
		return;
	}
	object_name(name, sizeof(name), read->batch);
	read->call.on_done = object_answer;
	code = store->ops->object_get(store, name, &read->call);
	if (code != 0)
		read_again(read, code);
}

static void
read_step(struct kwb_read *read)
{
	if (!read->head_read)
		read_head(read);
	else if (read->item[0] != '\0')
		read_object(read);
	else
		read_results(read);
}

static void
read_time(int fd, short what, void *context)
{
	(void)fd;
	(void)what;
	read_step(context);
}

void
kwb_read_start(struct kwb_read *read)
{
	const struct kwb_batch_env *env = read->batches->env;
	const struct kwb_batch_head *head =
	    kwb_batches_head(read->batches, read->batch);

	read->call.context = read;
	read->timer = kwb_timer_new(env->base, read_time, read);
	if (read->timer == NULL) {
		read_done(read, KWB_ERR_MEMORY);
		return;
	}
	if (head != NULL && !sweep_is_due(read->batches, head)) {
		read->total = head->total;
		read->head_read = true;
	}
	read_step(read);
}

void
kwb_read_finish(struct kwb_read *read)
{
	kwb_store_cancel(read->batches->env->store, &read->call);
	if (read->linked)
		TAILQ_REMOVE(&read->batches->reads, read, entry);
	read->linked = false;
	if (read->timer != NULL)
		event_free(read->timer);
	read->timer = NULL;
	kwb_buf_finish(&read->answer);
}

void
reads_wake(struct kwb_batches *batches, const char *batch)
{
	struct kwb_read *read;

	TAILQ_FOREACH (read, &batches->reads, entry)
		if (strcmp(read->batch, batch) == 0 &&
		    read->call.pending == NULL)
			kwb_timer_arm(read->timer, 0);
}
