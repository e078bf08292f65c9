package folder_test

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/config/folder"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

// Guards against files that are merged wrongly, and against a changed position or text
// of a problem: operators rely on both.
func TestParse(t *testing.T) {
	t.Parallel()
	datadriven.Walk(t, "testdata/parse", func(t *testing.T, path string) {
		t.Helper()
		var files []folder.File
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			t.Helper()
			switch d.Cmd {
			case "file":
				files = append(files, folder.File{Name: d.CmdArgs[0].Key, Content: []byte(d.Input + "\n")})

				return ""
			case "check":
				config, err := folder.Parse(files)
				files = nil
				if err != nil {
					return err.Error()
				}

				return summary(config)
			}
			d.Fatalf(t, "unknown command %q", d.Cmd)

			return ""
		})
	})
}

// summary describes a configuration in a few lines.
func summary(c model.Config) string {
	var out strings.Builder
	fmt.Fprintf(&out, "regions %d, sites %d, links %d, services %d, backends %d, leaving %v\n",
		len(c.Regions), len(c.Sites), len(c.Links), len(c.Services), len(c.Backends), set.Sorted(c.Leaving))
	for _, l := range c.Links {
		fmt.Fprintf(&out, "link %s to %s: %d bit/s usable\n", l.ID.From, l.ID.To, l.UsableBits())
	}
	for _, s := range c.Services {
		fmt.Fprintf(&out, "service %s: %s %s cap %d%% in %s finish %d serve %v hosts %v\n",
			s.Name, s.Class, s.Deadline, s.Shift.Percent, s.Shift.Window, s.FinishBy, s.Serve, s.Hosts)
	}
	for _, b := range c.Blocks {
		fmt.Fprintf(&out, "block %s %s\n", b.Prefix, b.Target)
	}

	return out.String()
}

// Guards against example folders that differ from the numbers on the design page.
func TestExamples(t *testing.T) {
	t.Parallel()
	for name, want := range map[string]struct {
		backends    map[string]int
		slots       int
		connections int
		limit       int64
	}{
		"voix-darmor":      {map[string]int{"booking": 24, "talent-directory": 14}, 6, 400, 4e9},
		"baignade-sauvage": {map[string]int{"guide-api": 14, "carte-sync": 12}, 7, 330, 280e6},
	} {
		files, err := folder.Read(filepath.Join("../../../examples", name))
		require.NoError(t, err)
		config, err := folder.Parse(files)
		require.NoError(t, err)
		require.Len(t, config.Regions, 3)
		require.Len(t, config.Links, 6)
		counts := make(map[string]int)
		for _, b := range config.Backends {
			counts[b.Service]++
			require.Equal(t, want.slots, b.Slots)
			require.Equal(t, want.connections, b.Connections)
			require.True(t, b.Address.Addr().IsLoopback())
		}
		require.Equal(t, want.backends, counts)
		for _, l := range config.Links {
			require.Equal(t, want.limit, l.LimitBits)
		}
	}
}

// Guards against a folder with thousands of mistakes that floods the operator with
// messages.
func TestManyProblemsAreBounded(t *testing.T) {
	t.Parallel()
	var text strings.Builder
	text.WriteString("sites:\n")
	for i := range 10_000 {
		fmt.Fprintf(&text, "  site-%d: {zone: nowhere}\n", i)
	}
	_, err := folder.Parse([]folder.File{{Name: "a.yaml", Content: []byte(text.String())}})
	var problems *folder.ProblemsError
	require.ErrorAs(t, err, &problems)
	require.Equal(t, 10_000, problems.Total)
	require.Len(t, problems.List, folder.MaxProblems)
	require.Contains(t, err.Error(), "and 9900 more problems")
}

// Guards against unclear errors for an empty folder and for a file that is too large.
func TestReadLimits(t *testing.T) {
	t.Parallel()
	_, err := folder.Read(t.TempDir())
	require.ErrorIs(t, err, folder.ErrEmpty)
	_, err = folder.Parse([]folder.File{{Name: "a.blocks", Content: make([]byte, folder.MaxFileBytes+1)}})
	require.EqualError(t, err, `a.blocks:0:0: "more than 1 MB": expected a file of at most 1000000 bytes`)
}

// FuzzParse guards against files that crash the parser, and against problems without
// a position.
func FuzzParse(f *testing.F) {
	f.Add("regions: {a: {zones: [z]}}", "10.0.0.0/8 a")
	f.Add("backends:\n  b: {slots: 0x1, address: '::1'}\n", "::/0 b # note")
	f.Add("? a\n: *b\n", "\t1.1.1.1/32")
	f.Fuzz(func(t *testing.T, yaml, blocks string) {
		_, err := folder.Parse([]folder.File{
			{Name: "a.yaml", Content: []byte(yaml)},
			{Name: "b.blocks", Content: []byte(blocks)},
		})
		var problems *folder.ProblemsError
		if err == nil || !errors.As(err, &problems) {
			return
		}
		require.LessOrEqual(t, len(problems.List), folder.MaxProblems)
		for _, p := range problems.List {
			require.Positive(t, p.Line, p.String())
			require.Positive(t, p.Column, p.String())
		}
	})
}
