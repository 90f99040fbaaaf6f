/*
 * A session: a small deployment under load while faults come and go, judged
 * by what the stand-ins and the clients saw.
 */
#ifndef KWB_TESTS_SESSION_H
#define KWB_TESTS_SESSION_H

#include <stdatomic.h>

#include "world.h"

#define SESSION_ORDERS_MAX 4096
#define SESSION_REASONS_MAX 16

struct session;

/* A fault: how it comes and how it goes. The index picks its target. */
struct fault {
	const char *name;
	void (*come)(struct session *session, unsigned index);
	void (*go)(struct session *session, unsigned index);
	uint32_t hold_ms;
	bool planned;	    /* no request may be cut off */
	const char *leaver; /* "llm" or "shop": upstream without new work */
};

extern const struct fault session_faults[];
extern const unsigned session_faults_count;

enum order_fate { ORDER_NONE, ORDER_RAN, ORDER_NOT_RUN, ORDER_UNKNOWN };

struct order_record {
	char body[48];
	enum order_fate fate;
};

struct session {
	struct world world;
	uint64_t seed;
	_Atomic bool stopping;
	_Atomic bool faulty; /* a fault is present */
	bool planned;
	bool platform_out;
	uint64_t vms_readable_ns; /* since then the list of VMs can be read */
	unsigned frozen_entry;	  /* number of an entry that can't answer; 0 */

	pthread_mutex_t lock;
	struct order_record orders[SESSION_ORDERS_MAX];
	unsigned orders_count;
	unsigned answers;
	unsigned wrong_answers;
	unsigned cut_off;
	unsigned hung;
	unsigned refused;
	unsigned steps;
	unsigned samples;
	unsigned doubled;
	unsigned wrong;
	unsigned stale;
	unsigned incomplete;
	unsigned over_allowance;
	unsigned reverted;
	uint64_t good_since_ns; /* first step or order done after healing */
	uint64_t healed_ns;
	uint64_t step_after_ns;
	uint64_t order_after_ns;
	uint64_t trainer_version;

	unsigned reasons_count;
	char reasons[SESSION_REASONS_MAX][160];
};

bool session_run(struct session *session, const struct fault *first,
    const struct fault *second, uint64_t seed, uint16_t base_port);
void session_fail(struct session *session, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
