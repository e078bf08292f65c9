package operator

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/greengagetally/greengagetally/internal/api/operatorapi"
)

// minTokenBytes is the smallest length of a token. Shorter tokens could be guessed.
const minTokenBytes = 16

// Tokens are the bearer tokens of the operators. The zero value knows no token and
// refuses every request.
type Tokens struct {
	list []namedToken
}

// namedToken is a token with the name of its operator.
type namedToken struct {
	name string
	// hash is the SHA-256 of the token. Hashes are compared instead of tokens, so
	// that the time of a comparison does not depend on a token's length.
	hash [sha256.Size]byte
}

// errUnknownToken reports a missing or wrong token and does not say which.
var errUnknownToken = errors.New("the bearer token is not known")

// ReadTokens reads a token file; ParseTokens states its format.
func ReadTokens(path string) (Tokens, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Tokens{}, fmt.Errorf("read tokens: %w", err)
	}

	return ParseTokens(data)
}

// ParseTokens reads the content of a token file. Each line holds one name:token; empty
// lines and lines that start with # are ignored. Names must differ, tokens must have 16
// bytes or more, and at least one line must hold a token. Errors contain no token.
func ParseTokens(data []byte) (Tokens, error) {
	var t Tokens
	names := make(map[string]bool)
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		name, token, ok := strings.Cut(text, ":")
		if !ok || name == "" || len(token) < minTokenBytes {
			return Tokens{}, fmt.Errorf("token file, line %d: expected name:token with a token of at least %d bytes", line, minTokenBytes)
		}
		if names[name] {
			return Tokens{}, fmt.Errorf("token file, line %d: the name %q occurs twice", line, name)
		}
		names[name] = true
		t.list = append(t.list, namedToken{name: name, hash: sha256.Sum256([]byte(token))})
	}
	if err := scanner.Err(); err != nil {
		return Tokens{}, fmt.Errorf("read tokens: %w", err)
	}
	if len(t.list) == 0 {
		return Tokens{}, errors.New("the token file holds no name:token line")
	}

	return t, nil
}

// nameOf returns the name of the operator to whom the token belongs, and whether the
// token is known. It compares the token with every known token, so that the time taken
// does not depend on which token matches.
func (t Tokens) nameOf(token string) (string, bool) {
	hash := sha256.Sum256([]byte(token))
	name, matches := "", 0
	for _, known := range t.list {
		if subtle.ConstantTimeCompare(hash[:], known.hash[:]) == 1 {
			name, matches = known.name, 1
		}
	}

	return name, matches == 1
}

// authorKey is the context key under which the calling operator's name is stored.
type authorKey struct{}

// HandleOperatorToken implements operatorapi.SecurityHandler. It adds the operator's
// name to the context, or returns an error when the token is not known.
func (t Tokens) HandleOperatorToken(ctx context.Context, _ operatorapi.OperationName, token operatorapi.OperatorToken,
) (context.Context, error) {
	name, ok := t.nameOf(token.Token)
	if !ok {
		return ctx, errUnknownToken
	}

	return context.WithValue(ctx, authorKey{}, name), nil
}

// authorOf returns the name of the operator whose token came with the request, or "" if
// ctx holds no name.
func authorOf(ctx context.Context) string {
	name, _ := ctx.Value(authorKey{}).(string)

	return name
}
