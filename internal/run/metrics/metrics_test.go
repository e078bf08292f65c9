package metrics

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against counters that fill the memory when the names of customers change for ever.
func TestCustomersWithCountersAreBounded(t *testing.T) {
	t.Parallel()
	m := New()
	for i := range 2 * maxCustomers {
		m.CustomerRequest(fmt.Sprint("c", i), i%2 == 1)
	}
	require.LessOrEqual(t, len(m.counters), maxCustomers+2)
	require.EqualValues(t, 1, m.Count("customer-requests/c0"))
	require.EqualValues(t, maxCustomers/2, m.Count("customer-refused/"+otherCustomers))
}
