/*
 * Reads results and item bodies. Results are stored by position and never
 * change, so any node can read them. While there is no new result, an answer
 * is held back until one is listed or the reader's wait is over.
 */
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch.h"

static void read_results(struct kwb_batch_read *read);
static void read_item_body(struct kwb_batch_read *read);

static void
read_finish(struct kwb_batch_read *read, int error)
{
	read->error = error;
	if (read->in_list)
		TAILQ_REMOVE(&read->batches->reads, read, entry);
	read->in_list = false;
	if (error != 0)
		kwb_log(KWB_LOG_INFO, "read",
		    "event=failed batch=%s item=%s after=%u error=%s",
		    read->batch, read->item, read->after,
		    kwb_error_name(error));
	read->on_done(read);
}

static void
read_retry(struct kwb_batch_read *read, int error)
{
	uint64_t now_ns = kwb_clock_now_ns();

	if (now_ns + KWB_READ_RETRY_NS >= read->deadline_ns) {
		read_finish(read, error);
		return;
	}
	kwb_timer_arm(read->timer, now_ns + KWB_READ_RETRY_NS);
}

static void
result_object_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch_read *read = call->context;
	const char *text = kwb_buf_text(&answer->object);

	if (answer->error != 0) {
		read_retry(read,
		    answer->error == KWB_ERR_STORE_MISSING
			? KWB_ERR_STORE_NO_ANSWER /* a row names it */
			: answer->error);
		return;
	}
	read->next = read->after + 1;
	read_finish(read,
	    read->batches->env->forward->codec->write_results_page(
		&text, 1, read->total, read->next, &read->answer));
}

/* Reads one result that is too long for a row; it is sent alone. */
static void
read_result_object(struct kwb_batch_read *read, const char *name)
{
	struct kwb_store *store = read->batches->env->store;
	int code;

	read->call.on_done = result_object_on_answer;
	code = store->ops->object_get(store, name, &read->call);
	if (code != 0)
		read_retry(read, code);
}

static void
results_format(
    struct kwb_batch_read *read, const struct kwb_store_answer *answer)
{
	const struct kwb_message_codec *codec =
	    read->batches->env->forward->codec;
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
		if (answer->rows[count].value[0] == OBJECT_PREFIX) {
			if (count > 0)
				break;
			free(results);
			read_result_object(read, answer->rows[0].value + 1);
			return;
		}
		results[count] = answer->rows[count].value;
	}
	read->next = read->after + count;
	if (results != NULL)
		code = codec->write_results_page(
		    results, count, read->total, read->next, &read->answer);
	free(results);
	read_finish(read, code);
}

static void
results_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch_read *read = call->context;

	if (answer->error != 0) {
		read_retry(read, answer->error);
		return;
	}
	if (answer->rows_count > 0 || read->after >= read->total ||
	    kwb_clock_now_ns() + KWB_READ_POLL_NS >= read->wait_deadline_ns) {
		results_format(read, answer);
		return;
	}
	kwb_timer_arm(read->timer, kwb_clock_now_ns() + KWB_READ_POLL_NS);
}

static void
read_results(struct kwb_batch_read *read)
{
	struct kwb_store *store = read->batches->env->store;
	char from[POSITION_DIGITS + 8];
	struct kwb_range range = {.table = TABLE_RESULTS,
	    .part = read->batch,
	    .from = from,
	    .limit = KWB_RESULTS_MAX};
	int code;

	if (!read->in_list) {
		TAILQ_INSERT_TAIL(&read->batches->reads, read, entry);
		read->in_list = true;
	}
	snprintf(from, sizeof(from), "%0*u", POSITION_DIGITS, read->after);
	read->call.on_done = results_on_answer;
	code = store->ops->range(store, &range, &read->call);
	if (code != 0)
		read_retry(read, code);
}

/*
 * Another workspace's batch is missing, like one that has expired. Takes over
 * what is needed of it otherwise.
 */
static int
take_record(struct kwb_batch_read *read, const struct kwb_batch_record *record)
{
	if (batch_is_expired(read->batches, record) ||
	    !kwb_access_is_owner(record->workspace, read->workspace))
		return KWB_ERR_STORE_MISSING;
	if (kwb_text_replace(&read->owner, record->workspace) != 0)
		return KWB_ERR_MEMORY;
	read->total = record->total;
	read->record_known = true;
	return 0;
}

