/*
 * Second copies of calls to the store. A connection, or a partition of the
 * store, may stop answering while others still answer. Without a second copy, a
 * call sent there waits for its timeout even if the fault ends long before.
 */
#include <string.h>

#include "kwb_node.h"

static bool
is_same_row(const struct kwb_tx_row *one, const struct kwb_tx_row *other)
{
	return strcmp(one->table, other->table) == 0 &&
	    strcmp(one->part, other->part) == 0 &&
	    strcmp(one->key, other->key) == 0;
}

enum kwb_resend_policy
kwb_tx_resend_policy(const struct kwb_tx *tx)
{
	uint32_t i;

	if (tx->expect_count == 0)
		return KWB_RESEND_NEVER;
	for (i = 0; i < tx->put_count; i++)
		if (is_same_row(&tx->expect[0], &tx->put[i]))
			return KWB_RESEND_WRITE;
	/* Removing a missing row leaves the condition true for each copy. */
	for (i = 0; i < tx->remove_count && tx->expect[0].revision != 0; i++)
		if (is_same_row(&tx->expect[0], &tx->remove[i]))
			return KWB_RESEND_WRITE;
	return KWB_RESEND_NEVER;
}

bool
kwb_resend_is_due(
    enum kwb_resend_policy policy, uint64_t sent_ns, uint64_t now_ns)
{
	switch (policy) {
	case KWB_RESEND_READ:
		return now_ns >= sent_ns + KWB_READ_RESEND_NS;
	case KWB_RESEND_WRITE:
		return now_ns >= sent_ns + KWB_WRITE_RESEND_NS;
	case KWB_RESEND_NEVER:
		break;
	}
	return false;
}

bool
kwb_resend_ends_call(enum kwb_resend_policy policy, uint32_t copies,
    uint32_t open_copies, int *error)
{
	const struct kwb_store_answer answer = {.error = *error};

	if (*error == 0 || copies < 2)
		return true;
	if (!kwb_store_has_answered(&answer) && open_copies > 0)
		return false;
	/* The error may stem from another copy that has taken effect. */
	if (policy == KWB_RESEND_WRITE)
		*error = KWB_ERR_STORE_NO_ANSWER;
	return true;
}
