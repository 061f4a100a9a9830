package rollout_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"briarwell.dev/core/object"
	objectmemory "briarwell.dev/core/object/memory"
	"briarwell.dev/core/rollout"
	"briarwell.dev/core/table"
	"briarwell.dev/core/template"
)

// countingStore counts the bodies that are written to an object store.
type countingStore struct {
	objectmemory.Store
	putCount int
}

func (s *countingStore) Put(ctx context.Context, body []byte) (object.Digest, error) {
	s.putCount++
	return s.Store.Put(ctx, body)
}

func parseDocument(t interface{ Fatal(args ...any) }, text string) template.Document {
	parsed, err := template.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func organisationDocument(name string, timeout int) string {
	return fmt.Sprintf(`{"name": %q, "kind": "k", "parameters": {"t": %d}}`, name, timeout)
}

func readExample(t *testing.T, name string) template.Document {
	data, err := os.ReadFile("../../examples/" + name + ".json")
	is.New(t).NoErr(err)
	return parseDocument(t, string(data))
}

func firstRouteTimeout(catalog template.Catalog, service string) int {
	rules, _ := catalog.Service(service)
	return int(rules.Routes()[0].Timeout())
}

// checkWithFakeClock checks a property with rapid and runs the function that it
// returns with a fake clock, so that the delays between attempts take no time.
func checkWithFakeClock(t *testing.T, property func(*rapid.T) func() error) {
	t.Helper()
	rapid.Check(t, func(draw *rapid.T) {
		run := property(draw)
		var err error
		synctest.Test(t, func(*testing.T) { err = run() })
		if err != nil {
			draw.Fatal(err)
		}
	})
}

// Guards against an edit that stores documents which daemons can't read, and against
// a history without the previous or the new document.
func TestEditRoundTrip(t *testing.T) {
	is := is.New(t)
	ctx, target, store := context.Background(), newTable(1, 0), &countingStore{}
	editor := rollout.NewEditor(target, store)
	first, err := editor.Apply(ctx, rollout.NewEdit("e1", "ada", 0, 1000, readExample(t, "lending-service"), readExample(t, "lagos")))
	is.NoErr(err)
	is.Equal(first.Version(), uint64(1))
	edited := parseDocument(t, `{"name": "lagos", "kind": "lendingService", "parameters": {"patternTimeoutMillis": 90000}}`)
	second, err := editor.Apply(ctx, rollout.NewEdit("e2", "bisi", 1, 2000, edited))
	is.NoErr(err)
	is.Equal(second.Version(), uint64(2))
	is.Equal(len(second.Plan().FieldChanges()), 2)
	repeated, err := editor.Apply(ctx, rollout.NewEdit("e3", "bisi", 2, 3000, edited))
	is.NoErr(err)
	is.True(repeated.Plan().IsEmpty())
	is.Equal(repeated.Version(), uint64(2))
	rows, err := rollout.LoadRows(ctx, target)
	is.NoErr(err)
	catalog, err := rollout.RenderRows(rows)
	is.NoErr(err)
	is.Equal(catalog.Version(), uint64(2))
	is.Equal(firstRouteTimeout(catalog, "lagos/patterns"), 90000)
	history, err := rollout.ReadHistory(ctx, target, 10)
	is.NoErr(err)
	is.Equal(len(history), 2)
	is.Equal(history[0].VersionInfo().Author(), "bisi")
	before, after, err := history[0].Changes()[0].Bodies(ctx, store)
	is.NoErr(err)
	is.Equal(len(template.DiffDocuments(before, after)), 2)
	is.Equal(store.putCount, 1) // Only the template is too long for a history row.
	_, body, err := history[1].Changes()[0].Bodies(ctx, store)
	is.NoErr(err)
	is.True(strings.Contains(string(body), "lendingService"))
}

// Guards against a conflict error without the versions or the author, and against an
// edit that changes the number of shards of a service.
func TestPlanErrors(t *testing.T) {
	is := is.New(t)
	ctx, target := context.Background(), newTable(1, 0)
	editor := rollout.NewEditor(target, nil)
	kind := parseDocument(t, smallTemplate)
	one := parseDocument(t, organisationDocument("o", 5))
	_, err := editor.Apply(ctx, rollout.NewEdit("e1", "ada", 0, 1, kind, one, parseDocument(t, organisationDocument("p", 5))))
	is.NoErr(err)
	_, err = editor.Apply(ctx, rollout.NewEdit("e2", "bisi", 1, 1, parseDocument(t, organisationDocument("o", 6))))
	is.NoErr(err)
	var output strings.Builder
	apply := func(name string, expectedVersion uint64, documents ...template.Document) error {
		_, err := editor.Apply(ctx, rollout.NewEdit(name, "chi", expectedVersion, 1, documents...))
		fmt.Fprintf(&output, "%s: %v\n", name, err)
		return err
	}
	var conflict *rollout.ConflictError
	is.True(errors.As(apply("same row", 1, one), &conflict))
	is.Equal([]uint64{conflict.Expected(), conflict.Actual()}, []uint64{1, 2})
	is.Equal(conflict.Author(), "bisi")
	is.NoErr(apply("other row", 1, parseDocument(t, organisationDocument("p", 7))))
	is.True(apply("template of a changed organisation", 1, parseDocument(t, strings.Replace(smallTemplate, "5", "4", 1))) != nil)
	is.True(apply("future version", 9, one) != nil)
	is.True(apply("duplicate", 3, one, one) != nil)
	var shardCount *rollout.ShardCountError
	is.True(errors.As(apply("shards", 3, parseDocument(t, strings.Replace(smallTemplate, `"shards": 8`, `"shards": 9`, 1))), &shardCount))
	unkeyedTemplate := strings.Replace(smallTemplate, `"keyed": true, "shards": 8, "fencing": "epoch"`, `"keyed": false`, 1)
	is.True(errors.As(apply("keys removed", 3, parseDocument(t, unkeyedTemplate)), &shardCount))
	is.NoErr(apply("service renamed", 3, parseDocument(t, strings.Replace(smallTemplate, `"name": "s"`, `"name": "r"`, 1))))
	is.True(errors.As(apply("service back with other shards", 4, parseDocument(t, strings.Replace(smallTemplate, `"shards": 8`, `"shards": 16`, 1))), &shardCount))
	is.True(apply("unknown kind", 4, parseDocument(t, `{"name": "q", "kind": "z"}`)) != nil)
	is.True(apply("bad value", 4, parseDocument(t, organisationDocument("q", 0))) != nil)
	goldie.New(t).Assert(t, "plan-errors", []byte(output.String()))
}

// Guards against lost updates: operators concurrently read a counter and store it plus
// one, and no increment may be lost. The same schedules are also run with unconditional
// edits, which always expect the newest version. Some of these must lose an update, as
// a check that the schedules cause races.
func TestConcurrentEditsLoseNoUpdate(t *testing.T) {
	lostUnconditional, unknownOutcomes := 0, 0
	checkWithFakeClock(t, func(draw *rapid.T) func() error {
		seed := rapid.Uint64().Draw(draw, "seed")
		loss := rapid.IntRange(0, 30).Draw(draw, "lossPercent")
		order := rapid.SliceOfN(rapid.IntRange(0, 2), 6, 18).Draw(draw, "order")
		return func() error {
			counter, succeeded, err := runEditors(t, newTable(seed, loss), order, false)
			if unknown := new(rollout.UnknownOutcomeError); errors.As(err, &unknown) {
				unknownOutcomes++
				return nil
			}
			if err != nil || counter != succeeded {
				return errors.Join(err, fmt.Errorf("%d edits succeeded, but the counter is %d", succeeded, counter))
			}
			counter, succeeded, err = runEditors(t, newTable(seed, 0), order, true)
			lostUnconditional += succeeded - counter
			return err
		}
	})
	if unknownOutcomes > 10 {
		t.Fatalf("%d schedules ended in an outage longer than all attempts", unknownOutcomes)
	}
	if lostUnconditional == 0 {
		t.Fatal("no schedule made an unconditional edit lose an update: the schedules cause no races")
	}
}

// runEditors lets three operators alternate between reading a counter and storing it
// plus one. order holds the operator of each step. It returns the final counter and
// the number of edits that succeeded.
func runEditors(t *testing.T, target *lossyTable, order []int, unconditional bool) (counter, succeeded int, err error) {
	ctx, editor := context.Background(), rollout.NewEditor(target, nil)
	apply := func(id string, expectedVersion uint64, documents ...template.Document) error {
		_, err := editor.Apply(ctx, rollout.NewEdit(id, id, expectedVersion, 1, documents...))
		return err
	}
	if err := apply("first", 0, parseDocument(t, smallTemplate), parseDocument(t, organisationDocument("o", 100))); err != nil {
		return 0, 0, err
	}
	read := func() (uint64, int) {
		rows, _ := rollout.LoadRows(ctx, target)
		catalog, renderErr := rollout.RenderRows(rows)
		err = errors.Join(err, renderErr)
		return catalog.Version(), firstRouteTimeout(catalog, "o/s")
	}
	readings := map[int][2]int{}
	for step, operator := range order {
		reading, hasRead := readings[operator]
		if !hasRead {
			version, value := read()
			readings[operator] = [2]int{int(version), value}
			continue
		}
		delete(readings, operator)
		expectedVersion := uint64(reading[0])
		if unconditional {
			expectedVersion, _ = read()
		}
		editErr := apply(fmt.Sprint("edit", step), expectedVersion, parseDocument(t, organisationDocument("o", reading[1]+1)))
		if editErr == nil {
			succeeded++
		} else if conflict := new(rollout.ConflictError); !errors.As(editErr, &conflict) {
			return 0, 0, editErr
		}
	}
	_, value := read()
	return value - 100, succeeded, err
}

// Guards against a deadlock or a lost edit when operators edit different rows at the
// same time.
func TestConcurrentEditsOfDifferentRows(t *testing.T) {
	is := is.New(t)
	ctx, target := context.Background(), newTable(1, 0)
	editor := rollout.NewEditor(target, nil)
	_, err := editor.Apply(ctx, rollout.NewEdit("first", "ada", 0, 1, parseDocument(t, smallTemplate)))
	is.NoErr(err)
	var group sync.WaitGroup
	errs := make([]error, 4)
	for i := range errs {
		group.Go(func() {
			_, errs[i] = editor.Apply(ctx, rollout.NewEdit(fmt.Sprint(i), fmt.Sprint(i), 1, 1, parseDocument(t, organisationDocument(fmt.Sprint("o", i), 5+i))))
		})
	}
	group.Wait()
	is.NoErr(errors.Join(errs...))
	rows, err := rollout.LoadRows(ctx, target)
	is.NoErr(err)
	catalog, err := rollout.RenderRows(rows)
	is.NoErr(err)
	is.Equal(catalog.Version(), uint64(5))
	is.Equal(len(catalog.Services()), 4)
}

// Guards against a lost response to a commit that is reported as a failed edit, although
// the edit may have been stored.
func TestOutageOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	target := newTable(1, 100)
	_, err := rollout.NewEditor(target, nil).Apply(context.Background(), rollout.NewEdit("e", "ada", 0, 1, parseDocument(t, smallTemplate)))
	var unknown *rollout.UnknownOutcomeError
	var outage *table.OutageError
	is.True(errors.As(err, &unknown))
	is.True(errors.As(err, &outage))
	is.Equal(unknown.Version(), uint64(1))
}
