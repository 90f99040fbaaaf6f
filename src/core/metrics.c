/*
 * Counters, gauges and latency histograms, printed in the text format of
 * Prometheus.
 */
#include <stdatomic.h>

#include "kwb.h"

static const char *const names[KWB_METRIC_COUNT] = {
    [KWB_METRIC_REQUESTS_RAN] = "kwb_requests_ran_total",
    [KWB_METRIC_REQUESTS_NOT_RUN] = "kwb_requests_not_run_total",
    [KWB_METRIC_REQUESTS_UNKNOWN] = "kwb_requests_unknown_total",
    [KWB_METRIC_RETRIES] = "kwb_retries_total",
    [KWB_METRIC_HEDGES] = "kwb_hedges_total",
    [KWB_METRIC_RESUMES] = "kwb_resumes_total",
    [KWB_METRIC_SAMPLES_DELIVERED] = "kwb_samples_delivered_total",
    [KWB_METRIC_SAMPLES_STALE] = "kwb_samples_stale_total",
    [KWB_METRIC_TOKENS] = "kwb_tokens_total",
    [KWB_METRIC_TOKENS_WASTED] = "kwb_tokens_wasted_total",
    [KWB_METRIC_REFUSED_FENCED] = "kwb_refused_fenced_total",
    [KWB_METRIC_REFUSED_STALE_LISTS] = "kwb_refused_stale_lists_total",
    [KWB_METRIC_WEIGHT_SWAPS] = "kwb_weight_swaps_total",
    [KWB_METRIC_WEIGHT_SWAP_FAILURES] = "kwb_weight_swap_failures_total",
    [KWB_METRIC_LINKS_LOST] = "kwb_links_lost_total",
    [KWB_METRIC_CONTROL_BYTES] = "kwb_control_bytes_total",
    [KWB_METRIC_STORE_DETOURS] = "kwb_store_detours_total",
    [KWB_METRIC_UPSTREAMS_LEAVING] = "kwb_upstreams_leaving_total",
    [KWB_METRIC_CONFIGS_REFUSED] = "kwb_configs_refused_total",
    [KWB_METRIC_KEYS_UNKNOWN] = "kwb_keys_unknown_total",
    [KWB_METRIC_KEYS_UNPROVED] = "kwb_keys_unproved_total",
    [KWB_METRIC_RELAYED_BYTES] = "kwb_relayed_bytes_total",
    [KWB_METRIC_USAGE_REQUESTS] = "kwb_usage_requests_total",
    [KWB_METRIC_USAGE_REPORTS] = "kwb_usage_reports_total",
    [KWB_METRIC_USAGE_REPORTS_LATE] = "kwb_usage_reports_late_total",
    [KWB_METRIC_SCALE_ORDERS] = "kwb_scale_orders_total",
    [KWB_METRIC_DUTY_CALLS_REFUSED] = "kwb_duty_calls_refused_total",
    [KWB_METRIC_BODIES_REFUSED] = "kwb_bodies_refused_total",
    [KWB_METRIC_HOLDERS_CLOSED] = "kwb_holders_closed_total",
    [KWB_METRIC_CALLERS_REFUSED] = "kwb_callers_refused_total",
    [KWB_METRIC_MOVES] = "kwb_moves_total",
    [KWB_METRIC_MOVES_WON_MS] = "kwb_moves_won_ms_total",
    [KWB_METRIC_MOVES_LOST_MS] = "kwb_moves_lost_ms_total",
    [KWB_METRIC_CONNS_FIRST] = "kwb_conns_first_total",
    [KWB_METRIC_CONNS_BUSY] = "kwb_conns_busy_total",
    [KWB_METRIC_CONNS_NOT_REPEATABLE] = "kwb_conns_not_repeatable_total",
    [KWB_METRIC_CONNS_SAME_ID] = "kwb_conns_same_id_total",
    [KWB_METRIC_CONNS_CUT] = "kwb_conns_after_cut_total",
    [KWB_METRIC_CONNS_CLOSED] = "kwb_conns_after_close_total",
    [KWB_METRIC_CONNS_RESET] = "kwb_conns_after_reset_total",
    [KWB_METRIC_CONNS_IDLE] = "kwb_conns_after_idle_total",
    [KWB_METRIC_LATE_ANSWERS] = "kwb_late_answers_total",
    [KWB_METRIC_ROOM_QUEUED] = "kwb_room_queued_total",
    [KWB_METRIC_ROOM_REFUSED] = "kwb_room_refused_total",
    [KWB_METRIC_MEMORY_CALLS] = "kwb_memory_calls_bytes",
    [KWB_METRIC_MEMORY_BATCHES] = "kwb_memory_batches_bytes",
    [KWB_METRIC_MEMORY_ANSWERS] = "kwb_memory_answers_bytes",
    [KWB_METRIC_CALLERS_OPEN] = "kwb_callers_open",
    [KWB_METRIC_LISTS_REVISION] = "kwb_lists_revision",
    [KWB_METRIC_CONFIG_LEFT_OUT] = "kwb_config_parts_left_out",
};
static _Atomic uint64_t values[KWB_METRIC_COUNT];

