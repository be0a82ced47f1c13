package policy_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"woodworks/examples"
	"woodworks/internal/api/policy"
)

func TestExamplePoliciesPassTheirTests(t *testing.T) {
	is := is.New(t)
	for name, source := range map[string]string{"operator": examples.OperatorPolicy, "qarmoud": examples.QarmoudPolicy} {
		is.NoErr(policy.Validate(map[string]string{name: source}))
		results, err := policy.RunTests(name, source)
		is.NoErr(err)
		is.True(len(results) > 0)
		for _, result := range results {
			is.Equal(result.Failure, "")
		}
	}
}

const base = `
traffic_class(name = "rollout", weight = 2)
service(name = "lm", kind = "engine", audience = "public")
trainer(name = "t", service = "lm", max_staleness = 2, traffic_class = "rollout")
`

func TestDocumentErrorHasDocumentLineAndReason(t *testing.T) {
	cases := map[string]struct {
		source string
		line   int32
		reason string
	}{
		"syntax":           {"service(", 1, "got end of file"},
		"unknown argument": {"\ntrainer(name = \"t\", speed = 1)", 2, "speed"},
		"negative bound":   {base + "trainer(name = \"u\", service = \"lm\", max_staleness = -1)", 5, "max_staleness -1 is negative"},
		"bad kind":         {"service(name = \"s\", kind = \"x\", audience = \"public\")", 1, `kind "x"`},
		"bad audience":     {"service(name = \"s\", kind = \"plain\", audience = \"all\")", 1, `audience "all"`},
		"bad name":         {"traffic_class(name = \"Big\", weight = 1)", 1, `name "Big"`},
		"bad digest":       {"caller(name = \"c\", key_sha256 = \"12\", audience = \"public\")", 1, "key_sha256"},
		"hedge of an operation that is not repeatable": {"operation(name = \"m\", repeatable = False, hedge_ms = 5)", 1, "repeatable"},
		"duplicate declaration":                        {base + "service(name = \"lm\", kind = \"engine\", audience = \"public\")", 5, "already declared"},
		"unknown service":                              {"trainer(name = \"t\", service = \"nope\", max_staleness = 1)", 0, `"nope"`},
		"endless loop":                                 {"def f():\n  for i in range(100000000):\n    pass\nf()", 2, "too many steps"},
		"unknown name":                                 {"\n\nx = y", 3, "undefined: y"},
		"unknown class":                                {"service(name = \"s\", kind = \"plain\", audience = \"public\", operations = [operation(name = \"o\", repeatable = True, traffic_class = \"none\")])", 0, `traffic_class "none"`},
		"budget over limit":                            {"retry_budget(percent = 101, minimum_per_second = 1)", 1, "percent 101"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := policy.Validate(map[string]string{"doc": test.source})
			var documentError *policy.DocumentError
			is.True(errors.As(err, &documentError))
			is.Equal(documentError.Document, "doc")
			is.Equal(documentError.Line, test.line)
			is.True(strings.Contains(documentError.Reason, test.reason)) // the reason names the wrong field or value
		})
	}
}

func TestDuplicateDeclarationAcrossDocumentsIsRejected(t *testing.T) {
	is := is.New(t)
	err := policy.Validate(map[string]string{"a": base, "b": base})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), `already declared in document "a"`))
}

func TestAcceptsHookCannotExceedMaxStaleness(t *testing.T) {
	is := is.New(t)
	set, err := policy.Compile(map[string]string{"a": base + "def accepts(trainer, sample_version, current_version):\n  return True\n"})
	is.NoErr(err)
	is.True(set.Accepts(set.Trainers["t"], 5, 7))
	is.True(!set.Accepts(set.Trainers["t"], 4, 7))
}

func TestAcceptsHookCanRejectFurtherSamples(t *testing.T) {
	is := is.New(t)
	set, err := policy.Compile(map[string]string{"a": base + "def accepts(trainer, sample_version, current_version):\n  return current_version - sample_version < 1\n"})
	is.NoErr(err)
	is.True(set.Accepts(set.Trainers["t"], 7, 7))
	is.True(!set.Accepts(set.Trainers["t"], 6, 7))
}

func TestFailedHookFallsBackAndIsCounted(t *testing.T) {
	is := is.New(t)
	set, err := policy.Compile(map[string]string{"a": base + `
def accepts(trainer, sample_version, current_version):
  return 1 // 0
def on_failure(service, operation, attempt):
  return "shrug"
def priority(trainer):
  for i in range(1000000):
    pass
`})
	is.NoErr(err)
	is.True(set.Accepts(set.Trainers["t"], 6, 7))
	is.Equal(set.OnFailure("lm", "x", 1), policy.ActionRetry)
	is.Equal(set.Priority(set.Trainers["t"]), int64(2))
	is.Equal(set.HookFailures(), map[string]uint64{"accepts": 1, "on_failure": 1, "priority": 1})
}

func TestCallerOf(t *testing.T) {
	is := is.New(t)
	set, err := policy.Compile(map[string]string{"operator": examples.OperatorPolicy})
	is.NoErr(err)
	caller, known := set.CallerOf("assessor")
	is.True(known)
	is.Equal(caller.Trainer, "assessor")
	_, known = set.CallerOf("nobody")
	is.True(!known)
}

func FuzzCompile(f *testing.F) {
	f.Add(base)
	f.Add(examples.QarmoudPolicy)
	f.Add("service(")
	f.Fuzz(func(t *testing.T, source string) {
		_, _ = policy.Compile(map[string]string{"fuzzed": source})
	})
}

func BenchmarkAccepts(b *testing.B) {
	set, err := policy.Compile(map[string]string{"operator": examples.OperatorPolicy})
	if err != nil {
		b.Fatal(err)
	}
	trainer := set.Trainers["assessor"]
	b.ReportAllocs()
	for b.Loop() {
		set.Accepts(trainer, 6, 7)
	}
}
