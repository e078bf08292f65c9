package cmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/operatorapi"
)

func configHistoryCommand() command {
	return command{name: "config history", summary: "Show the audit trail of changes.", run: runConfigHistory}
}

func runConfigHistory(ctx context.Context, env environment, args []string) error {
	set := newSettings("config history [flags]", "Shows the changes of operators, the newest first, with their results: accepted,\nconflict, invalid, refused or unknown.",
		"  greengagetally config history --limit 20\n  greengagetally config history --output json\n")
	output := set.output()
	newClient := set.operatorFlags()
	limit := set.integer("limit", 100, 1, 1000, "Greatest number of records.")
	if err := set.parse(env, args); err != nil {
		return err
	}
	client, err := newClient()
	if err != nil {
		return err
	}
	history, err := call(ctx, client, func(ctx context.Context, c *operatorapi.Client) (*operatorapi.History, error) {
		return c.History(ctx, operatorapi.HistoryParams{Limit: operatorapi.NewOptInt(*limit)})
	})
	if err != nil {
		return err
	}

	return writeResult(env, *output, history, historyText(history))
}

// historyText returns a line for each record, and one for its detail. Operators and what they
// send choose the texts.
func historyText(history *operatorapi.History) string {
	var text strings.Builder
	for _, r := range history.Records {
		version := "-"
		if v, ok := r.Version.Get(); ok {
			version = fmt.Sprint(v)
		}
		fmt.Fprintf(&text, "%s  %-8s  version %s (base %d)  %s  %s  [%s]\n", r.Time.UTC().Format(time.RFC3339), r.Result, version,
			r.BaseMinusVersion, printable(r.Author), printable(r.Message), printable(strings.Join(r.Files, ", ")))
		if detail, ok := r.Detail.Get(); ok {
			fmt.Fprintf(&text, "    %s\n", printable(detail))
		}
	}

	return text.String()
}
