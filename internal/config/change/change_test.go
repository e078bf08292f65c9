package change_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/config/change"
	"github.com/greengagetally/greengagetally/internal/config/folder"
)

// drawChange draws a change of up to three files that removes up to two.
func drawChange(t *rapid.T, base uint64) change.Change {
	c := change.Change{Base: base, Author: "ana", Nonce: fmt.Sprint(rapid.Uint64().Draw(t, "nonce"))}
	for name := range strings.SplitSeq(rapid.SampledFrom([]string{"", "a", "b", "a b c", "d"}).Draw(t, "files"), " ") {
		if name != "" {
			c.Files = append(c.Files, folder.File{Name: name, Content: []byte(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "content"))})
		}
	}
	if rapid.Bool().Draw(t, "remove") {
		c.Removed = []string{"e", "f"}[:rapid.IntRange(1, 2).Draw(t, "removed")]
	}

	return c
}

// Guards against a root that differs after it was sent as a delta or as a whole, or
// after it was encoded and decoded. Also guards against With methods that change the
// root on which they are called.
func TestDeltaRoundTrip(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		roots := []change.Root{{}}
		for range rapid.IntRange(1, 80).Draw(t, "changes") {
			last := roots[len(roots)-1]
			c := drawChange(t, last.Version)
			next, clash := change.Merge(last, last, c)
			require.Nil(t, clash)
			roots = append(roots, next.WithRecord(change.NewRecord(c, time.Unix(1, 0))))
		}
		last := roots[len(roots)-1]
		require.LessOrEqual(t, len(last.Recent), change.RecentRecords)
		for i, from := range roots {
			require.Equal(t, uint64(i), from.Version)
			d, err := change.Delta(from, last)
			require.NoError(t, err)
			wire, err := proto.Marshal(d)
			require.NoError(t, err)
			received := &peerpb.RootDelta{}
			require.NoError(t, proto.Unmarshal(wire, received))
			got, err := from.WithDelta(received)
			require.NoError(t, err)
			require.Equal(t, fmt.Sprint(last), fmt.Sprint(got))
		}
		data, err := last.Encode()
		require.NoError(t, err)
		got, err := change.DecodeRoot(data)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint(last), fmt.Sprint(got))
	})
}

// Guards against a merge that overwrites another operator's change of the same
// file, and against a merge that refuses changes of different files.
func TestMerge(t *testing.T) {
	t.Parallel()
	file := func(name, content string) change.Change {
		return change.Change{Files: []folder.File{{Name: name, Content: []byte(content)}}}
	}
	apply := func(r change.Root, c change.Change) change.Root {
		next, clash := change.Merge(r, r, c)
		require.Nil(t, clash)

		return next.WithRecord(change.NewRecord(c, time.Unix(1, 0)))
	}
	base := apply(change.Root{}, change.Change{Files: []folder.File{{Name: "a", Content: []byte("1")}, {Name: "b", Content: []byte("1")}}})
	current := apply(base, file("a", "2"))

	merged, clash := change.Merge(base, current, file("b", "2"))
	require.Nil(t, clash)
	require.Equal(t, change.HashOf([]byte("2")), merged.Hash("a"))
	require.Equal(t, change.HashOf([]byte("2")), merged.Hash("b"))

	_, clash = change.Merge(base, current, file("a", "3"))
	require.Equal(t, &change.Clash{
		File: "a", Base: change.HashOf([]byte("1")), Current: change.HashOf([]byte("2")), Change: []byte("3"),
	}, clash)

	_, clash = change.Merge(base, current, change.Change{Removed: []string{"a"}})
	require.Equal(t, "a", clash.File)

	_, clash = change.Merge(base, current, file("a", "2"))
	require.Nil(t, clash, "both operators want the same content")

	removed := apply(base, change.Change{Removed: []string{"a"}})
	_, clash = change.Merge(base, removed, file("a", "3"))
	require.Equal(t, "a", clash.File)
	_, clash = change.Merge(base, removed, change.Change{Removed: []string{"a"}})
	require.Nil(t, clash)
}

// Guards against records that are lost or written twice at the end of a page.
func TestPages(t *testing.T) {
	t.Parallel()
	root, page := change.Root{}, change.Page{}
	var versions []uint64
	for i := range 250 {
		root = root.WithRecord(change.NewRecord(change.Change{Nonce: fmt.Sprint(i)}, time.Unix(1, 0)))
		if i%40 != 39 {
			continue
		}
		for missing := page.Missing(root); len(missing) > 0; {
			if page.Full() {
				page = page.Next()
			}
			before := len(page.Records)
			page, missing = page.With(missing...)
			for _, r := range page.Records[before:] {
				versions = append(versions, r.Version)
			}
		}
		require.Empty(t, page.Missing(root))
	}
	require.Equal(t, 2, page.Number)
	for i, version := range versions {
		require.Equal(t, uint64(i+1), version)
	}
	require.Len(t, versions, 240)
}
