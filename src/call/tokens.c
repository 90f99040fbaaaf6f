/*
 * Tokens of a generation, each with the version of the weights that made it.
 */
#include <stdlib.h>
#include <string.h>

#include "kwb.h"

#define INITIAL_CAPACITY 64

void
kwb_tokens_init(struct kwb_tokens *tokens)
{
	memset(tokens, 0, sizeof(*tokens));
}

void
kwb_tokens_finish(struct kwb_tokens *tokens)
{
	uint32_t i;

	for (i = 0; i < tokens->count; i++)
		free(tokens->text[i]);
	free(tokens->text);
	free(tokens->version);
	memset(tokens, 0, sizeof(*tokens));
}

int
kwb_tokens_add(struct kwb_tokens *tokens, const char *text, uint64_t version)
{
	uint32_t capacity =
	    tokens->capacity ? tokens->capacity * 2 : INITIAL_CAPACITY;
	void *grown;

	if (tokens->count == tokens->capacity) {
		grown = realloc(tokens->text, capacity * sizeof(*tokens->text));
		if (grown == NULL)
			return KWB_ERR_MEMORY;
		tokens->text = grown;
		grown = realloc(
		    tokens->version, capacity * sizeof(*tokens->version));
		if (grown == NULL)
			return KWB_ERR_MEMORY;
		tokens->version = grown;
		tokens->capacity = capacity;
	}
	tokens->text[tokens->count] = strdup(text);
	if (tokens->text[tokens->count] == NULL)
		return KWB_ERR_MEMORY;
	tokens->version[tokens->count] = version;
	tokens->count++;
	return 0;
}

uint64_t
kwb_tokens_oldest_version(const struct kwb_tokens *tokens)
{
	uint64_t oldest = UINT64_MAX;
	uint32_t i;

	for (i = 0; i < tokens->count; i++)
		if (tokens->version[i] < oldest)
			oldest = tokens->version[i];
	return oldest;
}
