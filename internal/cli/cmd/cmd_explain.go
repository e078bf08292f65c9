package cmd

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
)

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

func explainCommand() command {
	return command{name: "explain", summary: "Print the story of one request from logs.", run: runExplain}
}

func runExplain(_ context.Context, s surroundings, args []string) error {
	set := newSettings("explain [flags] <request> <logs>",
		"Prints what entry VMs logged about a request, and what they had learned before about the server and the configuration.",
		"  greengagetally explain 9c41d07be2a35f68 entry-1.log\n")
	output := set.output()
	request := set.argument("request", true, "Identifier of the request.")
	path := set.argument("logs", true, "File with log lines, each with any text before its JSON.")
	if err := set.parse(s, args); err != nil {
		return err
	}
	file, err := os.Open(*path)
	if err != nil {
		return fmt.Errorf("open logs: %w", err)
	}
	defer func() { _ = file.Close() }()
	lines, err := readLog(file)
	if err != nil {
		return fmt.Errorf("read %s: %w", *path, err)
	}
	found := explain(lines, *request)
	if len(found) == 0 {
		return fmt.Errorf("no line names the request %q; it may have been left out, see the field left-out of later lines of its kind", *request)
	}

	return write(s, *output, found, explainText(found))
}

// logLine is one line of a log.
type logLine struct {
	// Source is the text before the JSON, such as the name of the VM.
	Source  string         `json:"source,omitempty"`
	Time    string         `json:"time"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// vm returns the last word before the JSON, which tells lines of different VMs
// apart.
func (l logLine) vm() string {
	words := strings.Fields(l.Source)
	if len(words) == 0 {
		return ""
	}

	return words[len(words)-1]
}

// readLog returns the lines that hold a JSON object with a message.
func readLog(r io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	var lines []logLine
	for scanner.Scan() {
		before, object, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte("{"+object), &fields) != nil {
			// Logs of crashed processes end in the middle of a line.
			continue
		}
		message, _ := fields["msg"].(string)
		at, _ := fields["time"].(string)
		if message == "" {
			continue
		}
		delete(fields, "msg")
		delete(fields, "time")
		delete(fields, "level")
		lines = append(lines, logLine{Source: strings.TrimSpace(before), Time: at, Message: message, Fields: fields})
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("scan lines: %w", err)
	}

	return lines, nil
}

// believed are the kinds of lines that tell what an entry VM believed.
var believed = []string{"configuration in force", "backend servers known", "evacuated zones known", "server state changed", "service status"}

// explain returns the lines about a request and, before the first, the newest of
// each kind that tells what the entry VM believed then.
func explain(lines []logLine, request string) []logLine {
	newest := map[string]logLine{}
	var story []logLine
	for _, line := range lines {
		if id, _ := line.Fields["request"].(string); id == request {
			if len(story) == 0 {
				story = append(story, beliefsBefore(newest, line)...)
			}
			story = append(story, line)
		}
		if slices.Contains(believed, line.Message) {
			key := line.vm() + " " + line.Message
			for _, name := range []string{"server", "service"} {
				if of, ok := line.Fields[name].(string); ok {
					key += " " + of
				}
			}
			newest[key] = line
		}
	}

	return story
}

// beliefsBefore returns what was believed before a line: of servers, only the one that
// the line names.
func beliefsBefore(newest map[string]logLine, line logLine) []logLine {
	server, _ := line.Fields["server"].(string)
	var out []logLine
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		of, ok := newest[key].Fields["server"].(string)
		if newest[key].vm() == line.vm() && (!ok || of == server) {
			out = append(out, newest[key])
		}
	}

	return out
}

func explainText(lines []logLine) string {
	var out strings.Builder
	for _, line := range lines {
		fmt.Fprintf(&out, "%s %s %s", line.Time, line.Source, line.Message)
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			fmt.Fprintf(&out, " %s=%v", name, line.Fields[name])
		}
		out.WriteString("\n")
	}

	return out.String()
}
