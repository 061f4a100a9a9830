package command

import (
	"encoding/json"
	"text/tabwriter"
	"time"
)

// printJSON prints the value as one line of JSON.
func (inv *invocation) printJSON(value any) error {
	encoder := json.NewEncoder(inv.stdout)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// printTable prints the rows in aligned columns. The first row is the header.
func (inv *invocation) printTable(rows [][]string) {
	writer := tabwriter.NewWriter(inv.stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = writer.Write([]byte{'\t'})
			}
			_, _ = writer.Write([]byte(cell))
		}
		_, _ = writer.Write([]byte{'\n'})
	}
	_ = writer.Flush()
}

func formatTime(unixMillis int64) string {
	return time.UnixMilli(unixMillis).UTC().Format(time.RFC3339)
}
