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

// runDiff plans the edit against the stored version and shows it.
func runDiff(ctx context.Context, c *invocation) error {
	documents, err := readFiles(c.files)
	if err != nil {
		return err
	}
	plan, stored, err := c.planEdit(ctx, documents)
	if err != nil {
		return err
	}
	found := catalogWarnings(plan.Catalog())
	if c.jsonOutput {
		return c.printJSON(diffJSON{
			StoredVersion: stored, Fields: changesJSON(plan.FieldChanges()), Effect: changesJSON(plan.RuleChanges()), Warnings: found,
		})
	}
	c.printf("stored version: %d\n", stored)
	if plan.IsEmpty() {
		c.printf("no field changes\n")
	}
	c.printChanges("fields", plan.FieldChanges())
	c.printChanges("effect on services", plan.RuleChanges())
	c.printWarnings(found)
	return nil
}

func (c *invocation) planEdit(ctx context.Context, documents []template.Document) (rollout.Plan, uint64, error) {
	rows, err := rollout.LoadRows(ctx, c.table)
	if err != nil {
		return rollout.Plan{}, 0, err
	}
	versions, err := rollout.DecodeVersions(rows)
	if err != nil {
		return rollout.Plan{}, 0, err
	}
	stored := versions.Head().Version()
	plan, err := rollout.NewPlan(rows, rollout.NewEdit("", c.author, stored, 0, documents...))
	return plan, stored, err
}
