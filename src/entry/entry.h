/*
 * Internals of an entry: its peers (the agents that it connects to), its open
 * requests on their links, and the inboxes of the threads that await answers.
 */
#ifndef KWB_ENTRY_ENTRY_H
#define KWB_ENTRY_ENTRY_H

#include <stdatomic.h>

#include <sys/queue.h>

#include "kwb.h"
#include "../wire/wire.h"

struct mg_connection;
struct mg_context;

/* A plan's share of a peer and its use. */
struct peer_plan {
	char plan[KWB_NAME_MAX_BYTES];
	uint32_t units;		   /* requests it may run there */
	uint32_t own_in_flight;	   /* requests of this entry */
	uint32_t others_in_flight; /* of other entries, as last reported */
};

/* A model that a peer's upstream serves, as last reported. */
struct peer_model {
	char model[KWB_NAME_MAX_BYTES];
	uint64_t version; /* of its weights */
	bool swapping;	  /* loads new weights; nothing starts meanwhile */
};

/* An agent that the entry connects to; an empty vm marks an unused element. */
struct peer {
	char vm[KWB_NAME_MAX_BYTES];
	char failure_domain[KWB_NAME_MAX_BYTES];
	char pool[KWB_NAME_MAX_BYTES]; /* of agents that serve alike */
	struct kwb_address address;
	bool is_wanted;		 /* chosen to be connected to */
	bool listed_leaving;	 /* the VM list says so, or omits it */
	uint64_t link;		 /* id of the link to it, 0 for none */
	bool is_connected;	 /* its hello came on this link */
	uint64_t incarnation;	 /* start of the agent's process */
	uint64_t lists_revision; /* of the lists that it has */
	bool leaving;		 /* the agent says so */
	bool upstream_up;
	uint32_t slots;		    /* requests that run at a time, all plans */
	uint32_t own_in_flight;	    /* requests of this entry, all plans */
	uint32_t others_in_flight;  /* of other entries, as last reported */
	uint64_t next_reconnect_ns; /* no new link before */
	uint64_t reconnect_delay_ns; /* doubles with each try that fails */
	uint64_t tripped_until_ns;   /* not chosen before: it failed */
	uint64_t busy_until_ns;	     /* not chosen before: it was full */
	unsigned failures_count;     /* requests in a row that failed */
	unsigned models_count;
	struct peer_model models[KWB_MODELS_MAX];
	unsigned plans_count;
	struct peer_plan plans[KWB_PLANS_MAX];
};

/* Table of peers; a peer's index is the tag of its links. */
struct peers {
	pthread_mutex_t lock; /* of all fields of all peers */
	struct peer peers[KWB_PEERS_MAX];
};

/* A slot reserved at a peer, and the peer's state when it was chosen. */
struct target {
	int peer_index; /* in the table, -1 for none */
	char vm[KWB_NAME_MAX_BYTES];
	uint64_t link;
	uint64_t incarnation;
	uint64_t version; /* weights of the request's model */
	char plan[KWB_NAME_MAX_BYTES];
};

enum event_kind { EVENT_FRAME, EVENT_LINK_LOST };

/* What happened to an open request. */
struct event {
	STAILQ_ENTRY(event) next;
	enum event_kind kind;
	uint64_t request_id;
	void *owner;		 /* as given when it was opened */
	Kwb__Wire__Frame *frame; /* NULL when the link was lost */
};

STAILQ_HEAD(event_list, event);

/* Queue of events for the one thread that reads it. */
struct inbox {
	pthread_mutex_t lock;
	pthread_cond_t changed; /* an event was added */
	struct event_list events;
};

/* A request that was sent over a link and is still open. */
struct request {
	TAILQ_ENTRY(request) next;
	uint64_t id;	     /* unique in the process */
	uint64_t link;	     /* id of the link */
	void *owner;	     /* passed on in its events; may be NULL */
	struct inbox *inbox; /* gets its events */
};

TAILQ_HEAD(request_list, request);

struct registry_shard {
	pthread_mutex_t lock;
	struct request_list requests;
};

