/*
 * Reports of usage: the holder of the lease reads what the nodes have counted,
 * decides a window's report by one write to the store, and then sends it. Only
 * a report that is stored is sent, so that each holder sends the same one. A
 * report's row stays until the write of a later one, as the next holder may
 * have to send it again.
 */
#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kwb_node.h"

#define ROWS_INITIAL_CAPACITY 64
#define REMOVED_ROWS_MAX (KWB_TX_ROWS_MAX - 4) /* beside what is written */

static void
report_free(
    struct kwb_usage_reporter *reporter, struct kwb_usage_report *report)
{
	TAILQ_REMOVE(&reporter->reports, report, entry);
	kwb_usage_counts_finish(&report->counts);
	free(report);
}

static void
rows_clear(struct kwb_usage_reporter *reporter)
{
	uint32_t i;

	for (i = 0; i < reporter->rows_count; i++)
		free(reporter->rows[i].text);
	reporter->rows_count = 0;
}

/* Ends all that belongs to a tenure of the lease. */
static void
reporter_reset(struct kwb_usage_reporter *reporter)
{
	struct kwb_usage_report *report = TAILQ_FIRST(&reporter->reports);
	struct kwb_usage_report *next;

	kwb_store_cancel(reporter->store, &reporter->call);
	if (reporter->sending != NULL)
		kwb_duty_caller_cancel(reporter->caller);
	reporter->sending = NULL;
	for (; report != NULL; report = next) {
		next = TAILQ_NEXT(report, entry);
		kwb_usage_counts_finish(&report->counts);
		free(report);
	}
	TAILQ_INIT(&reporter->reports);
	rows_clear(reporter);
	reporter->next_key[0] = '\0';
	reporter->deciding_window = 0;
	reporter->sent_window = 0;
	reporter->read_ns = 0;
}

void
kwb_usage_reporter_init(struct kwb_usage_reporter *reporter,
    struct kwb_store *store, const struct kwb_node_settings *settings,
    const struct kwb_duty_codec *codec, struct kwb_duty_caller *caller)
{
	memset(reporter, 0, sizeof(*reporter));
	reporter->store = store;
	reporter->settings = settings;
	reporter->codec = codec;
	reporter->caller = caller;
	TAILQ_INIT(&reporter->reports);
}

void
kwb_usage_reporter_finish(struct kwb_usage_reporter *reporter)
{
	reporter_reset(reporter);
	free(reporter->rows);
}

/* Adds a report to those to be sent, in order, unless it is there. */
static void
reporter_add_report(struct kwb_usage_reporter *reporter, uint64_t window,
    const char *text, size_t text_bytes)
{
	struct kwb_usage_report *report;
	struct kwb_usage_report *next;

	if (window <= reporter->sent_window)
		return;
	TAILQ_FOREACH (next, &reporter->reports, entry) {
		if (next->window == window)
			return;
		if (next->window > window)
			break;
	}
	report = calloc(1, sizeof(*report));
	if (report == NULL)
		return; /* until the next read */
	report->window = window;
	kwb_usage_counts_init(&report->counts);
	if (next != NULL)
		TAILQ_INSERT_BEFORE(next, report, entry);
	else
		TAILQ_INSERT_TAIL(&reporter->reports, report, entry);
	if (kwb_usage_counts_decode(&report->counts, text, text_bytes) != 0) {
		kwb_log(KWB_LOG_ERROR, "usage",
		    "event=report_unreadable window=%llu",
		    (unsigned long long)window);
		report_free(reporter, report);
	}
}

/* ---- Sending ------------------------------------------------------------- */

static void
log_sent(const struct kwb_usage_reporter *reporter,
    const struct kwb_usage_report *report)
{
	uint32_t window_ms = reporter->settings->usage_window_ms;
	uint64_t now_ms = kwb_clock_wall_ms();
	uint64_t end_ms = (report->window + 1) * window_ms;
	bool is_late = now_ms > end_ms + reporter->settings->usage_late_ms;

	kwb_metric_add(KWB_METRIC_USAGE_REPORTS, 1);
	if (is_late)
		kwb_metric_add(KWB_METRIC_USAGE_REPORTS_LATE, 1);
	kwb_log(is_late ? KWB_LOG_WARN : KWB_LOG_INFO, "usage",
	    "event=reported window=%llu holder=%s fence=%llu workspaces=%u "
	    "failures=%u after_ms=%lld late=%d",
	    (unsigned long long)report->window, reporter->settings->node,
	    (unsigned long long)reporter->fence, report->counts.count,
	    report->failures, (long long)(now_ms - end_ms), is_late);
}

