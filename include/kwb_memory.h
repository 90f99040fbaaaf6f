/*
 * The account of a process's memory and descriptors, and who gives way when
 * either runs short. Pure functions: the clock is passed in.
 */
#ifndef KWB_MEMORY_H
#define KWB_MEMORY_H

#include <stdbool.h>
#include <stdint.h>

/* What bytes are used for. */
enum kwb_memory_use {
	KWB_MEMORY_CALLS,   /* bodies of requests that are forwarded */
	KWB_MEMORY_BATCHES, /* submissions, and items of running batches */
	KWB_MEMORY_ANSWERS, /* written for callers, not yet sent */
	KWB_MEMORY_USES
};

struct kwb_memory {
	uint64_t budget_bytes;
	uint64_t used_bytes[KWB_MEMORY_USES];
};

/* The budget of a process with that limit on its memory. */
void kwb_memory_init(struct kwb_memory *memory, uint32_t limit_mb);
uint64_t kwb_memory_used_bytes(const struct kwb_memory *memory);
/* Whether so many bytes fit when nothing else is in use. */
bool kwb_memory_can_ever_take(const struct kwb_memory *memory, uint64_t bytes);
/*
 * Takes bytes if they fit. Each use leaves the guaranteed parts of the others
 * free. Load: a crowd of large bodies, beside which small ones, submissions and
 * answers go on.
 */
bool kwb_memory_take(
    struct kwb_memory *memory, enum kwb_memory_use use, uint64_t bytes);
/* Counts bytes that are there already, even beyond the budget. */
void kwb_memory_charge(
    struct kwb_memory *memory, enum kwb_memory_use use, uint64_t bytes);
void kwb_memory_release(
    struct kwb_memory *memory, enum kwb_memory_use use, uint64_t bytes);
/* More is charged than the budget has. */
bool kwb_memory_is_over(const struct kwb_memory *memory);
/*
 * So much more that the process may not live until a client has stalled. Load:
 * many large answers that end at once for clients that don't read.
 */
bool kwb_memory_is_critical(const struct kwb_memory *memory);

/* A client whose bytes or connection may give way to others. */
struct kwb_holder {
	uint64_t bytes;	      /* that closing its connection would free */
	uint64_t progress_ns; /* when it last sent or read a good part */
	bool is_idle;	      /* between requests */
	bool is_protected;    /* waits for this process, or its request runs */
};

/*
 * Whether it holds bytes and makes no progress. Load: clients that stop just
 * short of a body's end, or don't read, and stay connected.
 */
bool kwb_holder_is_stalled(const struct kwb_holder *holder, uint64_t now_ns);
/*
 * Whether a gives way before b: idle ones first, then the longest without
 * progress. Load: more connections than descriptors.
 */
bool kwb_holder_yields_before(
    const struct kwb_holder *a, const struct kwb_holder *b);

/* How a process's sockets are shared out. */
struct kwb_socket_shares {
	uint32_t callers;
	uint32_t checks;    /* of readiness and metrics, each */
	uint32_t upstreams; /* connections to upstreams, idle ones included */
	uint32_t relay_pairs;
};

/* limit: of the settings; kernel_limit: of the process, all descriptors. */
struct kwb_socket_shares kwb_socket_shares_of(
    uint32_t limit, uint64_t kernel_limit);

#endif