static void
record_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch_read *read = call->context;
	struct kwb_batch_record record;
	int code;

	if (answer->error != 0) {
		read_retry(read, answer->error);
		return;
	}
	if (answer->rows_count == 0) {
		read_finish(read, KWB_ERR_STORE_MISSING);
		return;
	}
	if (kwb_batch_record_parse(&record, &answer->rows[0]) != 0) {
		read_finish(read, KWB_ERR_STORE_UNREADABLE);
		return;
	}
	records_update(read->batches, &record);
	code = take_record(read, &record);
	kwb_batch_record_finish(&record);
	if (code != 0) {
		read_finish(read, code);
		return;
	}
	if (read->item[0] != '\0')
		read_item_body(read);
	else
		read_results(read);
}

/* Asks the store: only its answer makes "no such batch" certain. */
static void
read_record(struct kwb_batch_read *read)
{
	struct kwb_store *store = read->batches->env->store;
	char to[KWB_KEY_MAX_BYTES + 1];
	struct kwb_range range = {
	    .table = TABLE_RECORDS, .part = "", .from = read->batch, .to = to};
	int code;

	snprintf(to, sizeof(to), "%s\x01", read->batch);
	read->call.on_done = record_on_answer;
	code = store->ops->range(store, &range, &read->call);
	if (code != 0)
		read_retry(read, code);
}

static int
add_item_body(const struct kwb_batch_spec *spec, struct kwb_batch_read *read)
{
	uint32_t i;

	for (i = 0; i < spec->items_count; i++)
		if (strcmp(spec->items[i].id, read->item) == 0)
			return kwb_buf_add(&read->answer, spec->items[i].body,
			    spec->items[i].body_bytes);
	return KWB_ERR_STORE_MISSING;
}

static void
submission_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch_read *read = call->context;
	struct kwb_batch_spec spec;
	int code;

	if (answer->error != 0) {
		read_retry(read,
		    answer->error == KWB_ERR_STORE_MISSING
			? KWB_ERR_STORE_NO_ANSWER /* its record exists */
			: answer->error);
		return;
	}
	code = read->batches->env->forward->codec->parse_batch(
	    kwb_buf_text(&answer->object), answer->object.used_bytes, &spec);
	if (code == 0) {
		code = add_item_body(&spec, read);
		kwb_batch_spec_finish(&spec);
	}
	read_finish(read, code);
}

static void
read_item_body(struct kwb_batch_read *read)
{
	struct kwb_store *store = read->batches->env->store;
	const struct kwb_batch *batch = batch_find(read->batches, read->batch);
	char name[OBJECT_NAME_BYTES];
	int code;

	if (batch != NULL && batch->runs != NULL) {
		read_finish(read, add_item_body(&batch->spec, read));
		return;
	}
	batch_object_name(name, sizeof(name), read->owner, read->batch);
	read->call.on_done = submission_on_answer;
	code = store->ops->object_get(store, name, &read->call);
	if (code != 0)
		read_retry(read, code);
}

static void
read_step(struct kwb_batch_read *read)
{
	if (!read->record_known)
		read_record(read);
	else if (read->item[0] != '\0')
		read_item_body(read);
	else
		read_results(read);
}

static void
read_on_timer(int fd, short what, void *context)
{
	(void)fd;
	(void)what;
	read_step(context);
}

void
kwb_batch_read_start(struct kwb_batch_read *read)
{
	const struct kwb_batch_env *env = read->batches->env;
	const struct kwb_batch_record *record =
	    kwb_batches_find_record(read->batches, read->batch);

	read->call.context = read;
	read->timer = kwb_timer_new(env->base, read_on_timer, read);
	if (read->timer == NULL) {
		read_finish(read, KWB_ERR_MEMORY);
		return;
	}
	/* Another workspace's batch takes as long as one that does not exist.
	 */
	if (record != NULL)
		take_record(read, record);
	read_step(read);
}

void
kwb_batch_read_finish(struct kwb_batch_read *read)
{
	kwb_store_cancel(read->batches->env->store, &read->call);
	if (read->in_list)
		TAILQ_REMOVE(&read->batches->reads, read, entry);
	read->in_list = false;
	if (read->timer != NULL)
		event_free(read->timer);
	read->timer = NULL;
	kwb_buf_finish(&read->answer);
	free(read->workspace);
	free(read->owner);
	read->workspace = NULL;
	read->owner = NULL;
}

void
reads_wake(struct kwb_batches *batches, const char *batch)
{
	struct kwb_batch_read *read;

	TAILQ_FOREACH (read, &batches->reads, entry)
		if (strcmp(read->batch, batch) == 0 &&
		    read->call.pending == NULL)
			kwb_timer_arm(read->timer, 0);
}
