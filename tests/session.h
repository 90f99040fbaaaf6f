/*
 * A session: a small deployment under load while faults come and go, judged
 * by what the stand-ins and the clients saw.
 */
#ifndef KWB_TESTS_SESSION_H
#define KWB_TESTS_SESSION_H

#include <stdatomic.h>

#include "world.h"

#define SESSION_ORDERS_MAX 4096
#define SESSION_FAILURES_MAX 16

struct session;

/* A fault: how it comes and how it goes. The index picks its target. */
struct fault {
	const char *name;
	void (*inject)(struct session *session, unsigned index);
	void (*heal)(struct session *session, unsigned index);
	uint32_t duration_ms;
	bool is_planned; /* no request may be cut off */
	const char
	    *leaving_pool; /* "llm" or "shop": upstream without new work */
};

extern const struct fault session_faults[];
extern const unsigned session_faults_count;

enum order_outcome { ORDER_NONE, ORDER_RAN, ORDER_NOT_RUN, ORDER_UNKNOWN };

struct order_record {
	char body[48];
	enum order_outcome outcome;
};

struct session {
	struct cluster cluster;
	uint64_t seed;
	_Atomic bool is_stopping;
	_Atomic bool has_fault; /* a fault is present */
	bool is_planned;
	bool is_platform_faulty;
	uint64_t
	    vms_readable_since_ns; /* since then the list of VMs can be read */
	unsigned frozen_entry;	   /* number of an entry that can't answer; 0 */

	pthread_mutex_t lock;
	struct order_record orders[SESSION_ORDERS_MAX];
	unsigned orders_count;
	unsigned answers;
	unsigned wrong_answers;
	unsigned cut_off_requests;
	unsigned hung_requests;
	unsigned refused_requests;
	unsigned complete_steps;
	unsigned samples;
	unsigned duplicate_samples;
	unsigned wrong_samples;
	unsigned stale_samples;
	unsigned incomplete_steps;
	unsigned rounds_over_allowance;
	unsigned revision_decreases;
	uint64_t good_since_ns; /* first step or order done after healing */
	uint64_t healed_ns;
	uint64_t step_recovery_ns;
	uint64_t order_recovery_ns;
	uint64_t trainer_version;

	unsigned failures_count;
	char failures[SESSION_FAILURES_MAX][160];
};

bool session_run(struct session *session, const struct fault *first,
    const struct fault *second, uint64_t seed, uint16_t base_port);
void session_fail(struct session *session, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
