# Builds knapweedbarrow into $(B). Main targets: all, demo, check, bench, slopes,
# soak, node-soak, mutants, fuzz, format, format-check, lint, sanitize, packages.

CC ?= gcc
B ?= build
PACKAGES = libcivetweb-dev liburcu-dev libprotobuf-c-dev protobuf-c-compiler \
	libcyaml-dev libyaml-dev libcunit1-dev libcurl4-openssl-dev \
	libjansson-dev libxxhash-dev libevent-dev libhttp-parser-dev \
	nettle-dev pkg-config curl
OPT ?= -O2
CFLAGS += -std=gnu11 -D_GNU_SOURCE -g $(OPT) -Wall -Wextra -Werror -Wmissing-prototypes \
	-Wno-unused-parameter -Wframe-larger-than=49152 -Iinclude -pthread $(SANITIZE)
LDFLAGS += -pthread $(SANITIZE)
LIBS = -lcivetweb -lurcu-memb -lurcu-common -lprotobuf-c -lcyaml -lcurl \
	-ljansson -lxxhash -lm
NODE_LIBS = -levent_core -levent_extra -lhttp_parser -lnettle -ljansson -lm

# Sources of kwb-node, which runs on the users' platform and links only these.
NODE_SRC = $(wildcard src/net/*.c src/store/*.c src/upstream/*.c \
	src/forward/*.c src/batch/*.c src/duty/*.c src/node/*.c src/peer/*.c \
	src/access/*.c src/memory/*.c src/room/*.c \
	platform/*.c) \
	src/route/node_config.c src/weights/homes.c src/weights/mover.c \
	src/weights/mover_look.c src/weights/mover_order.c \
	$(addprefix src/core/,base64.c buf.c clock.c completion.c error.c faults.c index.c log.c \
	metrics.c timer.c address.c http_syntax.c)
NODE_OBJ = $(patsubst %.c,$(B)/%.o,$(filter-out platform/ctl%.c,$(NODE_SRC)))
# What only kwb-nodectl uses: the check of a configuration.
CHECK_OBJ = $(addprefix $(B)/,src/route/config_check.o src/route/config_compare.o \
	platform/ctl_check.o)
TRACE_OBJ = $(patsubst %.c,$(B)/%.o,$(wildcard src/trace/*.c))

LIB_SRC = $(filter-out src/net/% src/store/% src/upstream/% src/forward/% \
	src/batch/% src/duty/% src/node/% src/peer/% src/access/% src/memory/% src/room/% src/trace/% \
	src/route/node_config.c src/route/config_check.c \
	src/route/config_compare.c src/weights/homes.c \
	src/weights/mover.c src/weights/mover_look.c src/weights/mover_order.c src/core/base64.c src/core/timer.c src/core/index.c, \
	$(wildcard src/*/*.c))
LIB_OBJ = $(LIB_SRC:%.c=$(B)/%.o)
DAEMONS = $(B)/kwb-entry $(B)/kwb-agent $(B)/kwbctl
FAKES = $(B)/fake-platform $(B)/fake-engine $(B)/fake-service \
	$(B)/fake-relay $(B)/fake-trainer
