package cmd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/api/operatorapi"
)

// Guards against a message of an operator that looks like another record of the history.
func TestMessageBeginsNoLineOfTheHistory(t *testing.T) {
	t.Parallel()
	const forged = "fix\n2026-01-01T00:00:00Z  accepted  version 9 (base 8)  bruno  all"
	text := historyText(&operatorapi.History{Records: []operatorapi.AuditRecord{{
		Time: time.Unix(0, 0), Author: "ana", Message: forged, Result: operatorapi.AuditRecordResultInvalid,
		Files: []string{"a.yaml"}, Detail: operatorapi.NewOptString("x\ny"),
	}}})
	require.Equal(t, `1970-01-01T00:00:00Z  invalid   version - (base 0)  ana  "fix\n2026-01-01T00:00:00Z  accepted  version 9 (base 8)  bruno  all"  [a.yaml]`+"\n"+
		`    "x\ny"`+"\n", text)
}
