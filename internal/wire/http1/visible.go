package http1

import "strings"

// IsVisible reports whether a text consists of visible ASCII characters and is not empty. Only
// such a text can be a part of a request line, or the value of a header, and arrive as it is:
// a line end ends the line, and servers trim spaces and differ about other bytes.
func IsVisible(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}

	return text != ""
}

// IsPath reports whether a text is a path that a request line can carry.
func IsPath(text string) bool {
	return strings.HasPrefix(text, "/") && IsVisible(text)
}