EXAMPLES = $(patsubst examples/%.c,$(B)/examples/%,$(wildcard examples/*.c))
TESTS = $(B)/tests/unit $(B)/tests/contract $(B)/tests/golden \
	$(B)/tests/faults $(B)/tests/platform/decisions \
	$(B)/tests/platform/script $(B)/tests/platform/soak \
	$(B)/tests/platform/crowd
FUZZ = request answer stream document settings rows trace frame
TESTS += $(FUZZ:%=$(B)/tests/fuzz/%)
BENCHES = $(B)/bench/slopes $(B)/bench/policies

all: node $(DAEMONS) $(FAKES) $(EXAMPLES)

$(B)/libkwb.a: $(LIB_OBJ)
	rm -f $@
	ar rcs $@ $^

$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -c -o $@ $<

# The programs for the users' platform.
node: $(B)/kwb-node $(B)/kwb-nodectl

$(B)/kwb-node: $(NODE_OBJ)
	$(CC) $(LDFLAGS) -o $@ $^ $(NODE_LIBS)

$(B)/kwb-nodectl: $(B)/platform/ctl.o $(CHECK_OBJ) $(TRACE_OBJ) \
		$(filter-out $(B)/platform/main.o,$(NODE_OBJ))
	$(CC) $(LDFLAGS) -o $@ $^ $(NODE_LIBS)

$(B)/kwb-%: $(B)/daemons/kwb-%.o $(B)/daemons/daemon.o $(B)/libkwb.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(B)/kwbctl: $(patsubst %.c,$(B)/%.o,$(wildcard cli/*.c)) $(B)/libkwb.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

FAKE_OBJ = $(B)/fakes/fake.o $(B)/fakes/text.o $(B)/fakes/trainer.o

$(B)/fake-%: $(B)/fakes/fake-%.o $(FAKE_OBJ) $(B)/libkwb.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(B)/examples/%: $(B)/examples/%.o $(B)/libkwb.a
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(B)/bench/%: $(B)/bench/%.o $(B)/bench/measure.o $(B)/tests/world.o \
		$(B)/fakes/text.o $(B)/fakes/trainer.o $(B)/libkwb.a
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(B)/tests/unit: $(B)/tests/unit.o $(B)/libkwb.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS) -lcunit

$(B)/tests/contract $(B)/tests/golden: %: %.o $(B)/tests/world.o \
		$(B)/libkwb.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(B)/tests/faults: $(B)/tests/faults.o $(B)/tests/session.o \
		$(B)/tests/session_faults.o $(B)/tests/world.o \
		$(B)/fakes/text.o $(B)/fakes/trainer.o $(B)/libkwb.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

STAGE_OBJ = $(addprefix $(B)/tests/platform/,stage.o port.o store.o server.o proxy.o duty.o) \
	$(filter-out $(B)/platform/main.o,$(NODE_OBJ))

$(B)/tests/platform/script: $(B)/tests/platform/script.o $(STAGE_OBJ) \
		| $(B)/kwb-nodectl
	$(CC) $(LDFLAGS) -o $@ $^ $(NODE_LIBS)

$(B)/tests/platform/soak: $(B)/tests/platform/soak.o $(STAGE_OBJ)
	$(CC) $(LDFLAGS) -o $@ $^ $(NODE_LIBS)

$(B)/tests/platform/crowd: $(B)/tests/platform/crowd.o $(B)/tests/world.o \
		$(STAGE_OBJ) $(B)/libkwb.a
	$(CC) $(LDFLAGS) -o $@ $^ $(NODE_LIBS) $(LIBS)

$(B)/tests/platform/decisions: $(B)/tests/platform/decisions.o \
		$(B)/tests/platform/decisions_duty.o \
		$(B)/tests/platform/decisions_access.o \
		$(B)/tests/platform/decisions_memory.o \
		$(B)/tests/platform/decisions_placement.o \
		$(B)/tests/platform/decisions_room.o \
		$(B)/tests/platform/decisions_syntax.o $(TRACE_OBJ) \
		$(filter-out $(B)/platform/main.o,$(NODE_OBJ))
	$(CC) $(LDFLAGS) -o $@ $^ $(NODE_LIBS) -lcunit

NODE_PARTS = $(filter-out $(B)/platform/main.o,$(NODE_OBJ))

$(B)/tests/fuzz/corpus.o $(B)/tests/fuzz/%.o: CFLAGS += -Wno-missing-prototypes

# Objects that a fuzz target links: libkwb for frames, the trace reader for traces,
# and the node's objects for traces and all others.
fuzz_parts = $(if $(filter frame,$1),$(B)/libkwb.a,$(if $(filter trace,$1),$(TRACE_OBJ)) $(if $(filter document,$1),$(CHECK_OBJ)) $(NODE_PARTS))
fuzz_libs = $(if $(filter frame,$1),$(LIBS),$(NODE_LIBS))

.SECONDEXPANSION:
$(FUZZ:%=$(B)/tests/fuzz/%): %: %.o $(B)/tests/fuzz/corpus.o $$(call fuzz_parts,$$(notdir $$@))
	$(CC) $(LDFLAGS) -o $@ $^ $(call fuzz_libs,$(notdir $@))

# Fuzz targets with libFuzzer; `make fuzz` compiles their objects with coverage.
$(FUZZ:%=$(B)/fuzz-%): $(B)/fuzz-%: $(B)/tests/fuzz/%.o $$(call fuzz_parts,$$*)
	$(CC) -fsanitize=fuzzer,address,undefined -o $@ $^ $(call fuzz_libs,$*)

.SECONDARY:
-include $(shell find $(B) -name '*.d' 2>/dev/null)

SOURCES = $(filter-out %.pb-c.c %.pb-c.h,$(wildcard include/*.h src/*/*.[ch] \
	daemons/*.[ch] cli/*.[ch] fakes/*.[ch] tests/*.[ch] tests/platform/*.[ch] \
	tests/fuzz/*.[ch] \
	platform/*.[ch] bench/*.[ch] \
	examples/*.c))
LINT_SRC = $(filter-out %.pb-c.c,$(LIB_SRC)) $(NODE_SRC) \
	src/route/config_check.c src/route/config_compare.c \
	$(wildcard src/trace/*.c daemons/*.c cli/*.c)

# Builds everything and runs all tests; the last line counts passed and failed.
check: all $(TESTS)
	@tests/check.sh $(B)

# Runs all daemons on loopback with the stand-ins; prints the status at the end.
demo: packages all
	@examples/demo.sh $(B)

bench: all $(BENCHES)
	$(B)/bench/policies

slopes: all $(BENCHES)
	$(B)/bench/slopes

soak: all $(TESTS)
	$(B)/tests/faults --soak 200

# Node processes under random faults; each seed is one run.
SOAK_SEED ?= $(shell date +%Y%m%d)
SOAK_RUNS ?= 50
node-soak: all $(TESTS)
	seq $(SOAK_SEED) $$(($(SOAK_SEED) + $(SOAK_RUNS) - 1)) | \
		xargs -P3 -n1 $(B)/tests/platform/soak

# Mutation tests: removes one mechanism at a time; its test must then fail.
mutants:
	tests/mutants.sh

# Fuzzes each target for FUZZ_S seconds; a crashing input is added to its corpus.
FUZZ_S ?= 60
fuzz:
	DEBIAN_FRONTEND=noninteractive apt-get install -y -qq clang \
		libclang-rt-14-dev >/dev/null
	$(MAKE) -s B=build/fuzzed CC=clang OPT=-O1 \
		SANITIZE="-fsanitize=fuzzer-no-link,address,undefined" \
		$(FUZZ:%=build/fuzzed/fuzz-%)
	for target in $(FUZZ); do \
		mkdir -p build/fuzzed/corpus/$$target && \
		build/fuzzed/fuzz-$$target -max_total_time=$(FUZZ_S) -timeout=5 \
			-verbosity=0 -artifact_prefix=tests/fuzz/corpus/$$target/ \
			build/fuzzed/corpus/$$target \
			tests/fuzz/corpus/$$target || exit 1; \
	done

format:
	clang-format -i $(SOURCES)

format-check:
	clang-format --dry-run -Werror $(SOURCES)

lint:
	cppcheck --quiet --error-exitcode=1 --std=c11 -Iinclude -j8 \
		--enable=warning,portability --suppress=ctuuninitvar --suppress='*:*.pb-c.h' \
		'-Djson_object_foreach(o,k,v)=for(k=0,v=0;k;)' \
		'-Djson_object_foreach_safe(o,n,k,v)=for(k=0,v=0;k;)' \
		'-Djson_array_foreach(a,i,v)=for(i=0,v=0;v;i++)' \
		'-DTAILQ_FOREACH(v,h,f)=for(v=0;v;)' $(LINT_SRC)
	printf '%s\n' $(LINT_SRC) | xargs -P8 -I{} clang-tidy --quiet {} -- \
		-std=gnu11 -D_GNU_SOURCE \
		-Iinclude

# Runs daemons and tests with the address and undefined-behaviour sanitizers.
sanitize:
	$(MAKE) B=build/sanitized OPT=-O1 \
		SANITIZE="-fsanitize=address,undefined -fno-omit-frame-pointer" \
		all build/sanitized/tests/unit build/sanitized/tests/contract \
		build/sanitized/tests/faults \
		build/sanitized/tests/platform/decisions \
		build/sanitized/tests/platform/script \
		build/sanitized/tests/platform/soak
	@tests/sanitize.sh build/sanitized

packages:
	apt-get update -qq
	DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(PACKAGES) \
		clang-format clang-tidy cppcheck >/dev/null

clean:
	rm -rf $(B)

.PHONY: fuzz all check demo bench slopes soak node-soak mutants format format-check lint \
	sanitize packages clean
