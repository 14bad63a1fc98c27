package logline_test

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/diff"
	"github.com/rogpeppe/go-internal/txtar"
	"pgregory.net/rapid"

	"cyclamendyke"
	"cyclamendyke/io/logline"
)

// The fixed seed makes every run generate the same input; the flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const wantedID = "00000000000000aa"

func newReader(input io.Reader) *logline.Reader {
	return logline.NewReader(logline.Config{
		Source: "log", Input: input,
		Wanted: func(message string, line []byte) bool {
			return message == "elected" || bytes.Contains(line, []byte(wantedID))
		},
	})
}

func readAll(t require, reader *logline.Reader) []cyclamendyke.LogRecord {
	var records []cyclamendyke.LogRecord
	for {
		record, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return records
		}
		if err != nil {
			t.Fatalf("%v", err)
		}
		records = append(records, record)
	}
}

type require interface {
	Fatalf(format string, args ...any)
}

// TestReader reads the log in each archive of testdata and compares the records and counts with the
// archive's file want.
func TestReader(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	is.New(t).NoErr(err)
	is.New(t).True(len(paths) > 0)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			is.New(t).NoErr(err)
			var got strings.Builder
			reader := newReader(bytes.NewReader(archive.Files[0].Data))
			for _, record := range readAll(t, reader) {
				got.WriteString(describe(record))
			}
			fmt.Fprintf(&got, "%+v\n", reader.Counts())
			if d := diff.Diff("want", archive.Files[1].Data, "got", []byte(got.String())); len(d) > 0 {
				t.Errorf("%s", d)
			}
		})
	}
}

// describe returns the fields that are not zero, in the order of the struct.
func describe(r cyclamendyke.LogRecord) string {
	text := fmt.Sprintf("%d:", r.Line)
	if !r.Time.IsZero() {
		text += " " + r.Time.Format("2006-01-02T15:04:05.000")
	}
	for _, field := range []struct {
		name  string
		value any
	}{
		{"dated", r.Dated}, {"elapsed", r.Elapsed}, {"truncated", r.Truncated}, {"process", r.Process}, {"msg", r.Message}, {"epoch", r.Epoch},
		{"request", r.Request}, {"workflow", r.Workflow}, {"task", r.Task}, {"target", r.Target}, {"run", r.Run},
		{"reason", r.Reason}, {"count", r.Count}, {"age", r.Age}, {"team", r.Team}, {"queue", r.Queue}, {"result", r.Result},
		{"version", r.Version}, {"store-age", r.StoreAge}, {"state", r.State}, {"member", r.Member}, {"err", r.Err},
	} {
		switch value := fmt.Sprint(field.value); value {
		case "", "0", "0s", "false":
		default:
			text += fmt.Sprintf(" %s=%q", field.name, value)
		}
	}
	return text + "\n"
}

// TestReaderSkipsLongLines reads a line at the limit, one beyond it and one after it.
func TestReaderSkipsLongLines(t *testing.T) {
	is := is.New(t)
	head := "time=10:00:00.000 level=info msg=elected node=a err="
	fits := head + strings.Repeat("x", logline.MaxLineBytes-len(head)-1) + "\n"
	reader := newReader(strings.NewReader(fits + "y" + fits + fits + strings.Repeat("z", 3*logline.MaxLineBytes)))
	records := readAll(t, reader)
	is.Equal(len(records), 2)
	is.Equal(records[1].Line, 3)
	is.Equal(reader.Counts(), logline.Counts{Logfmt: 2, TooLong: 2})
}

type brokenInput struct{}

var errBroken = errors.New("broken")

func (brokenInput) Read([]byte) (int, error) { return 0, errBroken }

func TestReaderReturnsReadErrors(t *testing.T) {
	_, err := newReader(brokenInput{}).Next()
	is.New(t).True(errors.Is(err, errBroken))
}

// TestReaderCountsEveryLine damages lines at random: each line is counted once, and nothing panics.
func TestReaderCountsEveryLine(t *testing.T) {
	lines := []string{
		`time=10:00:00.000 level=info msg="stop ordered" node=a task=` + wantedID + `.0.0.1 run=7 epoch=2`,
		`{"time":"10:00:00.000","level":"info","msg":"placed","node":"a","task":"` + wantedID + `.0.0.1","run":7,"age":"5ms"}`,
		` -1.5 a time=10:00:00.000 level=info msg=elected node=a epoch=2`,
		"INFO msg=[HTTP] server listening on: 10.0.0.1:80",
	}
	rapid.Check(t, func(t *rapid.T) {
		var input []byte
		count := rapid.IntRange(0, 20).Draw(t, "lines")
		for range count {
			line := []byte(rapid.SampledFrom(lines).Draw(t, "line"))
			from := rapid.IntRange(0, len(line)-1).Draw(t, "from")
			until := rapid.IntRange(from+1, len(line)).Draw(t, "until")
			line = line[from:until]
			line[rapid.IntRange(0, len(line)-1).Draw(t, "at")] = rapid.SampledFrom([]byte("x \"{}=\\\x00\xff")).Draw(t, "byte")
			input = append(append(input, line...), '\n')
		}
		reader := newReader(bytes.NewReader(input))
		readAll(t, reader)
		if got := reader.Counts().Lines(); got != count {
			t.Fatalf("counted %d lines of %d", got, count)
		}
	})
}
