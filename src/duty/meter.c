/*
 * Counts what this node's callers use, by window and workspace, and writes the
 * counts to the store. A row is written under its own revision, and a write
 * without an answer is repeated with the same value, so that no count is lost
 * or doubled by an answer that is lost or a write that is applied late.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kwb_node.h"

/* Load: up to 50 writes a second of all nodes, one a second of a small fleet.
 */
uint64_t
kwb_usage_write_delay_ns(uint32_t nodes, uint32_t window_ms)
{
	uint64_t delay_ns = nodes * KWB_USAGE_WRITE_NS_PER_NODE;

	if (delay_ns < KWB_USAGE_WRITE_MIN_NS)
		delay_ns = KWB_USAGE_WRITE_MIN_NS;
	if (delay_ns > window_ms * KWB_MS_NS)
		delay_ns = window_ms * KWB_MS_NS;
	return delay_ns;
}

/* Load: all nodes write at a window's end; a partition takes 200 a second. */
uint64_t
kwb_usage_final_spread_ns(uint32_t nodes)
{
	uint64_t spread_ns = nodes * KWB_USAGE_FINAL_NS_PER_NODE;

	return spread_ns < KWB_USAGE_FINAL_MAX_NS ? spread_ns
						  : KWB_USAGE_FINAL_MAX_NS;
}

void
kwb_usage_meter_init(struct kwb_usage_meter *meter, struct kwb_store *store,
    const struct kwb_node_settings *settings, uint64_t incarnation)
{
	uint32_t i;

	memset(meter, 0, sizeof(*meter));
	meter->store = store;
	meter->settings = settings;
	meter->incarnation = incarnation;
	for (i = 0; i < KWB_USAGE_WINDOWS_MAX; i++)
		kwb_usage_counts_init(&meter->windows[i].counts);
}

void
kwb_usage_meter_finish(struct kwb_usage_meter *meter)
{
	uint32_t i;

	kwb_store_cancel(meter->store, &meter->call);
	for (i = 0; i < KWB_USAGE_WINDOWS_MAX; i++)
		kwb_usage_counts_finish(&meter->windows[i].counts);
	kwb_buf_finish(&meter->written);
}

/* A slot for another row: one without unsaved counts, else the oldest. */
static struct kwb_usage_window *
meter_begin_row(struct kwb_usage_meter *meter, uint64_t number)
{
	struct kwb_usage_window *chosen = NULL;
	uint32_t i;

	for (i = 0; i < KWB_USAGE_WINDOWS_MAX; i++) {
		struct kwb_usage_window *window = &meter->windows[i];

		if (window == meter->writing)
			continue;
		if (chosen == NULL ||
		    (window->write_ns == 0 && chosen->write_ns != 0) ||
		    ((window->write_ns == 0) == (chosen->write_ns == 0) &&
			window->number < chosen->number))
			chosen = window;
	}
	if (chosen->write_ns != 0)
		kwb_log(KWB_LOG_ERROR, "usage",
		    "event=counts_dropped window=%llu workspaces=%u",
		    (unsigned long long)chosen->number, chosen->counts.count);
	kwb_usage_counts_finish(&chosen->counts);
	kwb_usage_counts_init(&chosen->counts);
	chosen->number = number;
	chosen->row_index = meter->rows_count++;
	chosen->row_revision = 0;
	chosen->write_ns = 0;
	return chosen;
}

/* The row that counts this workspace in that window. */
static struct kwb_usage_window *
meter_find_row(
    struct kwb_usage_meter *meter, uint64_t number, const char *workspace)
{
	struct kwb_usage_window *with_room = NULL;
	uint32_t i;

	for (i = 0; i < KWB_USAGE_WINDOWS_MAX; i++) {
		struct kwb_usage_window *window = &meter->windows[i];

		if (window->number != number)
			continue;
		if (kwb_index_get(&window->counts.index, workspace) != NULL)
			return window;
		if (window->counts.count < KWB_USAGE_ROW_ENTRIES_MAX &&
		    window->counts.text_bytes + strlen(workspace) <
			KWB_USAGE_ROW_MAX_BYTES)
			with_room = window;
	}
	return with_room ? with_room : meter_begin_row(meter, number);
}