/* The open requests by id, in shards with a lock each. */
struct registry {
	_Atomic uint64_t next_id;
	struct registry_shard shards[KWB_SHARDS];
};

#define LEAD_DOMAINS_MAX 16 /* where one entry may lead a plan */

/* What an entry keeps for a plan until it stops. */
struct plan_state {
	char plan[KWB_NAME_MAX_BYTES];
	_Atomic uint32_t queue_length; /* completions that wait to start */
	struct kwb_retry_budget retry_budget;
	_Atomic uint64_t trainer_version; /* newest that a trainer gave */
	_Atomic uint64_t last_demand_ns;  /* last pull of a step; 0 for none */
	/* Failure domains where this entry leads; under plan_states_lock. */
	unsigned lead_domains_count;
	char lead_domains[LEAD_DOMAINS_MAX][KWB_NAME_MAX_BYTES];
};

struct kwb_entry {
	const struct kwb_entry_settings *settings;
	struct kwb_origin origin; /* goes into the keys that it makes */
	enum kwb_policy policy;
	struct kwb_platform platform;
	struct kwb_loop loop; /* event loop of the links to peers */
	struct peers peers;
	struct registry registry;
	struct mg_context *http; /* HTTP server */
	pthread_mutex_t plan_states_lock;
	struct plan_state plan_states[KWB_PLANS_MAX];
	unsigned plan_states_count;
	/* Written by membership_thread under vms_lock, which readers take. */
	struct kwb_vms *vms;
	_Atomic uint32_t vms_changes;	 /* counts its updates */
	_Atomic uint32_t demand_changes; /* counts changes of demand and lead */
	pthread_mutex_t vms_lock;
	_Atomic uint32_t active;	  /* HTTP requests for plans */
	_Atomic uint64_t last_request_ns; /* when the newest of these began */
	_Atomic uint64_t bodies_bytes;	  /* reserved for their bodies */
	_Atomic uint32_t active_pulls;	  /* streams of steps among them */
	_Atomic bool draining;	  /* /health fails; requests are still served */
	_Atomic bool stopping;	  /* tells the threads to end */
	_Atomic bool leading;	  /* any plan in any failure domain */
	_Atomic bool platform_up; /* it answered the last read of the lists */
	pthread_t membership_thread; /* lists, VM list, links to peers */
	pthread_t leader_thread;     /* weight swaps */
};

enum generation_state {
	GENERATION_PENDING, /* to be started, or to be resumed elsewhere */
	GENERATION_RUNNING, /* on the agent of its target */
	GENERATION_DONE	    /* all tokens are here */
};

/*
 * Tokens that a model generates for an interactive answer or a sample. The
 * texts that it points to belong to the caller and must outlive it.
 */
struct generation {
	enum generation_state state;
	char name[2 * KWB_NAME_MAX_BYTES]; /* its keys begin with it */
	char key[KWB_KEY_MAX_BYTES];	   /* a new one for each start */
	const char *prompt;
	const char *model;
	const char *plan;
	uint32_t max_tokens;
	uint64_t seed;
	uint32_t priority;    /* 1 for interactive answers, 0 for samples */
	uint64_t min_version; /* oldest weights allowed */
	uint64_t deadline_ns;
	uint64_t slack_deadline_ns; /* earliest first, of one priority */
	Kwb__Wire__Slot *slot;	    /* place of a sample in its step, or NULL */
	struct inbox *inbox;	    /* gets its events */
	uint64_t request_id;	    /* id while running */
	struct target target;
	int avoid_peer;		/* index of the last that failed, -1 for none */
	unsigned starts_count;	/* so far */
	uint64_t last_token_ns; /* arrival of tokens, or the start */
	struct kwb_tokens tokens; /* kept when it is interrupted */
	int error;		  /* of the last interruption; 0 when done */
};

/* ../member/peers.c: the table of peers, and slots reserved there. */
void peers_init(struct peers *peers);
void peers_finish(struct peers *peers);
int peers_pick(struct kwb_entry *entry, const struct kwb_route_query *query,
    const char *plan, const char *model, const char *key,
    struct target *target);
int peers_reserve(struct kwb_entry *entry, const char *vm, const char *plan,
    const char *model, struct target *target);
