# Sources are found by folder: each src/*/*.c and *.cc belongs to the library or
# a daemon; tests, benchmarks and tools link against them.

VERSION := 0.1.0
PREFIX ?= /usr/local
BUILD ?= build
SANITIZE ?= 0
SEED ?= 1
STEPS ?= 200000

CC ?= gcc
CXX ?= g++
LIBS := libevent evhtp libzmq glib-2.0 json-glib-1.0 libsodium libxxhash libzstd libprotobuf-c
PKG_CFLAGS := $(shell pkg-config --cflags $(LIBS) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(LIBS) 2>/dev/null) -lhttp_parser -lpthread -lm

WARN := -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
	-Wpointer-arith -Wformat=2 -Werror
HARDEN := -D_FORTIFY_SOURCE=2 -fstack-protector-strong -fPIC
LDHARDEN := -Wl,-z,relro,-z,now
DEFS := -D_GNU_SOURCE -DEEL_VERSION='"$(VERSION)"' -DG_LOG_USE_STRUCTURED \
	-DG_LOG_DOMAIN='"eelgrasslatch"'
INCS := -Iinclude -Isrc -I.
ifeq ($(SANITIZE),1)
BUILD := build-sanitize
OPT := -O1 -g -fsanitize=address,undefined -fno-sanitize-recover=undefined
HARDEN := -fPIC
else
OPT := -O2 -g
endif
CFLAGS += -std=gnu11 $(OPT) $(WARN) $(HARDEN) $(DEFS) $(INCS) $(PKG_CFLAGS)
CXXFLAGS += -std=c++17 $(OPT) -Wall -Wextra -Werror $(HARDEN) $(DEFS) $(INCS) \
	$(PKG_CFLAGS)
LDFLAGS += $(OPT) $(LDHARDEN)

# Builds in parallel unless -j is given: a job for each processor, of which each
# may take half a gigabyte, in under half of the memory.
ifeq ($(filter -j%,$(MAKEFLAGS)),)
JOBS := $(shell awk -v n="$$(nproc)" '/^MemTotal/ { m = int($$2 / 2^20); \
	print (n < m ? n : (m > 0 ? m : 1)) }' /proc/meminfo)
MAKEFLAGS += -j$(JOBS)
endif

# The library holds the decision logic and codecs and does no I/O.
LIB_DIRS := base error toml execution retry admission routing membership preset \
	caller wire metrics audit
APP_DIRS := task settings http peer platform admin node
RELAY_DIRS := relay log

