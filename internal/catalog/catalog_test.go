package catalog_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"woodworks/internal/catalog"
	"woodworks/internal/testseed"
)

func init() { testseed.Fix() }

// validate refuses any set with a source "bad".
func validate(sources map[string]string) error {
	for name, source := range sources {
		if source == "bad" {
			return errors.Errorf("%s:1: bad", name)
		}
	}
	return nil
}

func record(offset uint64, id string, change catalog.PolicyChange) catalog.Record {
	payload, err := json.Marshal(change)
	if err != nil {
		panic(err)
	}
	return catalog.Record{Offset: offset, ID: id, Kind: catalog.KindPolicy, Payload: payload}
}

func fold(t interface{ Fatalf(string, ...any) }, records []catalog.Record) []catalog.State {
	states := []catalog.State{catalog.Empty()}
	for _, one := range records {
		next, _, err := states[len(states)-1].Apply(one, validate)
		if err != nil {
			t.Fatalf("apply: %v", err)
		}
		states = append(states, next)
	}
	return states
}

// Racing operators append changes that replace what they last saw; appends
// whose answer was lost stand in the log twice.
func TestRacingOperatorsAndDoubledRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []catalog.Record
		state := catalog.Empty()
		accepted := map[string]int{}
		replacedBy := map[string]string{}
		for i := range rapid.IntRange(1, 40).Draw(t, "records") {
			offset := uint64(i + 1)
			if len(records) > 0 && rapid.IntRange(0, 3).Draw(t, "doubled") == 0 {
				copied := records[rapid.IntRange(0, len(records)-1).Draw(t, "which")]
				copied.Offset = offset
				records = append(records, copied)
			} else {
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
				seen := uint64(rapid.IntRange(0, int(state.Offset)).Draw(t, "stale"))
				if rapid.Bool().Draw(t, "fresh") {
					seen = state.Documents[name].Offset
				}
				source := rapid.SampledFrom([]string{"good", "bad"}).Draw(t, "source")
				records = append(records, record(offset, fmt.Sprint("id", i), catalog.PolicyChange{Name: name, Replaces: seen, Source: source}))
			}
			next, verdict, err := state.Apply(records[i], validate)
			if err != nil {
				t.Fatalf("apply: %v", err)
			}
			checkStep(t, state, next, records[i], verdict)
			if verdict == catalog.Accepted {
				accepted[records[i].ID]++
				var change catalog.PolicyChange
				_ = json.Unmarshal(records[i].Payload, &change)
				slot := fmt.Sprint(change.Name, change.Replaces)
				if other, taken := replacedBy[slot]; taken {
					t.Fatalf("%s and %s both replaced %s", other, records[i].ID, slot)
				}
				replacedBy[slot] = records[i].ID
			}
			state = next
		}
		for id, times := range accepted {
			if times > 1 {
				t.Fatalf("record %s was accepted %d times", id, times)
			}
		}
		again := fold(t, records)
		if !reflect.DeepEqual(again[len(again)-1], state) {
			t.Fatalf("a second fold differs")
		}
	})
}

func checkStep(t *rapid.T, before, after catalog.State, applied catalog.Record, verdict catalog.Verdict) {
	if after.Offset != before.Offset+1 {
		t.Fatalf("offset went from %d to %d", before.Offset, after.Offset)
	}
	for name, document := range before.Documents {
		if after.Documents[name].Offset < document.Offset {
			t.Fatalf("document %s went back", name)
		}
	}
	changed := !reflect.DeepEqual(before.Documents, after.Documents)
	if changed != (verdict == catalog.Accepted) {
		t.Fatalf("verdict %s, changed %t, record %+v", verdict, changed, applied)
	}
	if document, known := after.Documents["a"]; known && document.Source == "bad" {
		t.Fatalf("an invalid document is in force")
	}
}

func TestGapIsRefused(t *testing.T) {
	is := is.New(t)
	_, _, err := catalog.Empty().Apply(record(2, "x", catalog.PolicyChange{Name: "a"}), validate)
	is.True(errors.Is(err, catalog.ErrGap))
}

func TestHistorySaysWhy(t *testing.T) {
	is := is.New(t)
	states := fold(t, []catalog.Record{
		record(1, "one", catalog.PolicyChange{Name: "a", Source: "good"}),
		record(2, "two", catalog.PolicyChange{Name: "a", Source: "good"}),
		record(3, "three", catalog.PolicyChange{Name: "a", Replaces: 1, Source: "bad"}),
	})
	last := states[len(states)-1]
	verdicts := []catalog.Verdict{}
	for _, entry := range last.History {
		verdicts = append(verdicts, entry.Verdict)
	}
	is.Equal(verdicts, []catalog.Verdict{catalog.Accepted, catalog.Conflict, catalog.Invalid})
	is.Equal(last.History[2].Reason, "a:1: bad")
	is.Equal(last.Documents["a"].Offset, uint64(1))
}

func TestPlacementEpochsFollowOneAnother(t *testing.T) {
	is := is.New(t)
	placement := func(offset, epoch uint64, id string) catalog.Record {
		payload, _ := json.Marshal(catalog.PlacementChange{Epoch: epoch, Members: []catalog.PlacementMember{{ID: id}}})
		return catalog.Record{Offset: offset, ID: id, Kind: catalog.KindPlacement, Payload: payload}
	}
	states := fold(t, []catalog.Record{placement(1, 1, "a"), placement(2, 1, "b"), placement(3, 3, "c"), placement(4, 2, "d")})
	last := states[len(states)-1]
	is.Equal(last.Placement.Number, uint64(2))
	is.Equal(last.Placement.Members[0].ID, "d")
	is.Equal(last.Previous.Members[0].ID, "a")
}

// Whatever stands in the log, the fold goes on and the offset rises by one.
func FuzzApply(f *testing.F) {
	f.Add("policy", []byte(`{"name":"a","replaces":0,"source":"good"}`))
	f.Add("placement", []byte(`{"epoch":1,"members":[{"id":"a"}]}`))
	f.Add("other", []byte(`nonsense`))
	f.Fuzz(func(t *testing.T, kind string, payload []byte) {
		next, _, err := catalog.Empty().Apply(catalog.Record{Offset: 1, ID: "x", Kind: catalog.Kind(kind), Payload: payload}, validate)
		if err != nil || next.Offset != 1 {
			t.Fatalf("offset %d, %v", next.Offset, err)
		}
	})
}
