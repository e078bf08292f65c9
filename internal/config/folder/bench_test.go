package folder_test

import (
	"fmt"
	"testing"

	"github.com/greengagetally/greengagetally/internal/config/folder"
)

// BenchmarkParseBlocks parses 740,000 client blocks for 130 sites in 20 files.
func BenchmarkParseBlocks(b *testing.B) {
	var yaml []byte
	yaml = append(yaml, "regions: {r: {zones: [z]}}\nsites:\n"...)
	for i := range 130 {
		yaml = fmt.Appendf(yaml, "  site-%d: {zone: z}\n", i)
	}
	files := []folder.File{{Name: "a.yaml", Content: yaml}}
	for i := range 20 {
		var text []byte
		for j := range 37_000 {
			n := i*37_000 + j
			text = fmt.Appendf(text, "%d.%d.%d.0/24 site-%d\n", 1+n>>16, n>>8&255, n&255, n%130)
		}
		files = append(files, folder.File{Name: fmt.Sprintf("b-%02d.blocks", i), Content: text})
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := folder.Parse(files); err != nil {
			b.Fatal(err)
		}
	}
}
