/*
 * Keys of calls. A pin ties a key to one agent process, whose journal knows
 * whether the key was run. A ticket is the pin as text, held by the caller; a
 * claim keeps the pin of a caller's own key in the table.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kwb.h"

#define TICKET_PREFIX "kwb1"
#define CLAIM_NAME_MAX_BYTES 512
#define CLAIM_TRIES 2

static bool key_is_valid(const char *key);

const char *
kwb_outcome_name(enum kwb_outcome outcome)
{
	switch (outcome) {
	case KWB_OUTCOME_RAN:
		return "ran";
	case KWB_OUTCOME_NOT_RUN:
		return "not_run";
	case KWB_OUTCOME_PARTIAL:
		return "partial";
	default:
		return "unknown";
	}
}

/* The VM is part of the key, as two entries may have the same incarnation. */
void
kwb_call_key_print(char *key, size_t capacity_bytes,
    const struct kwb_origin *origin, const char *plan, uint64_t number)
{
	snprintf(key, capacity_bytes, "m/%s/%s/%" PRIx64 "/%" PRIx64, plan,
	    origin->vm, origin->incarnation, number);
}

void
kwb_generation_key_print(char *key, size_t capacity_bytes,
    const struct kwb_origin *origin, const char *name, unsigned starts)
{
	snprintf(key, capacity_bytes, "%s/%s/%" PRIx64 "/%u", name, origin->vm,
	    origin->incarnation, starts);
}

int
kwb_ticket_print(const struct kwb_pin *pin, struct kwb_buf *out)
{
	return kwb_buf_printf(out,
	    TICKET_PREFIX ".%s.%" PRIu64 ".%" PRIu64 ".%s", pin->vm,
	    pin->incarnation, pin->minted_ms, pin->key);
}

int
kwb_ticket_parse(struct kwb_pin *pin, const char *text)
{
	int used = 0;

	memset(pin, 0, sizeof(*pin));
	if (sscanf(text,
		TICKET_PREFIX ".%63[^.].%" SCNu64 ".%" SCNu64 ".%191s%n",
		pin->vm, &pin->incarnation, &pin->minted_ms, pin->key,
		&used) != 4 ||
	    text[used] != '\0' || !key_is_valid(pin->key))
		return KWB_ERR_ARGUMENT;
	return 0;
}

/*
 * If another entry already inserted a pin for the key, pin becomes that one.
 * The insert is repeated if the platform gives no answer, because the first one
 * may still take effect.
 */
int
kwb_pin_claim(
    const struct kwb_platform *platform, const char *plan, struct kwb_pin *pin)
{
	char name[CLAIM_NAME_MAX_BYTES];
	struct kwb_buf value;
	uint64_t revision;
	struct kwb_pin first;
	int error, tries;

	snprintf(name, sizeof(name), "claims/%s/%016" PRIx64, plan,
	    kwb_hash(pin->key, 0));
	kwb_buf_init(&value);
	kwb_ticket_print(pin, &value);
	for (tries = 0; tries < CLAIM_TRIES; tries++) {
		error = kwb_table_put(
		    platform, name, value.data, value.used_bytes, 0, &revision);
		if (error != KWB_ERR_PLATFORM_UNREACHABLE)
			break;
	}
	if (error == KWB_ERR_PLATFORM_CONFLICT) {
		value.used_bytes = 0;
		error = kwb_table_get(platform, name, &value, &revision);
		if (error == 0)
			error = kwb_ticket_parse(&first, value.data);
		if (error == 0 && strcmp(first.key, pin->key) != 0)
			error = KWB_ERR_PLATFORM_CONFLICT;
		if (error == 0)
			*pin = first;
	}
	kwb_buf_finish(&value);
	return error;
}

static bool
key_is_valid(const char *key)
{
	return key[0] != '\0' && strpbrk(key, " \t\r\n") == NULL;
}
