package cmd

import (
	"encoding/json"
	"fmt"
	"io"
)

// output adds the flag --output, the format of the result.
func (s *settings) output() *string {
	return s.choice("output", "text", []string{"text", "json"}, "Format of the result, text or json.")
}

// writeResult prints value as JSON when the format is json, else text.
func writeResult(env environment, format string, value any, text string) error {
	if format != "json" {
		if _, err := io.WriteString(env.stdout, text); err != nil {
			return fmt.Errorf("write result: %w", err)
		}

		return nil
	}
	encoder := json.NewEncoder(env.stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("write result: %w", err)
	}

	return nil
}
