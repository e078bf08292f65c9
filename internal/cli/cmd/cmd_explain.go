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
	"strconv"
	"strings"
	"unicode"
)

// maxLogLineBytes bounds one line of a log; a longer one makes the command fail.
const maxLogLineBytes = 1 << 20

func explainCommand() command {
	return command{name: "explain", summary: "Print the log lines about one request.", run: runExplain}
}

func runExplain(_ context.Context, env environment, args []string) error {
	set := newSettings("explain [flags] <request> <logs>",
		"Prints the log lines about a request and, before them, what the entry VM that\nlogged the first one had last logged about the configuration and the server.",
		"  greengagetally explain 9c41d07be2a35f68 entry-1.log\n")
	output := set.output()
	request := set.argument("request", true, "Identifier of the request.")
	logFile := set.argument("logs", true, "File with log lines, each with any text before its JSON.")
	if err := set.parse(env, args); err != nil {
		return err
	}
	file, err := os.Open(*logFile)
	if err != nil {
		return fmt.Errorf("open logs: %w", err)
	}
	defer func() { _ = file.Close() }()
	lines, err := readLog(file)
	if err != nil {
		return fmt.Errorf("read %s: %w", *logFile, err)
	}
	found := explain(lines, *request)
	if len(found) == 0 {
		return fmt.Errorf("no line names the request %q; check the identifier; the log limit may also have dropped its lines, which the field left-out of later lines with the same message counts", *request)
	}

	return writeResult(env, *output, found, explainText(found))
}

// logLine is one line of a log. Fields lacks the time, the message and the level.
type logLine struct {
	// Source is the text before the JSON, such as the name of the VM.
	Source  string         `json:"source,omitempty"`
	Time    string         `json:"time"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// vm returns the last word of Source, or "" if Source is empty. That word is taken as
// the name of the VM that wrote the line.
func (l logLine) vm() string {
	words := strings.Fields(l.Source)
	if len(words) == 0 {
		return ""
	}

	return words[len(words)-1]
}

// readLog returns the lines that hold a JSON object with a message and skips the
// others. It fails when reading fails or a line is longer than maxLogLineBytes.
func readLog(r io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	var lines []logLine
	for scanner.Scan() {
		source, object, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte("{"+object), &fields) != nil {
			// The log of a crashed process may end in the middle of a line.
			continue
		}
		message, _ := fields["msg"].(string)
		timestamp, _ := fields["time"].(string)
		if message == "" {
			continue
		}
		delete(fields, "msg")
		delete(fields, "time")
		delete(fields, "level")
		lines = append(lines, logLine{Source: strings.TrimSpace(source), Time: timestamp, Message: message, Fields: fields})
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("scan lines: %w", err)
	}

	return lines, nil
}

// knowledgeMessages are the log messages that tell what an entry VM has learned about
// the configuration, servers, zones and services.
var knowledgeMessages = []string{"configuration in force", "backend servers known", "evacuated zones known", "server state changed", "service status"}

// explain returns the log lines about a request, in the order of the log. They are
// preceded by lines that tell what the VM that wrote the first of them knew at that time:
// its latest line of each message in knowledgeMessages, selected by knowledgeBefore.
func explain(lines []logLine, request string) []logLine {
	// latest holds, for each VM, the newest line so far of each message in
	// knowledgeMessages, separately for each server and service.
	latest := map[string]logLine{}
	var selected []logLine
	for _, line := range lines {
		if id, _ := line.Fields["request"].(string); id == request {
			if len(selected) == 0 {
				selected = append(selected, knowledgeBefore(latest, line)...)
			}
			selected = append(selected, line)
		}
		if slices.Contains(knowledgeMessages, line.Message) {
			key := line.vm() + " " + line.Message
			for _, name := range []string{"server", "service"} {
				if subject, ok := line.Fields[name].(string); ok {
					key += " " + subject
				}
			}
			latest[key] = line
		}
	}

	return selected
}

// knowledgeBefore returns the lines in latest from the VM that wrote firstLine. It leaves
// out a line about a server if firstLine does not name the same server.
func knowledgeBefore(latest map[string]logLine, firstLine logLine) []logLine {
	server, _ := firstLine.Fields["server"].(string)
	var known []logLine
	for _, key := range slices.Sorted(maps.Keys(latest)) {
		subject, ok := latest[key].Fields["server"].(string)
		if latest[key].vm() == firstLine.vm() && (!ok || subject == server) {
			known = append(known, latest[key])
		}
	}

	return known
}

func explainText(lines []logLine) string {
	var out strings.Builder
	for _, line := range lines {
		fmt.Fprintf(&out, "%s %s %s", line.Time, line.Source, line.Message)
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			fmt.Fprintf(&out, " %s=%s", name, printable(line.Fields[name]))
		}
		out.WriteString("\n")
	}

	return out.String()
}

// printable returns the text of a field, quoted if it would change the output: callers and
// servers choose what some fields hold.
func printable(field any) string {
	text := fmt.Sprint(field)
	if strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(text)
	}

	return text
}
