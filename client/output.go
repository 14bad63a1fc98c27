package client

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"cyclamendyke"
)

// columnGap is the minimum number of spaces between two columns.
const columnGap = 2

// print writes value as JSON or the rows that table returns as a table, as --output selects.
func (c *Client) print(value any, table func() [][]string) error {
	if c.options.Output == outputJSON {
		encoder := json.NewEncoder(c.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	writer := tabwriter.NewWriter(c.Stdout, 0, 0, columnGap, ' ', 0)
	for _, row := range table() {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

// tableRows returns the header and one row for each item.
func tableRows[T any](header []string, items []T, row func(T) []string) [][]string {
	rows := make([][]string, 0, 1+len(items))
	rows = append(rows, header)
	for _, item := range items {
		rows = append(rows, row(item))
	}
	return rows
}

func (c *Client) printOutcome(outcome cyclamendyke.Outcome) error {
	return c.print(outcome, func() [][]string { return outcomeRows(outcome) })
}

func outcomeRows(outcome cyclamendyke.Outcome) [][]string {
	rows := [][]string{
		{"request", string(outcome.Request)},
		{"verdict", string(outcome.Verdict)},
	}
	if outcome.Reason != cyclamendyke.ReasonNone {
		rows = append(rows, []string{"reason", string(outcome.Reason)})
	}
	if outcome.Detail != "" {
		rows = append(rows, []string{"detail", outcome.Detail})
	}
	if outcome.RetryAfter > 0 {
		rows = append(rows, []string{"come back in", outcome.RetryAfter.String()})
	}
	if len(outcome.Results) > 0 {
		rows = append(rows, nil, []string{"TASK", "WORKER", "EXIT", "TOOK", "OUTPUT"})
	}
	for _, result := range outcome.Results {
		rows = append(rows, []string{
			fmt.Sprint(result.Task.Index),
			string(result.Worker),
			fmt.Sprint(result.ExitCode),
			result.Finished.Sub(result.Started).Round(time.Millisecond).String(),
			fmt.Sprintf("%q", result.Output),
		})
	}
	return rows
}

// formatResources lists the resources that are not zero.
func formatResources(r cyclamendyke.Resources) string {
	var parts []string
	add := func(amount int64, text string) {
		if amount != 0 {
			parts = append(parts, text)
		}
	}
	add(int64(r.Cores), fmt.Sprintf("%g cores", float64(r.Cores)/1000))
	add(int64(r.Memory), fmt.Sprintf("%d MiB", r.Memory))
	add(r.Accelerators, fmt.Sprintf("%d accelerators", r.Accelerators))
	add(r.Slots, fmt.Sprintf("%d slots", r.Slots))
	add(r.Connections, fmt.Sprintf("%d connections", r.Connections))
	return cmp.Or(strings.Join(parts, ", "), "-")
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02T15:04:05.000Z")
}

func formatEpoch(epoch cyclamendyke.Epoch) string {
	if epoch.IsZero() {
		return "-"
	}
	return epoch.String()
}

func formatText[T ~string](text T) string {
	return cmp.Or(string(text), "-")
}
