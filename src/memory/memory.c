/*
 * The account of memory and descriptors, and the rule of who gives way.
 */
#include <string.h>

#include "kwb.h"
#include "kwb_memory.h"

#define MB (1024u * 1024u)

/* Each use is guaranteed this part of the budget. */
static uint64_t
guaranteed_bytes(const struct kwb_memory *memory)
{
	return memory->budget_bytes / KWB_MEMORY_GUARANTEE_DIVISOR;
}

void
kwb_memory_init(struct kwb_memory *memory, uint32_t limit_mb)
{
	uint64_t limit_bytes = (uint64_t)limit_mb * MB;

	memset(memory, 0, sizeof(*memory));
	memory->budget_bytes = limit_bytes / KWB_MEMORY_BUDGET_MIN_DIVISOR;
	if (limit_bytes > memory->budget_bytes + KWB_MEMORY_RESERVE_BYTES)
		memory->budget_bytes = limit_bytes - KWB_MEMORY_RESERVE_BYTES;
}

uint64_t
kwb_memory_used_bytes(const struct kwb_memory *memory)
{
	uint64_t sum = 0;
	unsigned i;

	for (i = 0; i < KWB_MEMORY_USES; i++)
		sum += memory->used_bytes[i];
	return sum;
}

/* Bytes that a use may still take. */
static uint64_t
room_bytes(const struct kwb_memory *memory, enum kwb_memory_use use,
    uint64_t wanted_bytes)
{
	uint64_t taken = memory->used_bytes[use];
	unsigned i;

	for (i = 0; i < KWB_MEMORY_USES; i++)
		if (i != (unsigned)use)
			taken +=
			    memory->used_bytes[i] > guaranteed_bytes(memory)
			    ? memory->used_bytes[i]
			    : guaranteed_bytes(memory);
	if (wanted_bytes > KWB_SMALL_BODY_BYTES)
		taken += memory->budget_bytes / KWB_MEMORY_SMALL_DIVISOR;
	return memory->budget_bytes > taken ? memory->budget_bytes - taken : 0;
}

bool
kwb_memory_can_ever_take(const struct kwb_memory *memory, uint64_t bytes)
{
	const struct kwb_memory empty = {.budget_bytes = memory->budget_bytes};

	return bytes <= room_bytes(&empty, KWB_MEMORY_CALLS, bytes);
}

bool
kwb_memory_take(
    struct kwb_memory *memory, enum kwb_memory_use use, uint64_t bytes)
{
	if (bytes > room_bytes(memory, use, bytes))
		return false;
	memory->used_bytes[use] += bytes;
	return true;
}

void
kwb_memory_charge(
    struct kwb_memory *memory, enum kwb_memory_use use, uint64_t bytes)
{
	memory->used_bytes[use] += bytes;
}

void
kwb_memory_release(
    struct kwb_memory *memory, enum kwb_memory_use use, uint64_t bytes)
{
	memory->used_bytes[use] -= bytes;
}

bool
kwb_memory_is_over(const struct kwb_memory *memory)
{
	return kwb_memory_used_bytes(memory) > memory->budget_bytes;
}

bool
kwb_memory_is_critical(const struct kwb_memory *memory)
{
	return kwb_memory_used_bytes(memory) >
	    memory->budget_bytes + guaranteed_bytes(memory);
}

bool
kwb_holder_is_stalled(const struct kwb_holder *holder, uint64_t now_ns)
{
	return !holder->is_protected && holder->bytes > 0 &&
	    now_ns - holder->progress_ns >= KWB_HOLDER_STALL_NS;
}

bool
kwb_holder_yields_before(const struct kwb_holder *a, const struct kwb_holder *b)
{
	if (a->is_protected != b->is_protected)
		return b->is_protected;
	if (a->is_idle != b->is_idle)
		return a->is_idle;
	return a->progress_ns < b->progress_ns;
}

struct kwb_socket_shares
kwb_socket_shares_of(uint32_t limit, uint64_t kernel_limit)
{
	struct kwb_socket_shares shares;
	uint32_t sockets = limit / 2;

	if (limit > KWB_FDS_FOR_FILES + sockets / 2)
		sockets = limit - KWB_FDS_FOR_FILES;
	if (kernel_limit < sockets + (uint64_t)KWB_FDS_OWN)
		sockets = kernel_limit > 2 * KWB_FDS_OWN
		    ? (uint32_t)kernel_limit - KWB_FDS_OWN
		    : KWB_FDS_OWN;
	shares.callers = sockets * 3 / 8;
	shares.upstreams = sockets * 3 / 8;
	shares.checks =
	    sockets / KWB_CHECK_SOCKETS_DIVISOR < KWB_CHECK_CALLERS_MAX
	    ? sockets / KWB_CHECK_SOCKETS_DIVISOR + 1
	    : KWB_CHECK_CALLERS_MAX;
	shares.relay_pairs =
	    sockets / KWB_RELAY_SOCKETS_DIVISOR < KWB_RELAY_PAIRS_MAX
	    ? sockets / KWB_RELAY_SOCKETS_DIVISOR
	    : KWB_RELAY_PAIRS_MAX;
	return shares;
}
