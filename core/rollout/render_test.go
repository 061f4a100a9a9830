package rollout_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"briarwell.dev/core/rollout"
	"briarwell.dev/core/table"
	"briarwell.dev/core/template"
)

const smallTemplate = `{"kind": "k", "parameters": [{"name": "t", "type": "integer", "default": 5}],
	"services": [{"name": "s", "keyed": true, "shards": 8, "fencing": "epoch", "routes": [{"idempotent": true, "timeoutMillis": {"parameter": "t"}}]}]}`

func configRow(key string, version uint64, body string) table.Row {
	return table.NewRow(key, table.Revision(version), fmt.Appendf(nil, `{"version": %d, "author": "ada", "body": %s}`, version, body))
}

func headRow(version, kind, organisation uint64) table.Row {
	value := fmt.Appendf(nil, `{"version": %d, "documents": {"config/template/k": %d, "config/organisation/o": %d}}`, version, kind, organisation)
	return table.NewRow(rollout.KeyHead, table.Revision(version), value)
}

func configRows(version uint64, timeout string) []table.Row {
	return []table.Row{
		headRow(version, 1, version),
		configRow(rollout.TemplateKey("k"), 1, smallTemplate),
		configRow(rollout.OrganisationKey("o"), version, `{"name": "o", "kind": "k", "parameters": {"t": `+timeout+`}}`),
		table.NewRow("member/1", 9, []byte("not JSON")),
	}
}

// Guards against a daemon that returns to an older version, and against one that drops
// its catalog or reports no error when a document can't be rendered.
func TestActiveCatalogUpdate(t *testing.T) {
	is := is.New(t)
	var active rollout.ActiveCatalog
	timeout := func() int {
		rules, _ := active.Catalog().Service("o/s")
		return int(rules.Routes()[0].Timeout())
	}
	changed, err := active.Update(nil)
	is.NoErr(err)
	is.True(!changed)
	changed, err = active.Update(configRows(4, "40"))
	is.NoErr(err)
	is.True(changed)
	is.Equal(active.Catalog().Version(), uint64(4))
	changed, err = active.Update(configRows(3, "30"))
	is.NoErr(err)
	is.True(!changed)
	is.Equal(timeout(), 40)
	var renderError *template.RenderError
	changed, err = active.Update(configRows(5, `"long"`))
	is.True(errors.As(err, &renderError))
	is.Equal(renderError.Organisation(), "o")
	is.True(!changed)
	is.Equal(active.Catalog().Version(), uint64(4))
	is.Equal(timeout(), 40)
	var rowError *rollout.RowError
	_, err = active.Update(configRows(6, `}`))
	is.True(errors.As(err, &rowError))
	is.Equal(rowError.Key(), rollout.OrganisationKey("o"))
	changed, err = active.Update(configRows(7, "70"))
	is.NoErr(err)
	is.True(changed)
	is.Equal(timeout(), 70)
}

// Guards against rows of two versions in one catalog: the daemon would report a version
// whose rules it does not apply, and the version would be accepted wrongly.
func TestRenderRowsRejectsMixedVersions(t *testing.T) {
	is := is.New(t)
	withoutOrganisation := configRows(4, "40")[:2]
	newerThanHead, olderThanHead := configRows(4, "40"), configRows(4, "40")
	newerThanHead[0], olderThanHead[0] = headRow(3, 1, 3), headRow(5, 1, 5)
	for _, rows := range [][]table.Row{withoutOrganisation, newerThanHead, olderThanHead, newerThanHead[1:]} {
		_, err := rollout.RenderRows(rows)
		var mismatch *rollout.VersionMismatchError
		is.True(errors.As(err, &mismatch))
	}
}

// Guards against a daemon that returns to an older version, or applies rules of another
// version than it reports, when copies of the rows arrive late, repeated and out of
// order. The rules are compared with the values that the edits have stored.
func TestActiveCatalogOutOfOrderUpdates(t *testing.T) {
	checkWithFakeClock(t, func(draw *rapid.T) func() error {
		target := newTable(rapid.Uint64().Draw(draw, "seed"), rapid.IntRange(0, 20).Draw(draw, "lossPercent"))
		copies := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 30).Draw(draw, "copies")
		return func() error { return checkActiveCatalog(t, target, copies) }
	})
}

func checkActiveCatalog(t *testing.T, target *lossyTable, copies []int) error {
	ctx, editor := context.Background(), rollout.NewEditor(target, nil)
	timeouts := map[uint64]int{}
	snapshots := make([][]table.Row, 0, 10)
	for i := range 10 {
		documents := []template.Document{parseDocument(t, organisationDocument("o", 100+i))}
		if i == 0 {
			documents = append(documents, parseDocument(t, smallTemplate))
		}
		applied, err := editor.Apply(ctx, rollout.NewEdit(fmt.Sprint(i), "ada", uint64(len(timeouts)), 1, documents...))
		if err != nil {
			return nil // An outage longer than all attempts; TestConcurrentEditsLoseNoUpdate counts them.
		}
		timeouts[applied.Version()] = 100 + i
		rows, err := rollout.LoadRows(ctx, target)
		if err != nil {
			return err
		}
		snapshots = append(snapshots, rows)
	}
	var active rollout.ActiveCatalog
	newest := uint64(0)
	for step, i := range copies {
		before := active.Catalog().Version()
		// Every third copy combines the organisation row of this version with the
		// head row of the previous copy.
		rows, mixed := slices.Clone(snapshots[i]), step%3 == 2 && copies[step-1] != i
		if mixed {
			rows[0] = snapshots[copies[step-1]][0]
		} else {
			newest = max(newest, uint64(i+1))
		}
		changed, err := active.Update(rows)
		version := active.Catalog().Version()
		if (err != nil) != mixed || version != newest || changed != (version > before) || firstRouteTimeout(active.Catalog(), "o/s") != timeouts[version] {
			return fmt.Errorf("version %d is active after the copy of version %d, newest %d: %w", version, i+1, newest, err)
		}
	}
	return nil
}
