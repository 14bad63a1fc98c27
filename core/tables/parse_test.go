package tables_test

import (
	"flag"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/diff"
	"github.com/rogpeppe/go-internal/txtar"
	"pgregory.net/rapid"

	"cyclamendyke"
	"cyclamendyke/core/tables"
)

// The fixed seed makes every run generate the same texts; the flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestParse parses the tables in each archive of testdata and compares the result with
// the archive's file want.
func TestParse(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	is.New(t).NoErr(err)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			is.New(t).NoErr(err)
			files := map[string][]byte{}
			for _, file := range archive.Files {
				files[file.Name] = file.Data
			}
			text := cyclamendyke.TablesText{Routes: string(files["routes"]), Pools: string(files["pools"])}
			parsed, faults := tables.Parse(text, 7)
			if (parsed == nil) == (len(faults) == 0) {
				t.Fatal("Parse returned both tables and faults, or neither")
			}
			got := []byte(describe(parsed, faults))
			if d := diff.Diff("want", files["want"], "got", got); len(d) > 0 {
				t.Errorf("%s", d)
			}
		})
	}
}

func describe(parsed *cyclamendyke.Tables, faults []cyclamendyke.Fault) string {
	var b strings.Builder
	for _, fault := range faults {
		fmt.Fprintln(&b, fault)
	}
	if parsed == nil {
		return b.String()
	}
	for _, name := range slices.Sorted(maps.Keys(parsed.Pools)) {
		p := parsed.Pools[name]
		fmt.Fprintf(&b, "pool %s: cores %d memory %d accelerators %d slots %d connections %d zones %v kinds %v headroom %d\n", p.Name, p.Shape.Cores, p.Shape.Memory, p.Shape.Accelerators, p.Shape.Slots, p.Shape.Connections, p.Zones, p.Kinds, p.Headroom)
	}
	for _, name := range slices.Sorted(maps.Keys(parsed.Routes)) {
		r := parsed.Routes[name]
		fmt.Fprintf(&b, "route %s: kind %s pools %v teams %v open %v urgent %v max-queue %d zone-loss %s\n", r.Name, r.Kind, r.Pools, r.Teams, r.Open, r.Urgent, r.MaxQueue, r.ZoneLoss)
	}
	for _, name := range slices.Sorted(maps.Keys(parsed.Teams)) {
		team := parsed.Teams[name]
		fmt.Fprintf(&b, "team %s: share %d limit %v\n", team.Name, team.Share, team.Limit)
	}
	return b.String()
}

func TestParseRefusesOversizedTables(t *testing.T) {
	is := is.New(t)
	comment := strings.Repeat("# comment\n", tables.MaxBytes/10)
	_, faults := tables.Parse(cyclamendyke.TablesText{Routes: comment}, 1)
	is.Equal(len(faults), 1)
	is.Equal(faults[0].Reason, "both tables together are larger than 1 MB")
}

// TestParseArbitraryLines checks that Parse turns any combination of lines into tables
// that match the text or into faults with a line.
func TestParseArbitraryLines(t *testing.T) {
	lines := []string{`[pool "x"]`, `[route "r"]`, `[team "t"]`, "cores = 4", "memory = 1GiB", "slots = 1", "connections = 1", "zones = z", "kinds = batch", "kind = batch", "pools = x", "teams = t", "share = 1", "open = true", `a = """`, "a = `", `a = \`, "[", "\x00", "\xff", "%(a)s = b", "share = %(share)s", "share = 1 # one"}
	rapid.Check(t, func(t *rapid.T) {
		lineSlices := rapid.SliceOfN(rapid.SampledFrom(lines), 0, 12)
		text := cyclamendyke.TablesText{
			Routes: strings.Join(lineSlices.Draw(t, "routes"), "\n"),
			Pools:  strings.Join(lineSlices.Draw(t, "pools"), "\n"),
		}
		parsed, faults := tables.Parse(text, 1)
		if (parsed == nil) == (len(faults) == 0) {
			t.Fatal("Parse returned both tables and faults, or neither")
		}
		for _, fault := range faults {
			if fault.Line < 1 || fault.Reason == "" {
				t.Fatalf("fault without line or reason: %v", fault)
			}
		}
		for _, pool := range deref(parsed).Pools {
			if pool.Shape != (cyclamendyke.Resources{Cores: 4000, Memory: 1024, Slots: 1, Connections: 1}) {
				t.Fatalf("pool %v does not match its lines", pool)
			}
		}
	})
}

func deref(parsed *cyclamendyke.Tables) cyclamendyke.Tables {
	if parsed == nil {
		return cyclamendyke.Tables{}
	}
	return *parsed
}
