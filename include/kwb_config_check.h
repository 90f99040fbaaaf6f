/*
 * knapweedbarrow: checks of an operator's configuration before it is sent, and
 * what differs between two of them. For tools; a node does not use it.
 */
#ifndef KWB_CONFIG_CHECK_H
#define KWB_CONFIG_CHECK_H

#include "kwb_node.h"

enum kwb_finding_level {
	KWB_FINDING_ERROR,   /* nodes would refuse it, or serve it wrongly */
	KWB_FINDING_WARNING, /* works, but hardly as it is meant */
	KWB_FINDING_CHANGE   /* differs from the configuration in force */
};

/* What a finding is about. */
enum kwb_config_object {
	KWB_OBJECT_CONFIG, /* the whole, or its limits */
	KWB_OBJECT_ROUTE,
	KWB_OBJECT_SERVICE,
	KWB_OBJECT_WORKSPACE
};

enum kwb_config_field {
	KWB_FIELD_NONE,	   /* the object itself */
	KWB_FIELD_REMOVED, /* likewise; only the one in force has it */
	KWB_FIELD_VERSION,
	KWB_FIELD_NAME,
	KWB_FIELD_HOST,
	KWB_FIELD_PREFIX,
	KWB_FIELD_SPLIT,
	KWB_FIELD_KIND,
	KWB_FIELD_TIMEOUT,
	KWB_FIELD_TARGET_LATENCY,
	KWB_FIELD_RUN_DEADLINE,
	KWB_FIELD_ITEM_TTL,
	KWB_FIELD_MAX_ATTEMPTS,
	KWB_FIELD_PRIORITY,
	KWB_FIELD_PUBLIC,
	KWB_FIELD_MAX_CONNS,
	KWB_FIELD_SCALE,
	KWB_FIELD_KEYS,
	KWB_FIELD_MAX_HEADER,
	KWB_FIELD_MAX_BODY,
	KWB_FIELD_HEADER_TIMEOUT,
	KWB_FIELD_IDLE_TIMEOUT,
	KWB_FIELDS_COUNT
};

#define KWB_FINDING_TEXT_BYTES 256

struct kwb_finding {
	enum kwb_finding_level level;
	enum kwb_config_object object;
	enum kwb_config_field field;
	/* Place in the checked configuration; of a removed one, in force. */
	uint32_t index;
	char text[KWB_FINDING_TEXT_BYTES]; /* what is wrong, or has changed */
};

struct kwb_findings {
	struct kwb_finding *list;
	uint32_t count;
	uint32_t capacity;
	uint32_t errors_count;
	uint32_t warnings_count;
};

void kwb_findings_init(struct kwb_findings *findings);	 /* empty */
void kwb_findings_finish(struct kwb_findings *findings); /* frees the list */
/* Appends a finding, its text cut to its size; 0 or KWB_ERR_MEMORY. */
int kwb_findings_add(struct kwb_findings *findings,
    enum kwb_finding_level level, enum kwb_config_object object, uint32_t index,
    enum kwb_config_field field, const char *format, ...)
    __attribute__((format(printf, 6, 7)));

/* What a check knows besides the configuration. */
struct kwb_config_surroundings {
	uint64_t memory_bytes; /* of the smallest VM with a node; 0 unknown */
};

/*
 * Adds errors and warnings: names used twice, references to nothing, entries
 * that can never match, limits that contradict each other. 0 or KWB_ERR_MEMORY.
 */
int kwb_config_check(const struct kwb_node_config *config,
    const struct kwb_config_surroundings *surroundings,
    struct kwb_findings *findings);

/*
 * Adds what next changes against current, by name and field, with what it means
 * for callers, and an error if its version does not grow. 0 or KWB_ERR_MEMORY.
 */
int kwb_config_compare(const struct kwb_node_config *current,
    const struct kwb_node_config *next, struct kwb_findings *findings);

#endif
