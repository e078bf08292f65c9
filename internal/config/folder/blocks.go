package folder

import (
	"bytes"
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/greengagetally/greengagetally/internal/config/model"
)

// expectedBlockLine is Problem.Expected for a line that does not hold a block.
const expectedBlockLine = "a prefix and a site or region such as 203.0.113.0/24 brest"

// locatedBlock is a block with the index of its file and its line number. Blocks with
// equal prefixes are ordered by file and line.
type locatedBlock struct {
	model.Block

	file, line int32
}

// blocks returns the client blocks of all files, sorted by prefix. If several files give
// the same prefix, the block of the last file applies. A prefix that occurs twice in one
// file is a problem.
func (d *decoder) blocks(files []File, config model.Config) []model.Block {
	lineCount := 0
	for _, file := range files {
		lineCount += bytes.Count(file.Content, []byte("\n")) + 1
	}
	all := make([]locatedBlock, 0, lineCount)
	targets := blockTargets(config)
	for i, file := range files {
		all = d.parseBlockFile(all, int32(i), file, targets)
	}
	slices.SortFunc(all, func(a, b locatedBlock) int {
		return cmp.Or(comparePrefix(a.Prefix, b.Prefix), cmp.Compare(a.file, b.file), cmp.Compare(a.line, b.line))
	})
	out := make([]model.Block, 0, len(all))
	for i, b := range all {
		if i > 0 && all[i-1].Prefix == b.Prefix {
			if all[i-1].file == b.file {
				at := position{file: files[b.file].Name, line: int(b.line), column: 1}
				d.problems.add(at.problem(b.Prefix.String(),
					fmt.Sprintf("each prefix once in a file (first on line %d)", all[i-1].line)))
			}
			out = out[:len(out)-1]
		}
		out = append(out, b.Block)
	}

	return out
}

// blockTargets returns the names of all sites and regions. Each is mapped to itself,
// so that the blocks share one string for each target.
func blockTargets(config model.Config) map[string]string {
	targets := make(map[string]string, len(config.Sites)+len(config.Regions))
	for name := range config.Sites {
		targets[name] = name
	}
	for name := range config.Regions {
		targets[name] = name
	}

	return targets
}

func comparePrefix(a, b netip.Prefix) int {
	return cmp.Or(a.Addr().Compare(b.Addr()), cmp.Compare(a.Bits(), b.Bits()))
}

// parseBlockFile appends the blocks of a file to blocks. index is the index of the file
// among the *.blocks files.
func (d *decoder) parseBlockFile(blocks []locatedBlock, index int32, file File, targets map[string]string) []locatedBlock {
	line := 0
	for raw := range strings.Lines(string(file.Content)) {
		line++
		text, _, _ := strings.Cut(raw, "#")
		words := strings.Fields(text)
		if len(words) == 0 {
			continue
		}
		at := position{file: file.Name, line: line, column: strings.Index(text, words[0]) + 1}
		if len(words) != 2 {
			d.problems.add(at.problem(strings.TrimSpace(text), expectedBlockLine))

			continue
		}
		prefix, ok := d.prefix(words[0], at)
		at.column += len(words[0]) + strings.Index(text[at.column-1+len(words[0]):], words[1])
		target, exists := targets[words[1]]
		if !exists {
			d.problems.add(at.problem(words[1], "the name of a site or region"))
		}
		if ok && exists {
			blocks = append(blocks, locatedBlock{Block: model.Block{Prefix: prefix, Target: target}, file: index, line: int32(line)})
		}
	}

	return blocks
}

// prefix returns the address prefix in text, and false if text is not a valid prefix.
func (d *decoder) prefix(text string, at position) (netip.Prefix, bool) {
	prefix, err := netip.ParsePrefix(text)
	switch {
	case err != nil:
		d.problems.add(at.problem(text, "a prefix such as 203.0.113.0/24 or 2001:db8::/32"))
	case prefix.Addr().Is4In6():
		d.problems.add(at.problem(text, "an IPv4 prefix in dotted form"))
	case prefix != prefix.Masked():
		d.problems.add(at.problem(text, "no address bits after the prefix length: "+prefix.Masked().String()))
	default:
		return prefix, true
	}

	return netip.Prefix{}, false
}
