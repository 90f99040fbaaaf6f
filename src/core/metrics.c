/*
 * Counters of the process, printed in the usual text exposition format.
 */
#include <stdatomic.h>

#include "kwb.h"

static const char *const names[KWB_METRIC_COUNT] = {
    [KWB_METRIC_RAN] = "kwb_requests_ran_total",
    [KWB_METRIC_NOT_RUN] = "kwb_requests_not_run_total",
    [KWB_METRIC_UNKNOWN] = "kwb_requests_unknown_total",
    [KWB_METRIC_RETRIES] = "kwb_retries_total",
    [KWB_METRIC_HEDGES] = "kwb_hedges_total",
    [KWB_METRIC_RESUMES] = "kwb_resumes_total",
    [KWB_METRIC_SAMPLES] = "kwb_samples_delivered_total",
    [KWB_METRIC_STALE] = "kwb_samples_stale_total",
    [KWB_METRIC_TOKENS] = "kwb_tokens_total",
    [KWB_METRIC_TOKENS_WASTED] = "kwb_tokens_wasted_total",
    [KWB_METRIC_FENCED] = "kwb_refused_fenced_total",
    [KWB_METRIC_STALE_LISTS] = "kwb_refused_stale_lists_total",
    [KWB_METRIC_SWAPS] = "kwb_weight_swaps_total",
    [KWB_METRIC_SWAP_FAILURES] = "kwb_weight_swap_failures_total",
    [KWB_METRIC_LINKS_LOST] = "kwb_links_lost_total",
    [KWB_METRIC_CONTROL_BYTES] = "kwb_control_bytes_total",
    [KWB_METRIC_LISTS_REVISION] = "kwb_lists_revision",
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

void
kwb_metrics_print(struct kwb_buf *out)
{
	unsigned i;

	for (i = 0; i < KWB_METRIC_COUNT; i++)
		kwb_buf_printf(out, "%s %llu\n", names[i],
		    (unsigned long long)kwb_metric_get(i));
}
