package command

import (
	"encoding/json"
	"text/tabwriter"
	"time"
)

// printJSON prints value as one line.
func (c *invocation) printJSON(value any) error {
	encoder := json.NewEncoder(c.stdout)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// printTable prints rows in columns. The first row holds the headings.
func (c *invocation) printTable(rows [][]string) {
	writer := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
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
