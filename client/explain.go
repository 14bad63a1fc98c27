package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"cyclamendyke"
	"cyclamendyke/core/explain"
	"cyclamendyke/io/logline"
)

// stdinName stands for standard input where files are named.
const stdinName = "standard input"

type explainOptions struct {
	client *Client
	Args   struct {
		ID    string   `positional-arg-name:"ID" required:"yes" description:"workflow, 16 hexadecimal digits, or task, such as 11e2a8e0f60cc382.0.0.3"`
		Files []string `positional-arg-name:"FILE" description:"logs of the processes; standard input if none is named"`
	} `positional-args:"yes"`
}

// Execute tells what logs say about a workflow or a task.
func (o *explainOptions) Execute([]string) error {
	return o.client.runExplain(o)
}

// explainBody is what explain prints.
type explainBody struct {
	*explain.Explanation
	Files int            `json:"files"`
	Lines logline.Counts `json:"lines"`
}

func (c *Client) runExplain(o *explainOptions) error {
	subject, err := explain.ParseSubject(o.Args.ID)
	if err != nil {
		return &Error{Op: "explain", Kind: cyclamendyke.KindInvalid, Detail: "nothing was read", Err: err}
	}
	ctx, cancel := c.withTimeout(0)
	defer cancel()
	body, err := c.explainInterruptibly(ctx, subject, o.Args.Files)
	if err != nil {
		return err
	}
	if !body.Found {
		return newNoTraceError(body)
	}
	return c.print(body, func() [][]string { return explainRows(body) })
}

// explainInterruptibly reads the logs in a goroutine of its own, since a read of standard input cannot
// be interrupted.
func (c *Client) explainInterruptibly(ctx context.Context, subject explain.Subject, files []string) (explainBody, error) {
	type result struct {
		body explainBody
		err  error
	}
	results := make(chan result, 1)
	go func() {
		body, err := c.explainFiles(subject, files)
		results <- result{body, err}
	}()
	select {
	case r := <-results:
		return r.body, r.err
	case <-ctx.Done():
		return explainBody{}, &Error{Op: "explain", Kind: cyclamendyke.KindInvalid, Detail: "stopped before all lines were read", Err: ctx.Err()}
	}
}

func (c *Client) explainFiles(subject explain.Subject, files []string) (explainBody, error) {
	collector := explain.NewCollector(explain.Config{Subject: subject})
	body := explainBody{Files: max(1, len(files))}
	if len(files) == 0 {
		counts, err := readLog(collector, stdinName, c.Stdin)
		body.Lines = counts
		if err != nil {
			return body, err
		}
	}
	for _, name := range files {
		counts, err := readLogFile(collector, name)
		if err != nil {
			return body, err
		}
		body.Lines = body.Lines.Add(counts)
	}
	body.Explanation = collector.Explain()
	return body, nil
}

func readLogFile(collector *explain.Collector, name string) (logline.Counts, error) {
	file, err := os.Open(name)
	if err != nil {
		return logline.Counts{}, newLogError("explain", name, err)
	}
	defer file.Close()
	return readLog(collector, name, file)
}

func readLog(collector *explain.Collector, name string, input io.Reader) (logline.Counts, error) {
	reader := logline.NewReader(logline.Config{Source: name, Input: input, Wanted: collector.Wanted})
	for {
		record, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return reader.Counts(), nil
		}
		if err != nil {
			return reader.Counts(), newLogError("explain", name, err)
		}
		collector.Add(record)
	}
}

func newLogError(op, name string, err error) error {
	return &Error{Op: op, Kind: cyclamendyke.KindInvalid, Detail: fmt.Sprintf("cannot read %s, so nothing is told", name), Err: err}
}

func newNoTraceError(body explainBody) error {
	detail := fmt.Sprintf("no line tells of %s; read: %s", body.Subject, describeLines(body))
	for _, gap := range body.Missing {
		detail += "; " + gap.Text
	}
	return &Error{Op: "explain", Exit: ExitNoTrace, Detail: detail + ". Check the ID and whether the logs of all processes are among the files"}
}

// describeLines counts what was read, by format.
func describeLines(body explainBody) string {
	parts := []string{fmt.Sprintf("lines: %d, files: %d", body.Lines.Lines(), body.Files)}
	for _, part := range []struct {
		count int
		text  string
	}{
		{body.Lines.Logfmt, "in logfmt"},
		{body.Lines.JSON, "in JSON"},
		{body.Lines.Truncated, "cut"},
		{body.Lines.Other, "of another origin"},
		{body.Lines.TooLong, "too long"},
		{body.Duplicates, "read twice"},
	} {
		if part.count > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", part.count, part.text))
		}
	}
	return strings.Join(parts, ", ")
}

// explainRows returns one section each for the summary, the findings, the entries and what is missing.
func explainRows(body explainBody) [][]string {
	rows := [][]string{{body.Subject + ": " + body.Summary}}
	if len(body.Findings) > 0 {
		rows = append(rows, nil, []string{"SHOULD NEVER BE"})
	}
	for _, finding := range body.Findings {
		text := finding.Text
		if finding.Caveat != "" {
			text += " (unless: " + finding.Caveat + ")"
		}
		rows = append(rows, []string{finding.Time + "  " + text})
	}
	rows = append(rows, nil, []string{"TIME", "PROCESS", "EPOCH", "WHAT HAPPENED"})
	for _, entry := range body.Entries {
		rows = append(rows, entryRow(entry))
	}
	if len(body.Missing) > 0 {
		rows = append(rows, nil, []string{"MISSING"})
	}
	for _, gap := range body.Missing {
		rows = append(rows, []string{"- " + gap.Text})
	}
	return append(rows, nil, []string{"read: " + describeLines(body)})
}

// entryRow returns the row of an entry; context is in brackets.
func entryRow(entry explain.Entry) []string {
	epoch := "-"
	if entry.Epoch != 0 {
		epoch = fmt.Sprint(entry.Epoch)
	}
	text := entry.Text
	if entry.Scheduler != "" {
		text += "; scheduler then: " + entry.Scheduler
	}
	if entry.ClockStep != 0 {
		text += fmt.Sprintf("; the clock of this process stepped back, this line came %v later than it says", entry.ClockStep)
	}
	if entry.Kind == explain.EntryContext {
		text = "[" + text + "]"
	}
	return []string{entry.Time, formatProcesses(entry), epoch, text}
}

// formatProcesses names the process and counts the others that logged the same.
func formatProcesses(entry explain.Entry) string {
	name := formatText(entry.Process)
	if len(entry.Others) > 0 {
		name += fmt.Sprintf(" +%d", len(entry.Others))
	}
	return name
}
