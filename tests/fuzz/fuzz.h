/*
 * Fuzz targets: each parses untrusted bytes and must neither crash nor leak.
 * "make fuzz" links them with a fuzzing engine; "make check" links them with
 * corpus.c, which runs them on the files of the corpus.
 */
#ifndef KWB_TESTS_FUZZ_H
#define KWB_TESTS_FUZZ_H

#include <stddef.h>
#include <stdint.h>

/* Runs the target on one input. Returns 0; failures abort. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length_bytes);

#endif