find_src = $(sort $(wildcard $(foreach d,$(1),src/$(d)/*.c src/$(d)/*.cc)))
obj = $(patsubst %,$(BUILD)/%.o,$(1))

LIB_SRC := $(call find_src,$(LIB_DIRS))
APP_SRC := $(call find_src,$(APP_DIRS))
RELAY_SRC := $(call find_src,$(RELAY_DIRS))
PLATFORM_SRC := $(wildcard platform/*.c)
DAEMON_SRC := $(wildcard daemon/*.c)
CTL_SRC := $(wildcard ctl/*.c)
UNIT_SRC := $(wildcard tests/unit/*.cc)
FUZZ_SRC := $(wildcard tests/fuzz/*.c)
STANDIN_SRC := $(wildcard tests/standin/*.c)
BENCH_SRC := $(wildcard bench/*.c)
EXAMPLE_SRC := $(wildcard examples/*.c)

LIB_A := $(BUILD)/libeelgrasslatch.a
LIB_SO := $(BUILD)/libeelgrasslatch.so
APP_A := $(BUILD)/libapp.a
RELAY_A := $(BUILD)/librelay.a
ADAPTER_A := $(BUILD)/libadapter.a
PLATFORMD := $(BUILD)/eelgrasslatch-platformd
# The platform's daemon starts faster without ZeroMQ and evhtp.
PLATFORM_LIBS := $(shell pkg-config --libs libevent glib-2.0 json-glib-1.0 \
	libsodium libxxhash libzstd libprotobuf-c 2>/dev/null) -lhttp_parser -lm
PROGRAMS := $(PLATFORMD) $(if $(DAEMON_SRC),$(BUILD)/eelgrasslatchd) \
	$(if $(CTL_SRC),$(BUILD)/eelgrasslatchctl)
STANDINS := $(patsubst tests/standin/%.c,$(BUILD)/standin_%,\
	$(filter-out %_common.c,$(STANDIN_SRC)))
STANDIN_COMMON := $(call obj,$(filter %_common.c,$(STANDIN_SRC)))
FUZZERS := $(patsubst tests/fuzz/%.c,$(BUILD)/%,$(wildcard tests/fuzz/fuzz_*.c))
FUZZ_COMMON := $(call obj,$(filter-out tests/fuzz/fuzz_%,$(FUZZ_SRC)))
BENCHES := $(patsubst bench/%.c,$(BUILD)/%,$(wildcard bench/bench_*.c))
BENCH_COMMON := $(call obj,$(filter-out bench/bench_%,$(BENCH_SRC)))
EXAMPLES := $(patsubst examples/%.c,$(BUILD)/example_%,$(EXAMPLE_SRC))
UNIT := $(if $(UNIT_SRC),$(BUILD)/unit)

all: $(LIB_A) $(LIB_SO) $(PROGRAMS) $(STANDINS) $(FUZZERS) $(BENCHES) \
	$(EXAMPLES) $(UNIT)

$(BUILD)/%.c.o: %.c
	@mkdir -p $(@D)
	@echo CC $<
	@$(CC) $(CFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/%.cc.o: %.cc
	@mkdir -p $(@D)
	@echo CXX $<
	@$(CXX) $(CXXFLAGS) -MMD -MP -c -o $@ $<

# Generated code is committed; -Werror and -Wshadow are off for it.
$(BUILD)/%.pb-c.c.o: %.pb-c.c
	@mkdir -p $(@D)
	@echo CC $<
	@$(CC) $(filter-out -Werror -Wshadow,$(CFLAGS)) -MMD -MP -c -o $@ $<

$(LIB_A): $(call obj,$(LIB_SRC))
	@rm -f $@
	@$(AR) rcs $@ $^

$(LIB_SO): $(call obj,$(LIB_SRC))
	@$(CXX) -shared -Wl,-soname,libeelgrasslatch.so.0 $(LDFLAGS) -o $@ $^ \
		$(PKG_LIBS)

$(APP_A): $(call obj,$(APP_SRC))
	@rm -f $@
	@$(AR) rcs $@ $^

$(RELAY_A): $(call obj,$(RELAY_SRC) src/task/clock.c)
	@rm -f $@
	@$(AR) rcs $@ $^

$(ADAPTER_A): $(call obj,$(filter-out platform/main.c,$(PLATFORM_SRC)))
	@rm -f $@
	@$(AR) rcs $@ $^

$(PLATFORMD): $(call obj,platform/main.c) $(ADAPTER_A) $(RELAY_A) $(LIB_A)
	@echo LD $@
	@$(CXX) $(LDFLAGS) -Wl,--as-needed -o $@ $(filter %.o,$^) $(ADAPTER_A) \
		$(RELAY_A) $(LIB_A) $(PLATFORM_LIBS)

platform: $(PLATFORMD)

link = $(CXX) $(LDFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) \
	$(LIB_A) $(PKG_LIBS)

$(BUILD)/eelgrasslatchd: $(call obj,$(DAEMON_SRC)) $(APP_A) $(RELAY_A) $(LIB_A)
	@echo LD $@
	@$(link)

$(BUILD)/eelgrasslatchctl: $(call obj,$(CTL_SRC)) $(APP_A) $(LIB_A)
	@echo LD $@
	@$(link)

$(BUILD)/standin_%: $(BUILD)/tests/standin/%.c.o $(STANDIN_COMMON) $(LIB_A)
	@echo LD $@
	@$(link)

$(BUILD)/fuzz_%: $(BUILD)/tests/fuzz/fuzz_%.c.o $(FUZZ_COMMON) $(LIB_A)
	@echo LD $@
	@$(link)

$(BUILD)/bench_%: $(BUILD)/bench/bench_%.c.o $(BENCH_COMMON) $(APP_A) $(LIB_A)
	@echo LD $@
	@$(link)

$(BUILD)/example_%: $(BUILD)/examples/%.c.o $(LIB_A)
	@echo LD $@
	@$(link)

$(BUILD)/unit: $(call obj,$(UNIT_SRC)) $(ADAPTER_A) $(RELAY_A) $(APP_A) $(LIB_A)
	@echo LD $@
	@$(CXX) $(LDFLAGS) -o $@ $(filter %.o,$^) $(ADAPTER_A) $(RELAY_A) $(APP_A) $(LIB_A) $(PKG_LIBS) \
		-lgtest -lgtest_main

deps:
	sh tools/deps.sh

# A second make is needed to read the pkg-config files that deps has installed.
check: deps
	$(MAKE) all
	BUILD=$(BUILD) sh tools/check.sh

fuzz: all
	BUILD=$(BUILD) SEED=$(SEED) STEPS=$(STEPS) sh tools/fuzz.sh

# One seeded run of real processes with injected faults.
soak: all
	BUILD=$(BUILD) SEED=$(SEED) SECONDS_MAX=$(or $(SECONDS),20) \
		sh tests/soak/soak.sh

demo: deps
	$(MAKE) all
	BUILD=$(BUILD) sh tools/demo.sh

bench: all
	BUILD=$(BUILD) sh tools/bench.sh

capacity: all
	BUILD=$(BUILD) sh tools/capacity.sh

SOURCES := $(filter-out %.pb-c.c %.pb-c.h,$(shell git ls-files -co \
	--exclude-standard -- '*.c' '*.h' '*.cc' 2>/dev/null))
C_SOURCES := $(filter src/%.c platform/%.c daemon/%.c ctl/%.c,$(SOURCES))
TIDY_JOBS ?= 8

format:
	@clang-format -i $(SOURCES)

format-check:
	@clang-format --dry-run -Werror $(SOURCES)

lint:
	@sh tools/check_limits.sh
	@cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 \
		--suppress=missingIncludeSystem --enable=warning,portability \
		$(INCS) $(C_SOURCES)
	@printf '%s\n' $(C_SOURCES) | xargs -P $(TIDY_JOBS) -n 4 sh -c \
		'clang-tidy --quiet "$$@" -- -std=gnu11 $(DEFS_SH) $(INCS) $(PKG_CFLAGS) 2>/dev/null' tidy

DEFS_SH := -D_GNU_SOURCE -DEEL_VERSION=\"$(VERSION)\" \
	-DG_LOG_USE_STRUCTURED -DG_LOG_DOMAIN=\"eelgrasslatch\"

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib/pkgconfig \
		$(DESTDIR)$(PREFIX)/include/eelgrasslatch \
		$(DESTDIR)$(PREFIX)/share/man/man1 $(DESTDIR)$(PREFIX)/share/man/man8
	install -m 755 $(PROGRAMS) $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIB_A) $(DESTDIR)$(PREFIX)/lib
	install -m 755 $(LIB_SO) $(DESTDIR)$(PREFIX)/lib/libeelgrasslatch.so.0
	ln -sf libeelgrasslatch.so.0 $(DESTDIR)$(PREFIX)/lib/libeelgrasslatch.so
	install -m 644 include/eelgrasslatch/*.h \
		$(DESTDIR)$(PREFIX)/include/eelgrasslatch
	sed -e 's|@PREFIX@|$(PREFIX)|' -e 's|@VERSION@|$(VERSION)|' \
		eelgrasslatch.pc.in \
		>$(DESTDIR)$(PREFIX)/lib/pkgconfig/eelgrasslatch.pc
	install -m 644 docs/man/eelgrasslatchctl.1 \
		$(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 docs/man/eelgrasslatchd.8 \
		$(DESTDIR)$(PREFIX)/share/man/man8

clean:
	rm -rf build build-sanitize

.PHONY: all platform deps check fuzz soak demo bench capacity format format-check lint \
	install clean
.SECONDARY:

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