/* After a delay, but soon after the window's end. */
static uint64_t
write_deadline_ns(const struct kwb_usage_meter *meter, uint64_t number)
{
	uint32_t window_ms = meter->settings->usage_window_ms;
	uint64_t now_ns = kwb_clock_now_ns();
	uint64_t now_ms = kwb_clock_wall_ms();
	uint64_t end_ms = (number + 1) * window_ms;
	uint64_t spread_ns = kwb_usage_final_spread_ns(meter->fleet_nodes);
	uint64_t final_ns = now_ns + (uint64_t)random() % (spread_ns + 1);
	uint64_t delayed_ns =
	    now_ns + kwb_usage_write_delay_ns(meter->fleet_nodes, window_ms);

	if (meter->is_stopping)
		return now_ns;
	if (end_ms > now_ms)
		final_ns += (end_ms - now_ms) * KWB_MS_NS;
	return delayed_ns < final_ns ? delayed_ns : final_ns;
}

void
kwb_usage_meter_count(
    struct kwb_usage_meter *meter, const char *workspace, uint64_t began_ms)
{
	uint64_t number = began_ms / meter->settings->usage_window_ms;
	struct kwb_usage_window *window =
	    meter_find_row(meter, number, workspace);

	if (kwb_usage_counts_add(&window->counts, workspace, 1) != 0) {
		kwb_log(KWB_LOG_ERROR, "usage",
		    "event=not_counted workspace=%s error=%s", workspace,
		    kwb_error_name(KWB_ERR_MEMORY));
		return;
	}
	kwb_metric_add(KWB_METRIC_USAGE_REQUESTS, 1);
	if (window->write_ns == 0)
		window->write_ns = write_deadline_ns(meter, number);
}

static void
meter_write(struct kwb_usage_meter *meter)
{
	struct kwb_usage_window *window = meter->writing;
	static struct kwb_tx tx;
	char key[KWB_KEY_MAX_BYTES];

	snprintf(key, sizeof(key), KWB_USAGE_WINDOW_FORMAT "/%s/%llu/%u",
	    (unsigned long long)window->number, meter->settings->node,
	    (unsigned long long)meter->incarnation, window->row_index);
	memset(&tx, 0, sizeof(tx));
	kwb_tx_expect(&tx, KWB_USAGE_TABLE, KWB_DUTY_PARTITION, key,
	    window->row_revision);
	kwb_tx_put(&tx, KWB_USAGE_TABLE, KWB_DUTY_PARTITION, key,
	    kwb_buf_text(&meter->written), meter->written.used_bytes);
	if (meter->store->ops->transact(meter->store, &tx, &meter->call) != 0)
		meter->retry_ns = kwb_clock_now_ns() + KWB_STORE_RETRY_NS;
}

/* Only this node writes the row, so a conflict shows an earlier try of it. */
static void
meter_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_usage_meter *meter = call->context;
	struct kwb_usage_window *window = meter->writing;

	if (answer->error != 0 && answer->error != KWB_ERR_STORE_CONFLICT) {
		meter->retry_ns = kwb_clock_now_ns() + KWB_STORE_RETRY_NS;
		return;
	}
	window->row_revision = answer->revision;
	if (answer->error != 0)
		window->row_revision =
		    answer->rows_count > 0 ? answer->rows[0].revision : 0;
	meter->writing = NULL;
	kwb_usage_meter_check(meter);
}

/* The row to write next, or NULL. */
static struct kwb_usage_window *
meter_find_due(struct kwb_usage_meter *meter)
{
	uint64_t now_ns = kwb_clock_now_ns();
	struct kwb_usage_window *due = NULL;
	uint32_t i;

	for (i = 0; i < KWB_USAGE_WINDOWS_MAX; i++) {
		struct kwb_usage_window *window = &meter->windows[i];

		if (window->write_ns != 0 &&
		    (window->write_ns <= now_ns || meter->is_stopping) &&
		    (due == NULL || window->number < due->number))
			due = window;
	}
	return due;
}

void
kwb_usage_meter_check(struct kwb_usage_meter *meter)
{
	if (meter->call.pending != NULL || kwb_clock_now_ns() < meter->retry_ns)
		return;
	if (meter->writing == NULL) {
		meter->writing = meter_find_due(meter);
		if (meter->writing == NULL)
			return;
		meter->call.on_done = meter_on_answer;
		meter->call.context = meter;
		meter->written.used_bytes = 0;
		if (kwb_usage_counts_encode(
			&meter->writing->counts, &meter->written) != 0) {
			meter->writing = NULL;
			meter->retry_ns =
			    kwb_clock_now_ns() + KWB_STORE_RETRY_NS;
			return;
		}
		meter->writing->write_ns = 0; /* later counts set it again */
	}
	meter_write(meter);
}
