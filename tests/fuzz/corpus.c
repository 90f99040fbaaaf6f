/*
 * Runs a fuzz target on the files that are named as arguments.
 */
#include <stdio.h>
#include <stdlib.h>

#include "fuzz.h"

#define FILE_MAX_BYTES (1u << 20)

int
main(int argc, char **argv)
{
	static uint8_t bytes[FILE_MAX_BYTES];
	unsigned passed = 0;
	size_t length;
	FILE *file;
	int i;

	for (i = 1; i < argc; i++) {
		file = fopen(argv[i], "r");
		if (file == NULL) {
			perror(argv[i]);
			return 1;
		}
		length = fread(bytes, 1, sizeof(bytes), file);
		fclose(file);
		if (LLVMFuzzerTestOneInput(bytes, length) != 0)
			return 1;
		passed++;
	}
	printf("%u passed, 0 failed\n", passed);
	return passed > 0 ? 0 : 1;
}
