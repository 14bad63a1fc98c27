package client

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/delays"
	"cyclamendyke/io/logline"
)

type delaysOptions struct {
	client *Client
	Long   time.Duration `long:"long" default:"5s" description:"count workflows that took at least this long by themselves"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" description:"logs of the processes; standard input if none is named"`
	} `positional-args:"yes"`
}

// Execute tells from logs in which seconds callers waited too long, and for what.
func (o *delaysOptions) Execute([]string) error {
	if o.Long <= 0 {
		return &Error{Op: "delays", Kind: cyclamendyke.KindInvalid, Detail: "--long must be positive, such as 5s"}
	}
	collector := delays.NewCollector(delays.Config{Long: o.Long})
	if len(o.Args.Files) == 0 {
		if err := readDelays(collector, stdinName, o.client.Stdin); err != nil {
			return err
		}
	}
	for _, name := range o.Args.Files {
		if err := readDelaysFile(collector, name); err != nil {
			return err
		}
	}
	report := collector.Report()
	return o.client.print(report, func() [][]string { return delayRows(report) })
}

func readDelaysFile(collector *delays.Collector, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return newLogError("delays", name, err)
	}
	defer file.Close()
	return readDelays(collector, name, file)
}

func readDelays(collector *delays.Collector, name string, input io.Reader) error {
	reader := logline.NewReader(logline.Config{Source: name, Input: input, Wanted: collector.Wanted})
	for {
		record, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return newLogError("delays", name, err)
		}
		collector.Add(record)
	}
}

// delayRows returns the rows of each second with what happened in it.
func delayRows(report delays.Report) [][]string {
	rows := [][]string{{"SECOND", "QUEUE", "SENT", "REFUSED", "LATE", "LONG", "MOST TIME IN"}}
	events := report.Events
	tell := func(until int) {
		for len(events) > 0 && events[0].Second <= until {
			rows = append(rows, []string{fmt.Sprint(events[0].Second), "", "", "", "", "", fmt.Sprintf("[%s, lines: %d]", events[0].Text, events[0].Count)})
			events = events[1:]
		}
	}
	for _, row := range report.Rows {
		tell(row.Second - 1)
		rows = append(rows, []string{
			fmt.Sprint(row.Second), string(row.Queue), fmt.Sprint(row.Sent), fmt.Sprint(row.Refused), fmt.Sprint(row.Late),
			fmt.Sprint(row.Long), row.Phases,
		})
	}
	if len(events) > 0 {
		tell(events[len(events)-1].Second)
	}
	return rows
}