static void reporter_send(struct kwb_usage_reporter *reporter);

static void
send_on_done(void *context, enum kwb_duty_outcome outcome)
{
	struct kwb_usage_reporter *reporter = context;
	struct kwb_usage_report *report = reporter->sending;

	reporter->sending = NULL;
	report->failures += outcome != KWB_DUTY_DONE;
	report->retry_ns =
	    kwb_clock_now_ns() + kwb_duty_backoff_ns(report->failures);
	if (outcome == KWB_DUTY_DONE) {
		log_sent(reporter, report);
	} else if (outcome == KWB_DUTY_REJECTED ||
	    report->failures >= KWB_DUTY_TRIES_MAX) {
		kwb_log(KWB_LOG_ERROR, "usage",
		    "event=report_given_up window=%llu holder=%s fence=%llu "
		    "failures=%u",
		    (unsigned long long)report->window,
		    reporter->settings->node,
		    (unsigned long long)reporter->fence, report->failures);
	} else {
		return;
	}
	reporter->sent_window = report->window;
	report_free(reporter, report);
	reporter_send(reporter);
}

/* Sends the oldest report, so that one mark tells which were sent. */
static void
reporter_send(struct kwb_usage_reporter *reporter)
{
	struct kwb_usage_report *report = TAILQ_FIRST(&reporter->reports);
	struct kwb_duty_stamp stamp;
	struct evbuffer *out;
	int code = KWB_ERR_MEMORY;

	if (report == NULL || reporter->sending != NULL ||
	    kwb_clock_now_ns() < report->retry_ns ||
	    !kwb_duty_caller_is_free(reporter->caller) ||
	    !kwb_duty_caller_stamp(reporter->caller, &stamp) ||
	    stamp.fence != reporter->fence)
		return;
	out = evbuffer_new();
	if (out != NULL)
		code = reporter->codec->write_usage(
		    &stamp, report->window, &report->counts, out);
	if (code == 0)
		code = kwb_duty_caller_start(
		    reporter->caller, out, send_on_done, reporter);
	if (code == 0)
		reporter->sending = report;
	else
		kwb_log(KWB_LOG_ERROR, "usage",
		    "event=not_sent window=%llu error=%s",
		    (unsigned long long)report->window, kwb_error_name(code));
	if (out != NULL)
		evbuffer_free(out);
}

/* ---- Deciding ------------------------------------------------------------ */

/* Whether a row is of no more use once that window is decided. */
static bool
row_is_old(const struct kwb_usage_reporter *reporter,
    const struct kwb_usage_row *row, uint64_t decided_window)
{
	return row->window <=
	    (row->is_report ? reporter->sent_window : decided_window);
}

/* Adds the old rows to the transaction, as many as it takes. */
static uint32_t
tx_remove_old(struct kwb_usage_reporter *reporter, struct kwb_tx *tx,
    uint64_t decided_window)
{
	uint32_t i;

	for (i = 0; i < reporter->rows_count; i++)
		if (tx->remove_count < REMOVED_ROWS_MAX &&
		    row_is_old(reporter, &reporter->rows[i], decided_window))
			kwb_tx_remove(tx, KWB_USAGE_TABLE, KWB_DUTY_PARTITION,
			    reporter->rows[i].key);
	return tx->remove_count;
}

/* Sums the parts of a window; a row takes what fits. */
static int
encode_report(const struct kwb_usage_reporter *reporter, uint64_t window,
    struct kwb_buf *text)
{
	struct kwb_usage_counts sum;
	const struct kwb_usage_row *row;
	uint32_t i;
	int code = 0;

	kwb_usage_counts_init(&sum);
	for (i = 0; i < reporter->rows_count && code == 0; i++) {
		row = &reporter->rows[i];
		if (row->is_report || row->window != window)
			continue;
		code =
		    kwb_usage_counts_decode(&sum, row->text, row->text_bytes);
		if (code == KWB_ERR_STORE_UNREADABLE) {
			kwb_log(KWB_LOG_ERROR, "usage",
			    "event=part_unreadable key=%s", row->key);
			code = 0;
		}
	}
	if (code == 0)
		code = kwb_usage_counts_encode(&sum, text);
	kwb_usage_counts_finish(&sum);
	if (code == 0 && text->used_bytes > KWB_STORE_VALUE_MAX_BYTES) {
		kwb_log(KWB_LOG_ERROR, "usage",
		    "event=report_cut window=%llu bytes=%zu",
		    (unsigned long long)window, text->used_bytes);
		text->used_bytes = KWB_STORE_VALUE_MAX_BYTES;
		while (text->data[text->used_bytes - 1] != '\n')
			text->used_bytes--;
	}
	return code;
}

