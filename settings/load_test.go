package settings_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/diff"
	"github.com/rogpeppe/go-internal/txtar"

	"cyclamendyke"
	"cyclamendyke/settings"
)

// TestLoad checks the result of Load for the settings file in each archive of testdata.
func TestLoad(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	is.New(t).NoErr(err)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			is := is.New(t)
			archive, err := txtar.ParseFile(path)
			is.NoErr(err)
			file := filepath.Join(t.TempDir(), archive.Files[0].Name)
			is.NoErr(os.WriteFile(file, archive.Files[0].Data, 0o600))
			daemon, faults, err := settings.Load(file)
			is.NoErr(err)
			is.Equal(daemon == nil, len(faults) > 0)
			got := []byte(describe(daemon, faults))
			if d := diff.Diff("want", archive.Files[1].Data, "got", got); len(d) > 0 {
				t.Errorf("%s", d)
			}
		})
	}
}

// TestLoadExample checks that the example settings are valid and that the operators' page explains
// each of their keys.
func TestLoadExample(t *testing.T) {
	is := is.New(t)
	daemon, faults, err := settings.Load("../examples/daemon.ini")
	is.NoErr(err)
	is.Equal(len(faults), 0)
	is.Equal(daemon.Member.Name, cyclamendyke.MemberName("hakata1-a"))
	example, err := os.ReadFile("../examples/daemon.ini")
	is.NoErr(err)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	is.NoErr(err)
	for line := range strings.Lines(string(example)) {
		key, _, isKey := strings.Cut(line, " = ")
		is.True(!isKey || strings.HasPrefix(key, "#") || strings.Contains(string(page), "`"+key+"`")) // The page explains the key.
	}
}

func describe(daemon *settings.Daemon, faults []cyclamendyke.Fault) string {
	if daemon != nil {
		return fmt.Sprintf("%+v\n", *daemon)
	}
	var b strings.Builder
	for _, fault := range faults {
		fmt.Fprintln(&b, fault)
	}
	return b.String()
}

func TestLoadMissingFile(t *testing.T) {
	is := is.New(t)
	_, _, err := settings.Load(filepath.Join(t.TempDir(), "absent.ini"))
	is.True(errors.Is(err, cyclamendyke.KindNotFound))
	is.True(errors.Is(err, os.ErrNotExist))
}
