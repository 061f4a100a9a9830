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
	objects "briarwell.dev/core/object/memory"
	"briarwell.dev/core/rollout"
	"briarwell.dev/core/table"
	"briarwell.dev/core/template"
)

type countingStore struct {
	objects.Store
	puts int
}

func (s *countingStore) Put(ctx context.Context, body []byte) (object.Digest, error) {
	s.puts++
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

// checkWithFakeClock runs what the property draws under a fake clock, so that the pauses
// between attempts take no time.
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

// Guards against an edit that stores bodies which daemons can't read back, or a
// history that lacks the former or the new body.
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
	again, err := editor.Apply(ctx, rollout.NewEdit("e3", "bisi", 2, 3000, edited))
	is.NoErr(err)
	is.True(again.Plan().IsEmpty())
	is.Equal(again.Version(), uint64(2))
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
	is.Equal(store.puts, 1) // Only the template is larger than a history row may hold.
	_, body, err := history[1].Changes()[0].Bodies(ctx, store)
	is.NoErr(err)
	is.True(strings.Contains(string(body), "lendingService"))
}

// Guards against an edit that is refused without saying which versions and
// whose edit it met, or that changes what can't change.
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
	var found strings.Builder
	attempt := func(name string, expect uint64, documents ...template.Document) error {
		_, err := editor.Apply(ctx, rollout.NewEdit(name, "chi", expect, 1, documents...))
		fmt.Fprintf(&found, "%s: %v\n", name, err)
		return err
	}
	var conflict *rollout.ConflictError
	is.True(errors.As(attempt("same row", 1, one), &conflict))
	is.Equal([]uint64{conflict.Expected(), conflict.Actual()}, []uint64{1, 2})
	is.Equal(conflict.Author(), "bisi")
	is.NoErr(attempt("other row", 1, parseDocument(t, organisationDocument("p", 7))))
	is.True(attempt("template of a changed organisation", 1, parseDocument(t, strings.Replace(smallTemplate, "5", "4", 1))) != nil)
	is.True(attempt("future version", 9, one) != nil)
	is.True(attempt("duplicate", 3, one, one) != nil)
	var shards *rollout.ShardCountError
	is.True(errors.As(attempt("shards", 3, parseDocument(t, strings.Replace(smallTemplate, `"shards": 8`, `"shards": 9`, 1))), &shards))
	unkeyed := strings.Replace(smallTemplate, `"keyed": true, "shards": 8, "fencing": "epoch"`, `"keyed": false`, 1)
	is.True(errors.As(attempt("keys removed", 3, parseDocument(t, unkeyed)), &shards))
	is.NoErr(attempt("service renamed", 3, parseDocument(t, strings.Replace(smallTemplate, `"name": "s"`, `"name": "r"`, 1))))
	is.True(errors.As(attempt("service back with other shards", 4, parseDocument(t, strings.Replace(smallTemplate, `"shards": 8`, `"shards": 16`, 1))), &shards))
	is.True(attempt("unknown kind", 4, parseDocument(t, `{"name": "q", "kind": "z"}`)) != nil)
	is.True(attempt("bad value", 4, parseDocument(t, organisationDocument("q", 0))) != nil)
	goldie.New(t).Assert(t, "plan-errors", []byte(found.String()))
}

// Guards against a lost update: racing editors that read, add to a value and
// write must all be counted. The naive editor, which writes what it last read
// without a condition, is run on the same schedules to show that they race.
func TestConcurrentEditsLoseNoUpdate(t *testing.T) {
	naiveLost, undecided := 0, 0
	checkWithFakeClock(t, func(draw *rapid.T) func() error {
		seed := rapid.Uint64().Draw(draw, "seed")
		loss := rapid.IntRange(0, 30).Draw(draw, "lossPercent")
		order := rapid.SliceOfN(rapid.IntRange(0, 2), 6, 18).Draw(draw, "order")
		return func() error {
			stored, told, err := runEditors(t, newTable(seed, loss), order, false)
			if uncertain := new(rollout.UnknownOutcomeError); errors.As(err, &uncertain) {
				undecided++
				return nil
			}
			if err != nil || stored != told {
				return errors.Join(err, fmt.Errorf("%d edits were told as stored, the value counts %d", told, stored))
			}
			stored, told, err = runEditors(t, newTable(seed, 0), order, true)
			naiveLost += told - stored
			return err
		}
	})
	if undecided > 10 {
		t.Fatalf("%d schedules ended in an outage longer than all attempts", undecided)
	}
	if naiveLost == 0 {
		t.Fatal("no schedule made the naive editor lose an edit: the schedules don't race")
	}
}

// runEditors lets three operators alternate between reading a counter and
// storing it plus one. It returns the counter and how many edits were told as
// stored.
func runEditors(t *testing.T, target *lossyTable, order []int, naive bool) (stored, told int, err error) {
	ctx, editor := context.Background(), rollout.NewEditor(target, nil)
	apply := func(id string, expect uint64, documents ...template.Document) error {
		_, err := editor.Apply(ctx, rollout.NewEdit(id, id, expect, 1, documents...))
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
	seen := map[int][2]int{}
	for step, operator := range order {
		view, reading := seen[operator]
		if !reading {
			version, value := read()
			seen[operator] = [2]int{int(version), value}
			continue
		}
		delete(seen, operator)
		expect := uint64(view[0])
		if naive {
			expect, _ = read()
		}
		editErr := apply(fmt.Sprint("edit", step), expect, parseDocument(t, organisationDocument("o", view[1]+1)))
		if editErr == nil {
			told++
		} else if conflict := new(rollout.ConflictError); !errors.As(editErr, &conflict) {
			return 0, 0, editErr
		}
	}
	_, value := read()
	return value - 100, told, err
}

// Guards against a deadlock or a lost edit between processes that edit rows of
// their own at the same time.
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

// Guards against an outage that is told as a failed edit although the edit may
// have been stored, and against a read outage told as uncertain.
func TestOutageOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	target := newTable(1, 100)
	_, err := rollout.NewEditor(target, nil).Apply(context.Background(), rollout.NewEdit("e", "ada", 0, 1, parseDocument(t, smallTemplate)))
	var uncertain *rollout.UnknownOutcomeError
	var outage *table.OutageError
	is.True(errors.As(err, &uncertain))
	is.True(errors.As(err, &outage))
	is.Equal(uncertain.Version(), uint64(1))
}