/* A write has ended: the table is read again, whatever was done. */
static void
write_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_usage_reporter *reporter = call->context;

	kwb_log(KWB_LOG_INFO, "usage",
	    "event=%s window=%llu holder=%s fence=%llu error=%s",
	    reporter->deciding_window != 0 ? "decided" : "swept",
	    (unsigned long long)reporter->deciding_window,
	    reporter->settings->node, (unsigned long long)reporter->fence,
	    kwb_error_name(answer->error));
	reporter->read_ns = kwb_clock_now_ns();
	if (!kwb_store_has_answered(answer))
		reporter->read_ns += KWB_STORE_RETRY_NS;
	kwb_usage_reporter_check(reporter);
}

static int
reporter_write(struct kwb_usage_reporter *reporter, const struct kwb_tx *tx)
{
	reporter->call.on_done = write_on_answer;
	reporter->call.context = reporter;
	return reporter->store->ops->transact(
	    reporter->store, tx, &reporter->call);
}

/* Decides a window's report, or only that the windows before it have none. */
static void
reporter_decide(
    struct kwb_usage_reporter *reporter, uint64_t window, bool is_first)
{
	static struct kwb_tx tx;
	char report_key[KWB_KEY_MAX_BYTES];
	char floor[32];
	struct kwb_buf text;
	int code;

	kwb_buf_init(&text);
	code = encode_report(reporter, window, &text);
	snprintf(report_key, sizeof(report_key),
	    KWB_USAGE_REPORT_PREFIX KWB_USAGE_WINDOW_FORMAT,
	    (unsigned long long)window);
	snprintf(floor, sizeof(floor), "%llu",
	    (unsigned long long)window - is_first);
	memset(&tx, 0, sizeof(tx));
	kwb_tx_expect(&tx, KWB_USAGE_TABLE, KWB_DUTY_PARTITION,
	    KWB_USAGE_FLOOR_KEY, reporter->floor_revision);
	kwb_tx_put(&tx, KWB_USAGE_TABLE, KWB_DUTY_PARTITION,
	    KWB_USAGE_FLOOR_KEY, floor, strlen(floor));
	if (!is_first) {
		kwb_tx_put(&tx, KWB_USAGE_TABLE, KWB_DUTY_PARTITION, report_key,
		    kwb_buf_text(&text), text.used_bytes);
		tx_remove_old(reporter, &tx, window);
	}
	reporter->deciding_window = window;
	if (code == 0)
		code = reporter_write(reporter, &tx);
	if (code != 0)
		kwb_log(KWB_LOG_ERROR, "usage",
		    "event=not_decided window=%llu error=%s",
		    (unsigned long long)window, kwb_error_name(code));
	kwb_buf_finish(&text);
}

/* Removes old rows beyond those that the write of a report has removed. */
static void
reporter_sweep(struct kwb_usage_reporter *reporter)
{
	static struct kwb_tx tx;

	memset(&tx, 0, sizeof(tx));
	reporter->deciding_window = 0;
	if (reporter->has_floor &&
	    tx_remove_old(reporter, &tx, reporter->floor) > 0 &&
	    reporter_write(reporter, &tx) != 0)
		kwb_log(KWB_LOG_WARN, "usage", "event=not_swept");
}

/* What to do after a whole read. */
static void
reporter_plan(struct kwb_usage_reporter *reporter)
{
	const struct kwb_node_settings *settings = reporter->settings;
	uint64_t recovered_ns = reporter->store->recovered_ns;
	uint64_t now_ns = kwb_clock_now_ns();
	struct kwb_usage_plan_input input = {.now_ms = kwb_clock_wall_ms(),
	    .window_ms = settings->usage_window_ms,
	    .late_ms = settings->usage_late_ms,
	    .has_floor = reporter->has_floor,
	    .floor = reporter->floor};
	struct kwb_usage_plan plan;
	uint32_t i;

	if (recovered_ns != 0)
		input.recovered_ms =
		    input.now_ms - (now_ns - recovered_ns) / KWB_MS_NS;
	for (i = 0; i < reporter->rows_count; i++)
		if (!reporter->rows[i].is_report &&
		    !row_is_old(
			reporter, &reporter->rows[i], reporter->floor) &&
		    (input.oldest_part == 0 ||
			reporter->rows[i].window < input.oldest_part))
			input.oldest_part = reporter->rows[i].window;
	kwb_usage_plan(&input, &plan);
	if (plan.decide_ms <= input.now_ms) {
		reporter->read_ns = now_ns + KWB_STORE_RETRY_NS;
		reporter_decide(reporter, plan.window, plan.is_first);
		return;
	}
	reporter->read_ns =
	    now_ns + (plan.decide_ms - input.now_ms) * KWB_MS_NS;
	reporter_sweep(reporter);
}

