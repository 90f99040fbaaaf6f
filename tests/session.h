/*
 * Fault sessions: a test cluster runs under load while faults are injected and
 * healed. What its clients and fake upstreams saw decides whether it passed.
 */
#ifndef KWB_TESTS_SESSION_H
#define KWB_TESTS_SESSION_H

#include <stdatomic.h>

#include "world.h"

#define SESSION_ORDERS_MAX 4096
#define SESSION_FAILURES_MAX 16

struct session;

/* A fault that a session injects. The index selects the target process. */
struct fault {
	const char *name;
	void (*inject)(struct session *session, unsigned index);
	void (*heal)(struct session *session, unsigned index);
	uint32_t duration_ms; /* from injecting to healing */
	bool is_planned;      /* a planned stop: no request may be cut off */
	/* "llm" or "shop": the target's upstream must get no new requests. */
	const char *leaving_pool;
};

extern const struct fault session_faults[];
extern const unsigned session_faults_count;

/* What the entry answered of an order. */
enum order_outcome { ORDER_NONE, ORDER_RAN, ORDER_NOT_RUN, ORDER_UNKNOWN };

struct order_record {
	char body[48]; /* unique; the services write it to their journals */
	enum order_outcome outcome;
};

struct session {
	struct cluster cluster;
	uint64_t seed;
	_Atomic bool is_stopping; /* the worker threads must end */
	_Atomic bool has_fault;	  /* a fault is injected and not yet healed */
	bool is_planned;	  /* all faults are planned stops */
	bool is_platform_faulty;
	/* Since when agents can read the VM list and see a VM as missing. */
	uint64_t vms_readable_since_ns;
	unsigned frozen_entry; /* number of the entry that is stopped, or 0 */

	pthread_mutex_t lock; /* guards the results below */
	struct order_record orders[SESSION_ORDERS_MAX];
	unsigned orders_count;
	unsigned answers;	   /* complete answers to interactive calls */
	unsigned wrong_answers;	   /* wrong content, or no outcome header */
	unsigned cut_off_requests; /* incomplete although stops were planned */
	unsigned hung_requests;	   /* not answered within their timeout */
	unsigned refused_requests; /* answered with an error status */
	unsigned complete_steps;
	unsigned samples; /* received by the trainer */
	unsigned duplicate_samples;
	unsigned wrong_samples;
	unsigned stale_samples; /* older than the staleness bound */
	unsigned incomplete_steps;
	unsigned rounds_over_allowance; /* a plan ran more than its allowance */
	unsigned revision_decreases;	/* an entry went back to older lists */
	uint64_t good_since_ns;		/* not used */
	uint64_t healed_ns;		/* when the faults were healed, or 0 */
	uint64_t step_recovery_ns;  /* from healing to the first step done */
	uint64_t order_recovery_ns; /* from healing to the first order done */
	uint64_t trainer_version;   /* newest weight version of the trainer */

	unsigned failures_count;
	char failures[SESSION_FAILURES_MAX][160];
};

/*
 * Runs one session in a cluster of its own: load alone, faults, healing, load
 * alone. Without faults (NULL) the load alone is checked. Returns whether all
 * checks passed; session->failures says what did not.
 */
bool session_run(struct session *session, const struct fault *first,
    const struct fault *second, uint64_t seed);

/* Records a failed check; those beyond SESSION_FAILURES_MAX are dropped. */
void session_fail(struct session *session, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
