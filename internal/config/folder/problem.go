package folder

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// MaxProblems is the number of problems that are kept. Further problems are only
// counted, so that a folder with many mistakes cannot flood the operator or the
// audit trail.
const MaxProblems = 100

// maxValueBytes is the largest number of bytes of a wrong value that a message
// repeats.
const maxValueBytes = 80

// Problem is one mistake in one file.
type Problem struct {
	File string
	// Line and Column count from 1; both are 0 if the problem concerns the whole file.
	Line   int
	Column int
	// Value is what was found.
	Value string
	// Expected says what is accepted instead.
	Expected string
}

// Message returns the value and what is expected instead, without the position.
func (p Problem) Message() string {
	value := p.Value
	if len(value) > maxValueBytes {
		value = value[:maxValueBytes] + "..."
	}

	return fmt.Sprintf("%q: expected %s", value, p.Expected)
}

// String returns the problem as file:line:column: message.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Message())
}

// ProblemsError reports the mistakes in a folder.
type ProblemsError struct {
	// List holds the first MaxProblems problems that were found, sorted by position.
	List []Problem
	// Total counts all problems.
	Total int
}

// Error returns one line for each problem in List and, if there are more, their
// number.
func (p *ProblemsError) Error() string {
	lines := make([]string, 0, len(p.List)+1)
	for _, problem := range p.List {
		lines = append(lines, problem.String())
	}
	if more := p.Total - len(p.List); more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more problems", more))
	}

	return strings.Join(lines, "\n")
}

// add counts the problem, and keeps it unless List is full.
func (p *ProblemsError) add(problem Problem) {
	p.Total++
	if len(p.List) < MaxProblems {
		p.List = append(p.List, problem)
	}
}

// err returns the problems sorted by position, or nil if there are none.
func (p *ProblemsError) err() error {
	if p.Total == 0 {
		return nil
	}
	slices.SortStableFunc(p.List, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})

	return p
}