void
kwb_metric_add(enum kwb_metric metric, uint64_t amount)
{
	atomic_fetch_add_explicit(
	    &values[metric], amount, memory_order_relaxed);
}

void
kwb_metric_set(enum kwb_metric metric, uint64_t value)
{
	atomic_store_explicit(&values[metric], value, memory_order_relaxed);
}

uint64_t
kwb_metric_get(enum kwb_metric metric)
{
	return atomic_load_explicit(&values[metric], memory_order_relaxed);
}

#define BOUNDED_BUCKETS 12 /* with an upper bound */

/* Upper bounds of the buckets; a further bucket takes what is above them. */
static const uint32_t bucket_bounds_ms[BOUNDED_BUCKETS] = {
    5, 10, 25, 50, 100, 150, 250, 500, 1000, 2500, 5000, 10000};
static const char *const histogram_names[KWB_HISTOGRAM_COUNT] = {
    [KWB_HISTOGRAM_CALLER] = "kwb_caller_seconds",
    [KWB_HISTOGRAM_UPSTREAM] = "kwb_upstream_seconds",
    [KWB_HISTOGRAM_ITEM] = "kwb_item_seconds",
    [KWB_HISTOGRAM_STORE] = "kwb_store_seconds",
    [KWB_HISTOGRAM_ROOM] = "kwb_room_wait_seconds",
    [KWB_HISTOGRAM_RETURN] = "kwb_room_return_seconds",
};
/* Latencies in each bucket; those below it are added when printing. */
static _Atomic uint64_t buckets[KWB_HISTOGRAM_COUNT][BOUNDED_BUCKETS + 1];
static _Atomic uint64_t sums_ns[KWB_HISTOGRAM_COUNT];

void
kwb_histogram_observe(enum kwb_histogram histogram, uint64_t latency_ns)
{
	unsigned i;

	for (i = 0; i < BOUNDED_BUCKETS; i++)
		if (latency_ns <= bucket_bounds_ms[i] * KWB_MS_NS)
			break;
	atomic_fetch_add_explicit(
	    &buckets[histogram][i], 1, memory_order_relaxed);
	atomic_fetch_add_explicit(
	    &sums_ns[histogram], latency_ns, memory_order_relaxed);
}

static void
histogram_print(enum kwb_histogram histogram, struct kwb_buf *out)
{
	const char *name = histogram_names[histogram];
	uint64_t count = 0;
	unsigned i;

	kwb_buf_printf(out, "# TYPE %s histogram\n", name);
	for (i = 0; i < BOUNDED_BUCKETS; i++) {
		count += atomic_load_explicit(
		    &buckets[histogram][i], memory_order_relaxed);
		kwb_buf_printf(out, "%s_bucket{le=\"%.3f\"} %llu\n", name,
		    bucket_bounds_ms[i] / 1000.0, (unsigned long long)count);
	}
	count += atomic_load_explicit(
	    &buckets[histogram][BOUNDED_BUCKETS], memory_order_relaxed);
	kwb_buf_printf(out,
	    "%s_bucket{le=\"+Inf\"} %llu\n%s_sum %.3f\n%s_count %llu\n", name,
	    (unsigned long long)count, name,
	    (double)atomic_load_explicit(
		&sums_ns[histogram], memory_order_relaxed) /
		1e9,
	    name, (unsigned long long)count);
}

void
kwb_metrics_print(struct kwb_buf *out)
{
	unsigned i;

	for (i = 0; i < KWB_METRIC_COUNT; i++)
		kwb_buf_printf(out, "# TYPE %s %s\n%s %llu\n", names[i],
		    i >= KWB_METRIC_MEMORY_CALLS ? "gauge" : "counter",
		    names[i], (unsigned long long)kwb_metric_get(i));
	for (i = 0; i < KWB_HISTOGRAM_COUNT; i++)
		histogram_print(i, out);
}
