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
	// Problem is the reason why the changed fields are not shown, or "".
	Problem string `json:"problem,omitempty"`
}

func runHistory(ctx context.Context, inv *invocation) error {
	if inv.historyCount < 1 {
		return newInputError("--count: found %d, allowed: an integer of at least 1", inv.historyCount)
	}
	edits, err := rollout.ReadHistory(ctx, inv.table, inv.historyCount)
	if err != nil {
		return err
	}
	for _, edit := range edits {
		entry := inv.describeEdit(ctx, edit)
		if inv.jsonOutput {
			if err := inv.printJSON(entry); err != nil {
				return err
			}
			continue
		}
		inv.printEdit(entry)
	}
	return nil
}

func (inv *invocation) describeEdit(ctx context.Context, edit rollout.HistoryEntry) historyJSON {
	info := edit.VersionInfo()
	result := historyJSON{Version: info.Version(), Author: info.Author(), UnixMillis: info.UnixMillis(), Fields: []changeJSON{}}
	for _, change := range edit.Changes() {
		row := rowJSON{Row: strings.TrimPrefix(change.Key(), rollout.Prefix), BeforeDigest: string(change.BeforeDigest()), AfterDigest: string(change.AfterDigest())}
		before, after, err := change.Bodies(ctx, inv.store)
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

func (inv *invocation) printEdit(edit historyJSON) {
	inv.printf("version %d by %s at %s\n", edit.Version, edit.Author, formatTime(edit.UnixMillis))
	for _, row := range edit.Rows {
		if row.Problem != "" {
			inv.printf("  %s: can't show changed fields: %s\n", row.Row, row.Problem)
		}
	}
	for _, line := range summariseChanges(edit.Fields) {
		inv.printf("  %s\n", line)
	}
}
