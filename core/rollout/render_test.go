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

// Guards against a daemon that goes back to an older version, or that stops
// serving or skips the report when a body can't be rendered.
func TestActiveCatalogUpdate(t *testing.T) {
	is := is.New(t)
	var force rollout.ActiveCatalog
	timeout := func() int {
		rules, _ := force.Catalog().Service("o/s")
		return int(rules.Routes()[0].Timeout())
	}
	changed, err := force.Update(nil)
	is.NoErr(err)
	is.True(!changed)
	changed, err = force.Update(configRows(4, "40"))
	is.NoErr(err)
	is.True(changed)
	is.Equal(force.Catalog().Version(), uint64(4))
	changed, err = force.Update(configRows(3, "30"))
	is.NoErr(err)
	is.True(!changed)
	is.Equal(timeout(), 40)
	var failed *template.RenderError
	changed, err = force.Update(configRows(5, `"long"`))
	is.True(errors.As(err, &failed))
	is.Equal(failed.Organisation(), "o")
	is.True(!changed)
	is.Equal(force.Catalog().Version(), uint64(4))
	is.Equal(timeout(), 40)
	var unread *rollout.RowError
	_, err = force.Update(configRows(6, `}`))
	is.True(errors.As(err, &unread))
	is.Equal(unread.Key(), rollout.OrganisationKey("o"))
	changed, err = force.Update(configRows(7, "70"))
	is.NoErr(err)
	is.True(changed)
	is.Equal(timeout(), 70)
}

// Guards against a copy with the rows of two versions: the daemon would report
// a version whose rules it doesn't have in force, and accepted would be wrong.
func TestRenderRowsRejectsMixedVersions(t *testing.T) {
	is := is.New(t)
	missing := configRows(4, "40")[:2]
	newer, older := configRows(4, "40"), configRows(4, "40")
	newer[0], older[0] = headRow(3, 1, 3), headRow(5, 1, 5)
	for _, rows := range [][]table.Row{missing, newer, older, newer[1:]} {
		_, err := rollout.RenderRows(rows)
		var incomplete *rollout.VersionMismatchError
		is.True(errors.As(err, &incomplete))
	}
}

// Guards against a daemon that goes back or shows rules of another version than
// it reports, when copies of the rows arrive late, repeated and out of order.
// The values that the edits stored are the reference.
func TestActiveCatalogOutOfOrderUpdates(t *testing.T) {
	checkWithFakeClock(t, func(draw *rapid.T) func() error {
		target := newTable(rapid.Uint64().Draw(draw, "seed"), rapid.IntRange(0, 20).Draw(draw, "lossPercent"))
		copies := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 30).Draw(draw, "copies")
		return func() error { return checkActiveCatalog(t, target, copies) }
	})
}

func checkActiveCatalog(t *testing.T, target *lossyTable, copies []int) error {
	ctx, editor := context.Background(), rollout.NewEditor(target, nil)
	reference := map[uint64]int{}
	kept := make([][]table.Row, 0, 10)
	for i := range 10 {
		documents := []template.Document{parseDocument(t, organisationDocument("o", 100+i))}
		if i == 0 {
			documents = append(documents, parseDocument(t, smallTemplate))
		}
		applied, err := editor.Apply(ctx, rollout.NewEdit(fmt.Sprint(i), "ada", uint64(len(reference)), 1, documents...))
		if err != nil {
			return nil // An outage longer than all attempts; TestRacingEditsLoseNothing counts them.
		}
		reference[applied.Version()] = 100 + i
		rows, err := rollout.LoadRows(ctx, target)
		if err != nil {
			return err
		}
		kept = append(kept, rows)
	}
	var force rollout.ActiveCatalog
	newest := uint64(0)
	for step, i := range copies {
		before := force.Catalog().Version()
		// Every third copy mixes the organisation of this version with the head
		// of the one that came before it.
		rows, mixed := slices.Clone(kept[i]), step%3 == 2 && copies[step-1] != i
		if mixed {
			rows[0] = kept[copies[step-1]][0]
		} else {
			newest = max(newest, uint64(i+1))
		}
		changed, err := force.Update(rows)
		version := force.Catalog().Version()
		if (err != nil) != mixed || version != newest || changed != (version > before) || firstRouteTimeout(force.Catalog(), "o/s") != reference[version] {
			return fmt.Errorf("version %d in force after the copy of %d, newest %d: %w", version, i+1, newest, err)
		}
	}
	return nil
}