void peers_release(struct kwb_entry *entry, struct target *target, int error);
void peers_update(struct kwb_entry *entry, const struct kwb_vms *vms);
void peers_reconnect(struct kwb_entry *entry);
void peers_push_lists(struct kwb_entry *entry);
unsigned peers_in_pool(struct kwb_entry *entry, const char *pool,
    struct target *targets, unsigned targets_max);
uint32_t peers_idle_units(
    struct kwb_entry *entry, const char *plan, int except);
void peers_print_json(struct kwb_entry *entry, struct kwb_buf *out);

/* ../member/peer_link.c: what happens on the links to peers. */
extern const struct kwb_link_ops peer_link_ops;

/* ../call/inbox.c: open requests, and events for the threads that wait. */
void inbox_init(struct inbox *inbox);
void inbox_finish(struct inbox *inbox);
struct event *inbox_wait(struct inbox *inbox, uint64_t deadline_ns);
void inbox_event_free(struct event *event);
void registry_init(struct registry *registry);
void registry_finish(struct registry *registry);
uint64_t registry_open_request(
    struct registry *registry, struct inbox *inbox, uint64_t link, void *owner);
void registry_close_request(struct registry *registry, uint64_t id);
void registry_deliver(
    struct registry *registry, uint64_t id, Kwb__Wire__Frame *frame);
void registry_link_lost(struct registry *registry, uint64_t link);

/* ../call/generation.c: a generation on an agent, resumed after failures. */
void generation_init(struct generation *generation, struct inbox *inbox);
void generation_finish(struct kwb_entry *entry, struct generation *generation);
int generation_start(struct kwb_entry *entry, struct generation *generation);
int generation_attach(struct kwb_entry *entry, struct generation *generation,
    const char *vm, const char *key);
void generation_handle_event(struct kwb_entry *entry,
    struct generation *generation, const struct event *event);
void generation_stop(
    struct kwb_entry *entry, struct generation *generation, bool keep);

/* ../call/call.c: calls of plain services. */

/* Outcome of a call, and the service's answer if it ran. */
struct call_answer {
	enum kwb_outcome outcome;
	int error;	 /* KWB_ERR_ number, 0 for none */
	uint32_t status; /* of HTTP, from the service */
	char content_type[KWB_NAME_MAX_BYTES];
	char vm[KWB_NAME_MAX_BYTES]; /* of the agent last tried */
	struct kwb_buf body;
};

/* A call of a plain service, to be made through one of its agents. */
struct call {
	const char *plan;
	const char *pool;
	const char *method;
	const char *path; /* with its query */
	const char *content_type;
	const void *body;
	size_t body_bytes;
	bool idempotent;    /* may run more than once */
	bool is_named;	    /* by its caller, so that its pin never changes */
	struct kwb_pin pin; /* its key, and the agent that may run that key */
	uint64_t deadline_ns;
};

void call_run(
    struct kwb_entry *entry, struct call *call, struct call_answer *answer);
int call_pin_create(struct kwb_entry *entry, const char *plan, const char *pool,
    struct kwb_pin *pin);

/* ../rollout/step.c: samples of a training step, streamed to a trainer. */
int step_serve(struct kwb_entry *entry, struct mg_connection *connection,
    const char *plan, uint64_t number, const char *body);

/* ../weights/leader.c: thread that has weights swapped. */
void *leader_run(void *argument);

/* entry.c: the state that an entry keeps for each plan. */
void entry_note_demand(struct kwb_entry *entry, struct plan_state *plan_state);
void entry_set_leading(struct kwb_entry *entry, const char *plan,
    const char *failure_domain, bool leads);
bool entry_is_leading(
    struct kwb_entry *entry, const char *plan, const char *failure_domain);
struct plan_state *entry_plan_state(struct kwb_entry *entry, const char *plan);
uint64_t entry_random(void);

/* http.c: HTTP server for callers, trainers and operators. */
int http_start(struct kwb_entry *entry);
void http_stop(struct kwb_entry *entry);
void http_refuse(struct mg_connection *connection, int status,
    enum kwb_outcome outcome, int error, const char *detail);

#endif
