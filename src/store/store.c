/*
 * Code that all implementations of the store share: when the store last
 * answered, its clock, and building transactions.
 */
#include <string.h>

#include "kwb_node.h"

#define PROBE_TABLE "leases" /* a small table that always exists */

void
kwb_store_cancel(struct kwb_store *store, struct kwb_store_call *call)
{
	if (call->pending != NULL)
		store->ops->cancel(store, call);
}

int
kwb_store_probe(struct kwb_store *store, struct kwb_store_call *call)
{
	struct kwb_range range = {.table = PROBE_TABLE, .part = "", .limit = 1};

	return store->ops->range(store, &range, call);
}

bool
kwb_store_has_answered(const struct kwb_store_answer *answer)
{
	return answer->error != KWB_ERR_STORE_REFUSED &&
	    answer->error != KWB_ERR_STORE_NO_ANSWER;
}

void
kwb_store_give_up(struct kwb_store *store, uint64_t before_ns)
{
	uint32_t count = store->ops->give_up(store, before_ns);

	kwb_log(KWB_LOG_INFO, "store",
	    "event=calls_given_up count=%u age_ms=%llu", count,
	    (unsigned long long)((kwb_clock_now_ns() - before_ns) / KWB_MS_NS));
}

void
kwb_store_record_answer(struct kwb_store *store,
    const struct kwb_store_answer *answer, bool is_relayed)
{
	uint64_t now_ns = kwb_clock_now_ns();

	store->calls_count++;
	if (!kwb_store_has_answered(answer)) {
		if (store->last_failure_ns <= store->last_answer_ns)
			kwb_log(KWB_LOG_WARN, "store",
			    "event=dependency_lost error=%s",
			    kwb_error_name(answer->error));
		store->last_failure_ns = now_ns;
		return;
	}
	if (store->last_failure_ns > store->last_answer_ns &&
	    now_ns - store->last_answer_ns >= KWB_STORE_OUTAGE_NS)
		store->recovered_ns = now_ns;
	if (store->last_failure_ns > store->last_answer_ns)
		kwb_log(KWB_LOG_INFO, "store",
		    "event=dependency_regained after_ms=%llu",
		    (unsigned long long)((now_ns - store->last_answer_ns) /
			KWB_MS_NS));
	store->last_answer_ns = now_ns;
	if (is_relayed)
		store->relay_answer_ns = now_ns;
	else
		store->direct_answer_ns = now_ns;
	if (answer->now_ms != 0)
		store->clock_offset_ms = (int64_t)answer->now_ms -
		    (int64_t)(kwb_boot_now_ns() / KWB_MS_NS);
}

uint64_t
kwb_store_now_ms(const struct kwb_store *store)
{
	if (store->last_answer_ns == 0)
		return 0;
	return (uint64_t)((int64_t)(kwb_boot_now_ns() / KWB_MS_NS) +
	    store->clock_offset_ms);
}

static void
tx_row_set(struct kwb_tx_row *row, const char *table, const char *part,
    const char *key)
{
	memset(row, 0, sizeof(*row));
	row->table = table;
	row->part = part;
	row->key = key;
}

void
kwb_tx_expect(struct kwb_tx *tx, const char *table, const char *part,
    const char *key, uint64_t revision)
{
	struct kwb_tx_row *row = &tx->expect[tx->expect_count++];

	tx_row_set(row, table, part, key);
	row->revision = revision;
}

void
kwb_tx_put(struct kwb_tx *tx, const char *table, const char *part,
    const char *key, const char *value, size_t value_bytes)
{
	struct kwb_tx_row *row = &tx->put[tx->put_count++];

	tx_row_set(row, table, part, key);
	row->value = value;
	row->value_bytes = value_bytes;
}

void
kwb_tx_remove(
    struct kwb_tx *tx, const char *table, const char *part, const char *key)
{
	tx_row_set(&tx->remove[tx->remove_count++], table, part, key);
}