/* ---- Reading ------------------------------------------------------------- */

static void reporter_read(struct kwb_usage_reporter *reporter);

/* Takes over one row as read; KWB_ERR_MEMORY on failure. */
static int
reporter_add_row(
    struct kwb_usage_reporter *reporter, const struct kwb_row *from)
{
	size_t prefix_bytes = strlen(KWB_USAGE_REPORT_PREFIX);
	uint32_t capacity = reporter->rows_capacity;
	struct kwb_usage_row *row;

	if (strcmp(from->key, KWB_USAGE_FLOOR_KEY) == 0) {
		reporter->has_floor = true;
		reporter->floor = strtoull(from->value, NULL, 10);
		reporter->floor_revision = from->revision;
		return 0;
	}
	if (reporter->rows_count == capacity) {
		capacity = capacity == 0 ? ROWS_INITIAL_CAPACITY : 2 * capacity;
		row = realloc(reporter->rows, capacity * sizeof(*row));
		if (row == NULL)
			return KWB_ERR_MEMORY;
		reporter->rows = row;
		reporter->rows_capacity = capacity;
	}
	row = &reporter->rows[reporter->rows_count];
	memset(row, 0, sizeof(*row));
	kwb_text_copy(row->key, sizeof(row->key), from->key);
	row->is_report =
	    strncmp(row->key, KWB_USAGE_REPORT_PREFIX, prefix_bytes) == 0;
	row->window =
	    strtoull(row->key + (row->is_report ? prefix_bytes : 0), NULL, 10);
	row->text = malloc(from->value_bytes + 1);
	if (row->text == NULL)
		return KWB_ERR_MEMORY;
	memcpy(row->text, from->value, from->value_bytes);
	row->text[from->value_bytes] = '\0';
	row->text_bytes = from->value_bytes;
	reporter->rows_count++;
	return 0;
}

static void
read_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_usage_reporter *reporter = call->context;
	int code = answer->error;
	uint32_t i;

	for (i = 0; i < answer->rows_count && code == 0; i++)
		code = reporter_add_row(reporter, &answer->rows[i]);
	if (code != 0) {
		reporter->next_key[0] = '\0';
		reporter->read_ns = kwb_clock_now_ns() + KWB_STORE_RETRY_NS;
		return;
	}
	if (answer->more && answer->rows_count > 0) {
		snprintf(reporter->next_key, sizeof(reporter->next_key),
		    "%s\x01", answer->rows[answer->rows_count - 1].key);
		reporter_read(reporter);
		return;
	}
	reporter->next_key[0] = '\0';
	for (i = 0; i < reporter->rows_count; i++)
		if (reporter->rows[i].is_report)
			reporter_add_report(reporter, reporter->rows[i].window,
			    reporter->rows[i].text,
			    reporter->rows[i].text_bytes);
	reporter_plan(reporter);
	reporter_send(reporter);
}

/* Reads the table, or its next page. */
static void
reporter_read(struct kwb_usage_reporter *reporter)
{
	bool is_first = reporter->next_key[0] == '\0';
	struct kwb_range range = {.table = KWB_USAGE_TABLE,
	    .part = KWB_DUTY_PARTITION,
	    .from = is_first ? NULL : reporter->next_key};

	if (is_first) {
		rows_clear(reporter);
		reporter->has_floor = false;
		reporter->floor = 0;
		reporter->floor_revision = 0;
	}
	reporter->call.on_done = read_on_answer;
	reporter->call.context = reporter;
	if (reporter->store->ops->range(
		reporter->store, &range, &reporter->call) != 0) {
		reporter->next_key[0] = '\0';
		reporter->read_ns = kwb_clock_now_ns() + KWB_STORE_RETRY_NS;
	}
}

void
kwb_usage_reporter_check(struct kwb_usage_reporter *reporter)
{
	uint64_t fence = kwb_store_lease_fence(reporter->caller->lease);

	if (fence != reporter->fence)
		reporter_reset(reporter);
	reporter->fence = fence;
	if (fence == 0)
		return;
	reporter_send(reporter);
	if (reporter->call.pending == NULL &&
	    kwb_clock_now_ns() >= reporter->read_ns)
		reporter_read(reporter);
}
