package experiment

import (
	"fmt"
	"html"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"
)

// figure is one measured quantity with its values from all runs.
type figure struct {
	name, unit, target string
	values             []float64
}

func (f *figure) median() float64 {
	sorted := slices.Sorted(slices.Values(f.values))
	n := len(sorted)

	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// report collects the figures and failed runs of a case and renders its page.
type report struct {
	name     string
	runs     int
	figures  []*figure
	failures []string
}

func (r *report) recordFigure(name, unit, target string, value float64) {
	for _, f := range r.figures {
		if f.name == name {
			f.values = append(f.values, value)

			return
		}
	}
	r.figures = append(r.figures, &figure{name, unit, target, []float64{value}})
}

func (r *report) renderMarkdown() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "# Experiment %s\n\n", r.name)
	_, _ = fmt.Fprintf(&b, "`greengagetally-lab experiment %s --runs %d`, %s, %d cores shared with other work, real processes on loopback.\n\n",
		r.name, r.runs, time.Now().UTC().Format("2006-01-02 15:04 UTC"), runtime.NumCPU())
	b.WriteString("| figure | unit | median | lowest | highest | runs | target |\n|---|---|---|---|---|---|---|\n")
	for _, f := range r.figures {
		_, _ = fmt.Fprintf(&b, "| %s | %s | %.2f | %.2f | %.2f | %d | %s |\n",
			f.name, f.unit, f.median(), slices.Min(f.values), slices.Max(f.values), len(f.values), f.target)
	}
	for _, failure := range r.failures {
		_, _ = fmt.Fprintf(&b, "\nNot as expected: %s\n", failure)
	}
	if len(r.figures) > 0 {
		_, _ = fmt.Fprintf(&b, "\n![medians with lowest and highest](%s.svg)\n", r.name)
	}

	return b.String()
}

// renderSVG draws the figures that have the same unit as the first figure. Each has a bar
// up to the median and a line from the lowest to the highest value.
func (r *report) renderSVG() string {
	var shown []*figure
	maxValue := 0.0
	for _, f := range r.figures {
		if f.unit == r.figures[0].unit {
			shown = append(shown, f)
			maxValue = max(maxValue, slices.Max(f.values))
		}
	}
	const rowHeight, leftMargin, maxBarWidth = 24, 360, 400
	scale := maxBarWidth / max(maxValue, 1e-9)
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		leftMargin+maxBarWidth+100, rowHeight*(len(shown)+1))
	_, _ = fmt.Fprintf(&b, `<text x="4" y="16">%s, %s</text>`+"\n", html.EscapeString(r.name), html.EscapeString(r.figures[0].unit))
	for i, f := range shown {
		y := rowHeight * (i + 1)
		_, _ = fmt.Fprintf(&b, `<text x="4" y="%d">%s</text><rect x="%d" y="%d" width="%.1f" height="14" fill="#4477aa"/>`,
			y+14, html.EscapeString(f.name), leftMargin, y+3, f.median()*scale)
		_, _ = fmt.Fprintf(&b, `<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" stroke="black"/><text x="%.1f" y="%d">%.2f</text>`+"\n",
			leftMargin+slices.Min(f.values)*scale, leftMargin+slices.Max(f.values)*scale, y+10, y+10,
			leftMargin+slices.Max(f.values)*scale+6, y+14, f.median())
	}
	b.WriteString("</svg>\n")

	return b.String()
}

// write writes the page, and the drawing if there are figures, to dir.
func (r *report) write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, r.name+".md"), []byte(r.renderMarkdown()), 0o600); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	if len(r.figures) == 0 {
		return nil
	}
	if err := os.WriteFile(filepath.Join(dir, r.name+".svg"), []byte(r.renderSVG()), 0o600); err != nil {
		return fmt.Errorf("write figure: %w", err)
	}

	return nil
}
