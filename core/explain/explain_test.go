package explain_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/diff"
	"github.com/rogpeppe/go-internal/txtar"

	"cyclamendyke"
	"cyclamendyke/core/explain"
	"cyclamendyke/io/logline"
)

// TestExplain explains the subject in the first line of each archive of testdata from the archive's
// logs, in both orders of the files, and compares the result with the file want.
func TestExplain(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	is.New(t).NoErr(err)
	is.New(t).True(len(paths) > 0)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			is := is.New(t)
			archive, err := txtar.ParseFile(path)
			is.NoErr(err)
			subject, err := explain.ParseSubject(strings.Fields(string(archive.Comment))[0])
			is.NoErr(err)
			logs := archive.Files[:len(archive.Files)-1]
			want := archive.Files[len(archive.Files)-1]
			is.Equal(want.Name, "want")
			for range 2 {
				got := describe(explainLogs(t, subject, logs))
				if d := diff.Diff("want", want.Data, "got", []byte(got)); len(d) > 0 {
					t.Fatalf("%s", d)
				}
				slices.Reverse(logs)
			}
		})
	}
}

func explainLogs(t *testing.T, subject explain.Subject, logs []txtar.File) *explain.Explanation {
	t.Helper()
	collector := explain.NewCollector(explain.Config{Subject: subject})
	for _, log := range logs {
		reader := logline.NewReader(logline.Config{Source: log.Name, Input: bytes.NewReader(log.Data), Wanted: collector.Wanted})
		for {
			record, err := reader.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			is.New(t).NoErr(err)
			collector.Add(record)
		}
	}
	return collector.Explain()
}

func describe(e *explain.Explanation) string {
	var b strings.Builder
	fmt.Fprintln(&b, e.Summary)
	for _, f := range e.Findings {
		fmt.Fprintf(&b, "! %s %s: %s (%s)\n", f.Time, f.Kind, f.Text, f.Caveat)
	}
	for _, entry := range e.Entries {
		text := entry.Text
		if entry.Kind == explain.EntryContext {
			text = "[" + text + "]"
		}
		fmt.Fprintf(&b, "%s %s%v e%d %s", entry.Time, entry.Process, entry.Others, entry.Epoch, text)
		if entry.Scheduler != "" {
			fmt.Fprintf(&b, " | %s", entry.Scheduler)
		}
		if entry.ClockStep != 0 {
			fmt.Fprintf(&b, " | moved %v", entry.ClockStep)
		}
		fmt.Fprintln(&b)
	}
	for _, gap := range e.Missing {
		fmt.Fprintf(&b, "? %s: %s\n", gap.Kind, gap.Text)
	}
	if e.Duplicates > 0 {
		fmt.Fprintln(&b, "duplicates", e.Duplicates)
	}
	return b.String()
}

func TestParseSubject(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"0123456789abcdef", "0123456789ABCDEF", "0123456789abcdef.0.12.3"} {
		subject, err := explain.ParseSubject(text)
		is.NoErr(err)
		is.Equal(subject.String(), text)
	}
	for _, text := range []string{
		"", "0123456789abcde", "0123456789abcdefa", "0123456789abcdeg", "0123456789abcdef.", "0123456789abcdef.0.0",
		"0123456789abcdef.0.0.x", "0123456789abcdef.0.0.-1", "0123456789abcdef.0.0.01", "0123456789abcdef.0.0.0.0",
	} {
		_, err := explain.ParseSubject(text)
		is.True(errors.Is(err, cyclamendyke.KindInvalid)) // The text is no subject.
	}
}

// TestCollectorIsBounded adds more records about the subject and the fleet than are kept.
func TestCollectorIsBounded(t *testing.T) {
	is := is.New(t)
	subject, err := explain.ParseSubject("00000000000000aa")
	is.NoErr(err)
	collector := explain.NewCollector(explain.Config{Subject: subject, MaxRecords: 10})
	for i := range 100 {
		record := cyclamendyke.LogRecord{Source: "log", Line: i, Process: "a", Message: "unplaced", Epoch: 1, Task: "00000000000000aa.0.0", Reason: fmt.Sprint(i)}
		collector.Add(record)
		record.Message, record.Task = "session lost", ""
		collector.Add(record)
	}
	explanation := collector.Explain()
	is.Equal(len(explanation.Entries), 20)
	is.Equal(explanation.Omitted, 180)
}
