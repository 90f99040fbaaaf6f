/*
 * The text a fake engine makes, for the engine and for those who check it.
 */
#ifndef KWB_FAKES_TEXT_H
#define KWB_FAKES_TEXT_H

#include <stdint.h>

#define FAKE_TOKEN_MAX_BYTES 32

uint64_t fake_sequence_hash(const char *prompt, uint64_t seed);
void fake_token_text(
    char *text, uint64_t sequence, uint32_t index, uint64_t version);
uint32_t fake_sequence_length(uint64_t sequence, int64_t median,
    int64_t spread_percent); /* long-tailed, in tokens */

#endif
