/*
 * Ending a batch: a conditional write of its head, tried until it is certain.
 */
#include <event2/event.h>
#include <stdio.h>
#include <string.h>

#include "batch.h"

static void end_write(struct kwb_end *end);
static void end_read(struct kwb_end *end);

static void
end_done(struct kwb_end *end, int error)
{
	end->error = error;
	kwb_log(KWB_LOG_INFO, "end", "event=%s batch=%s error=%s",
	    error == 0 ? "ended" : "not_ended", end->head.id,
	    kwb_error_name(error));
	end->on_done(end);
}

static void
end_again(struct kwb_end *end, int error)
{
	uint64_t now_ns = kwb_clock_now_ns();

	if (now_ns + KWB_BATCH_RETRY_NS >= end->deadline_ns) {
		end_done(end, error);
		return;
	}
	end->reading = true;
	kwb_timer_arm(end->timer, now_ns + KWB_BATCH_RETRY_NS);
}

static void
write_answer(struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_end *end = call->context;

	if (answer->error == 0) {
		end->head.revision = answer->revision;
		heads_put(end->batches, &end->head);
		end_done(end, 0);
	} else if (answer->error == KWB_ERR_STORE_CONFLICT) {
		end_read(end);
	} else {
		end_again(end, answer->error);
	}
}

static void
read_answer(struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_end *end = call->context;

	if (answer->error != 0) {
		end_again(end, answer->error);
		return;
	}
	if (answer->rows_count == 0) {
		end_done(end, KWB_ERR_STORE_MISSING);
		return;
	}
	if (kwb_batch_head_parse(&end->head, &answer->rows[0]) != 0) {
		end_done(end, KWB_ERR_STORE_VALUE);
		return;
	}
	heads_put(end->batches, &end->head);
	if (end->head.ended)
		end_done(end, 0);
	else
		end_write(end);
}

static void
end_read(struct kwb_end *end)
{
	struct kwb_store *store = end->batches->env->store;
	char to[KWB_KEY_MAX_BYTES + 1];
	struct kwb_range range = {
	    .table = TABLE_HEADS, .part = "", .from = end->head.id, .to = to};
	int code;

	snprintf(to, sizeof(to), "%s\x01", end->head.id);
	end->call.on_done = read_answer;
	code = store->ops->range(store, &range, &end->call);
	if (code != 0)
		end_again(end, code);
}

static void
end_write(struct kwb_end *end)
{
	static struct kwb_tx tx;
	struct kwb_store *store = end->batches->env->store;
	struct kwb_buf value;
	int code;

	end->head.ended = true;
	kwb_buf_init(&value);
	memset(&tx, 0, sizeof(tx));
	head_write(&end->head, &tx, &value);
	end->call.on_done = write_answer;
	code = store->ops->transact(store, &tx, &end->call);
	kwb_buf_finish(&value);
	if (code != 0)
		end_again(end, code);
}

static void
end_time(int fd, short what, void *context)
{
	(void)fd;
	(void)what;
	end_read(context);
}

void
kwb_end_start(struct kwb_end *end)
{
	const struct kwb_batch_env *env = end->batches->env;
	const struct kwb_batch_head *head =
	    kwb_batches_head(end->batches, end->head.id);

	end->call.context = end;
	end->timer = kwb_timer_new(env->base, end_time, end);
	if (end->timer == NULL) {
		end_done(end, KWB_ERR_MEMORY);
		return;
	}
	if (head != NULL && head->ended) {
		end_done(end, 0);
		return;
	}
	if (head == NULL) {
		end_read(end);
		return;
	}
	end->head = *head;
	end_write(end);
}

void
kwb_end_finish(struct kwb_end *end)
{
	kwb_store_cancel(end->batches->env->store, &end->call);
	if (end->timer != NULL)
		event_free(end->timer);
	end->timer = NULL;
}
