# Two commands do all set-up: make demo, make test.

MODULES  := catalog client cmd dispatch entry experiment fleet logservice membership peer platform scenario standin
PACKAGES := $(MODULES:%=./%/...)
# Packages without goroutines, as TestDecisionsArePure checks. The race detector
# finds nothing there, and makes the simulations several times slower.
PURE     := ./dispatch/... ./membership/... ./fleet/evacuationcheck
BIN      := $(CURDIR)/.bin
RACE     := $(if $(shell command -v $(or $(CC),gcc) 2>/dev/null),-race,)

.PHONY: build demo demo-fleet soak soak-fleet test up format-check vet lint unit check-model generate tools
.PHONY: bench compare ablation check-broken check-restarts faults gopls

build:
	go build -o $(BIN)/ ./cmd/...

test: format-check vet lint unit check-model soak-short

format-check:
	@unformatted=$$(gofmt -l $(MODULES)); \
	if [ -n "$$unformatted" ]; then echo "run gofmt -w on:"; echo "$$unformatted"; exit 1; fi

vet:
	go vet $(PACKAGES)

lint: $(BIN)/staticcheck
	$(BIN)/staticcheck $(PACKAGES)

# The race detector needs a C compiler; without one the tests run without it.
unit:
	@[ -n "$(RACE)" ] || echo "no C compiler: tests run without the race detector"
	@./scripts/unit.sh $(RACE) $(filter-out $(shell go list $(PURE)),$(shell go list $(PACKAGES)))
	@./scripts/unit.sh $(PURE)

# Checks the model of the job ledger exhaustively, without the race detector,
# and then that a build with a broken rule is detected.
check-model:
	go test -count=1 -v -run '^TestModel' ./dispatch/modelcheck
	$(MAKE) check-broken
	$(MAKE) check-restarts

# Checks that the property test, the model checker and a scenario each detect a
# build in which a lost task may be sent again.
check-broken:
	go test -tags broken_resend -run '^TestBroken' ./dispatch/modelcheck ./scenario

# Checks that tests find two runs of a task in builds in which a rule for restarts is
# broken: one quickly found mutant at least for each kind of evidence that an earlier run
# is over. docs/design/restarts.md tells how to run all mutants.
check-restarts:
	go test -count=1 -tags mutants -run '^(TestMutants|TestEvidenceHasMutants)$$' ./dispatch/leased -args -mutants-quick

# Runs every scenario and the fault tests, and writes docs/FAULTS.md.
faults:
	@./scripts/faults.sh

tools: $(BIN)/staticcheck $(BIN)/protoc-gen-go $(BIN)/protoc-gen-twirp

$(BIN)/staticcheck $(BIN)/protoc-gen-go $(BIN)/protoc-gen-twirp: tools/go.mod
	GOWORK=off go -C tools build -o $(BIN)/ honnef.co/go/tools/cmd/staticcheck \
		github.com/twitchtv/twirp/protoc-gen-twirp google.golang.org/protobuf/cmd/protoc-gen-go

# Renames identifiers across the workspace: .bin/gopls rename -w FILE:LINE:COLUMN NAME.
# It does not see files under build tags; make check-broken does.
gopls: $(BIN)/gopls

$(BIN)/gopls: tools/gopls/go.mod
	GOWORK=off go -C tools/gopls build -o $(BIN)/ golang.org/x/tools/gopls

# Needs protoc; the generated code is committed.
generate: tools
	cd peer && for file in peerpb/peer.proto fleetpb/fleet.proto; do \
		PATH=$(BIN):$$PATH protoc --go_out=paths=source_relative:. \
			--twirp_out=paths=source_relative:. $$file || exit 1; done

# Plays the quick scores of the sites in force on the users' bench, and compares
# them with the last ones. WHY goes into the journal.
.PHONY: regress
regress:
	@./scripts/regress.sh "$(or $(WHY),regression run)"

# Runs the benchmarks of decisions and of one entry; ends with one JSON line.
bench:
	@./scripts/bench.sh

# Compares the policy with the baselines in virtual time; ends with one JSON
# line.
compare:
	@go run ./cmd/lovage-load compare

# Runs the policy with one mechanism disabled at a time.
ablation:
	@go run ./cmd/lovage-load compare -set ablation

# Runs a whole deployment on this VM. SERVICES selects another services file;
# ON=leased uses a stand-in for the users' platform.
demo:
ifeq ($(ON),leased)
	@$(MAKE) demo-fleet
else
	@./scripts/demo.sh $(SERVICES)
endif

# Runs a whole deployment until it is interrupted.
up:
	@./scripts/up.sh $(SERVICES)

# Runs a whole deployment under many faults at once.
soak:
	@./scripts/soak.sh $(SERVICES)

# Runs six entries on a stand-in for the users' platform for a few seconds.
demo-fleet:
	go build -o $(BIN)/ ./cmd/lovage-fleet ./cmd/lovage-load
	$(BIN)/lovage-load soak -fleet $(BIN)/lovage-fleet -calm -seconds 5

# The same under random faults, with SEEDS consecutive seeds from SEED.
soak-fleet:
	go build -o $(BIN)/ ./cmd/lovage-fleet ./cmd/lovage-load
	$(BIN)/lovage-load soak -fleet $(BIN)/lovage-fleet -seed $(or $(SEED),1) -seeds $(or $(SEEDS),3)

# A short seeded soak, part of the tests.
.PHONY: soak-short
soak-short:
	go build -o $(BIN)/ ./cmd/lovage-fleet ./cmd/lovage-load
	$(BIN)/lovage-load soak -fleet $(BIN)/lovage-fleet -seed 2 -seconds 8
	$(BIN)/lovage-load soak -fleet $(BIN)/lovage-fleet -crowd -entries 3 -seed 2 -seconds 8

# Soak tests of seeds that have shown a fault of the code, or of a broken build. Add a
# seed here once the fault that it has shown is fixed. 3: two runs of a task if the
# holder of a resubmitted job doesn't wait.
SOAK_REGRESSIONS := 3
.PHONY: soak-regressions
soak-regressions:
	go build -o $(BIN)/ ./cmd/lovage-fleet ./cmd/lovage-load
	for seed in $(SOAK_REGRESSIONS); do \
		$(BIN)/lovage-load soak -fleet $(BIN)/lovage-fleet -seed $$seed || exit 1; done
