package command

import (
	"context"
	"strings"

	"briarwell.dev/core/rollout"
	"briarwell.dev/core/template"
)

type historyJSON struct {
	Version    uint64       `json:"version"`
	Author     string       `json:"author"`
	UnixMillis int64        `json:"unixMillis"`
	Rows       []rowJSON    `json:"rows"`
	Fields     []changeJSON `json:"fields"`
}

type rowJSON struct {
	Row          string `json:"row"`
	BeforeDigest string `json:"beforeDigest,omitempty"`
	AfterDigest  string `json:"afterDigest"`
	// Problem says why the fields are not shown.
	Problem string `json:"problem,omitempty"`
}

func runHistory(ctx context.Context, c *invocation) error {
	if c.historyCount < 1 {
		return newInputError("--count: found %d, allowed: an integer of at least 1", c.historyCount)
	}
	edits, err := rollout.ReadHistory(ctx, c.table, c.historyCount)
	if err != nil {
		return err
	}
	for _, edit := range edits {
		entry := c.describeEdit(ctx, edit)
		if c.jsonOutput {
			if err := c.printJSON(entry); err != nil {
				return err
			}
			continue
		}
		c.printEdit(entry)
	}
	return nil
}

func (c *invocation) describeEdit(ctx context.Context, edit rollout.HistoryEntry) historyJSON {
	stamp := edit.VersionInfo()
	result := historyJSON{Version: stamp.Version(), Author: stamp.Author(), UnixMillis: stamp.UnixMillis(), Fields: []changeJSON{}}
	for _, changed := range edit.Changes() {
		row := rowJSON{Row: strings.TrimPrefix(changed.Key(), rollout.Prefix), BeforeDigest: string(changed.BeforeDigest()), AfterDigest: string(changed.AfterDigest())}
		before, after, err := changed.Bodies(ctx, c.store)
		if err != nil {
			row.Problem = err.Error()
		} else {
			result.Fields = append(result.Fields, rowChanges(row.Row, before, after)...)
		}
		result.Rows = append(result.Rows, row)
	}
	return result
}

func rowChanges(row string, before, after []byte) []changeJSON {
	changes := template.DiffDocuments(before, after)
	for i := range changes {
		changes[i] = changes[i].WithPathPrefix(row + ": ")
	}
	return changesJSON(changes)
}

func (c *invocation) printEdit(edit historyJSON) {
	c.printf("version %d by %s at %s\n", edit.Version, edit.Author, formatTime(edit.UnixMillis))
	for _, row := range edit.Rows {
		if row.Problem != "" {
			c.printf("  %s: fields are not shown: %s\n", row.Row, row.Problem)
		}
	}
	for _, line := range summariseChanges(edit.Fields) {
		c.printf("  %s\n", line)
	}
}
