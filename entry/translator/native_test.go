package translator

import (
	"testing"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/throttler"
)

// TestLoadHeaderNamesTheLimit guards against a limit in the load header that is overlooked.
func TestLoadHeaderNamesTheLimit(t *testing.T) {
	none := throttler.Statement{Kind: throttler.StatementNone}
	limit := throttler.Statement{Kind: throttler.StatementLimit, Rate: 2.5}
	tests := []struct {
		text string
		want balancer.Report
	}{
		{"", balancer.Report{Load: -1, Limit: none}},
		{"load=3, state=serving", balancer.Report{Load: 3, State: registrar.StateServing, Limit: none}},
		{"load=3, state=serving, limit=2.5", balancer.Report{Load: 3, State: registrar.StateServing, Limit: limit}},
		{"load=3, state=draining", balancer.Report{Load: 3, State: registrar.StateDraining, Limit: none}},
		{"load=3, state=leaving", balancer.Report{Load: 3, Leaving: true, Limit: none}},
		{"limit=2.5", balancer.Report{Load: -1, Limit: limit}},
		{"limit=4, limit=2.5", balancer.Report{Load: -1, Limit: limit}},
		{"load=x, limit=", balancer.Report{Load: -1, Limit: throttler.Statement{Kind: throttler.StatementInvalid}}},
	}
	for _, tt := range tests {
		assert.Equal(t, ParseLoad(tt.text), tt.want, tt.text)
	}
}
