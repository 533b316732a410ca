package translator

import (
	"testing"
	"time"

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
		{"load=10000000", balancer.Report{Load: 10_000_000, Limit: none}},
		{"load=10000001", balancer.Report{Load: -1, Limit: none}},
		{"load=9223372036854775807, state=serving", balancer.Report{Load: -1, State: registrar.StateServing, Limit: none}},
		{"limit=2.5", balancer.Report{Load: -1, Limit: limit}},
		{"limit=4, limit=2.5", balancer.Report{Load: -1, Limit: limit}},
		{"load=x, limit=", balancer.Report{Load: -1, Limit: throttler.Statement{Kind: throttler.StatementInvalid}}},
	}
	for _, tt := range tests {
		tt.want.WarmUp.Kind = throttler.WarmUpNone
		assert.Equal(t, ParseLoad(tt.text), tt.want, tt.text)
	}
}

// TestLoadHeaderNamesTheWarmUp guards against a warm-up in the load header that is overlooked.
func TestLoadHeaderNamesTheWarmUp(t *testing.T) {
	named := func(left time.Duration) throttler.WarmUpStatement {
		return throttler.WarmUpStatement{Kind: throttler.WarmUpNamed, Left: left}
	}
	tests := []struct {
		text string
		want throttler.WarmUpStatement
	}{
		{"load=3", throttler.WarmUpStatement{Kind: throttler.WarmUpNone}},
		{"load=3, warm-up-ms=800, limit=2.5", named(800 * time.Millisecond)},
		{"warm-up-ms=0", named(0)},
		{"warm-up-ms=-5", throttler.WarmUpStatement{Kind: throttler.WarmUpInvalid}},
	}
	for _, tt := range tests {
		assert.Equal(t, ParseLoad(tt.text).WarmUp, tt.want, tt.text)
	}
}
