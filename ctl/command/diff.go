package command

import (
	"context"

	"briarwell.dev/core/rollout"
	"briarwell.dev/core/template"
)

type diffJSON struct {
	StoredVersion uint64        `json:"storedVersion"`
	Fields        []changeJSON  `json:"fields"`
	Effect        []changeJSON  `json:"effect"`
	Warnings      []warningJSON `json:"warnings"`
}

// runDiff plans the edit against the stored version and prints its changes.
func runDiff(ctx context.Context, inv *invocation) error {
	documents, err := readFiles(inv.files)
	if err != nil {
		return err
	}
	plan, stored, err := inv.planEdit(ctx, documents)
	if err != nil {
		return err
	}
	warnings := catalogWarnings(plan.Catalog())
	if inv.jsonOutput {
		return inv.printJSON(diffJSON{
			StoredVersion: stored, Fields: changesJSON(plan.FieldChanges()), Effect: changesJSON(plan.RuleChanges()), Warnings: warnings,
		})
	}
	inv.printf("stored version: %d\n", stored)
	if plan.IsEmpty() {
		inv.printf("no field changes\n")
	}
	inv.printChanges("fields", plan.FieldChanges())
	inv.printChanges("effect on services", plan.RuleChanges())
	inv.printWarnings(warnings)
	return nil
}

// planEdit plans an edit of the documents and returns the stored version on which
// the plan is based.
func (inv *invocation) planEdit(ctx context.Context, documents []template.Document) (rollout.Plan, uint64, error) {
	rows, err := rollout.LoadRows(ctx, inv.table)
	if err != nil {
		return rollout.Plan{}, 0, err
	}
	versions, err := rollout.DecodeVersions(rows)
	if err != nil {
		return rollout.Plan{}, 0, err
	}
	stored := versions.Head().Version()
	plan, err := rollout.NewPlan(rows, rollout.NewEdit("", inv.author, stored, 0, documents...))
	return plan, stored, err
}
