/*
 * Ends a batch: a conditional write of its record, retried until its outcome
 * is certain or the deadline has passed.
 */
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch.h"

static void end_write(struct kwb_batch_end *end);
static void end_read(struct kwb_batch_end *end);

static void
end_finish(struct kwb_batch_end *end, int error)
{
	end->error = error;
	kwb_log(KWB_LOG_INFO, "end", "event=%s batch=%s error=%s",
	    error == 0 ? "ended" : "not_ended", end->record.id,
	    kwb_error_name(error));
	end->on_done(end);
}

/* Reads the record again after a pause, unless the deadline comes first. */
static void
end_retry(struct kwb_batch_end *end, int error)
{
	uint64_t now_ns = kwb_clock_now_ns();

	if (now_ns + KWB_BATCH_RETRY_NS >= end->deadline_ns) {
		end_finish(end, error);
		return;
	}
	end->reading = true;
	kwb_timer_arm(end->timer, now_ns + KWB_BATCH_RETRY_NS);
}

static void
write_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch_end *end = call->context;

	if (answer->error == 0) {
		end->record.revision = answer->revision;
		records_update(end->batches, &end->record);
		end_finish(end, 0);
	} else if (answer->error == KWB_ERR_STORE_CONFLICT) {
		end_read(end);
	} else {
		end_retry(end, answer->error);
	}
}

static void
read_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch_end *end = call->context;

	if (answer->error != 0) {
		end_retry(end, answer->error);
		return;
	}
	if (answer->rows_count == 0) {
		end_finish(end, KWB_ERR_STORE_MISSING);
		return;
	}
	kwb_batch_record_finish(&end->record);
	if (kwb_batch_record_parse(&end->record, &answer->rows[0]) != 0) {
		end_finish(end, KWB_ERR_STORE_UNREADABLE);
		return;
	}
	records_update(end->batches, &end->record);
	if (!kwb_access_is_owner(end->record.workspace, end->workspace)) {
		end_finish(end, KWB_ERR_STORE_MISSING);
		return;
	}
	if (end->record.ended)
		end_finish(end, 0);
	else
		end_write(end);
}

static void
end_read(struct kwb_batch_end *end)
{
	struct kwb_store *store = end->batches->env->store;
	char to[KWB_KEY_MAX_BYTES + 1];
	struct kwb_range range = {.table = TABLE_RECORDS,
	    .part = "",
	    .from = end->record.id,
	    .to = to};
	int code;

	snprintf(to, sizeof(to), "%s\x01", end->record.id);
	end->call.on_done = read_on_answer;
	code = store->ops->range(store, &range, &end->call);
	if (code != 0)
		end_retry(end, code);
}

static void
end_write(struct kwb_batch_end *end)
{
	static struct kwb_tx tx;
	struct kwb_store *store = end->batches->env->store;
	struct kwb_buf value;
	int code;

	end->record.ended = true;
	kwb_buf_init(&value);
	memset(&tx, 0, sizeof(tx));
	record_add_to_tx(&end->record, &tx, &value);
	end->call.on_done = write_on_answer;
	code = store->ops->transact(store, &tx, &end->call);
	kwb_buf_finish(&value);
	if (code != 0)
		end_retry(end, code);
}

static void
end_on_timer(int fd, short what, void *context)
{
	(void)fd;
	(void)what;
	end_read(context);
}

void
kwb_batch_end_start(struct kwb_batch_end *end)
{
	const struct kwb_batch_env *env = end->batches->env;
	const struct kwb_batch_record *record =
	    kwb_batches_find_record(end->batches, end->record.id);

	end->call.context = end;
	end->timer = kwb_timer_new(env->base, end_on_timer, end);
	if (end->timer == NULL) {
		end_finish(end, KWB_ERR_MEMORY);
		return;
	}
	/* Another workspace's batch takes as long as one that does not exist.
	 */
	if (record != NULL &&
	    !kwb_access_is_owner(record->workspace, end->workspace))
		record = NULL;
	if (record != NULL && record->ended) {
		end_finish(end, 0);
		return;
	}
	if (record == NULL) {
		end_read(end);
		return;
	}
	if (kwb_batch_record_copy(&end->record, record) != 0) {
		end_finish(end, KWB_ERR_MEMORY);
		return;
	}
	end_write(end);
}

void
kwb_batch_end_finish(struct kwb_batch_end *end)
{
	kwb_store_cancel(end->batches->env->store, &end->call);
	if (end->timer != NULL)
		event_free(end->timer);
	end->timer = NULL;
	kwb_batch_record_finish(&end->record);
	free(end->workspace);
	end->workspace = NULL;
}
