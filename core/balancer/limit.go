package balancer

import (
	"fmt"

	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/throttler"
)

// recordStatement records a change of what an endpoint states about its limit. The call is nil
// for the response to a probe.
func (b *Balancer) recordStatement(c *call, e *endpoint, s throttler.Statement) {
	if s.Kind == throttler.StatementUnknown || s == e.statement || (s.Kind == throttler.StatementNone && e.statement.Kind == throttler.StatementUnknown) {
		return
	}
	detail := fmt.Sprintf("named %s, before %s", describeStatement(s), describeStatement(e.statement))
	if c == nil {
		detail += ", in the response to a probe"
	}
	e.statement = s
	b.record(recorder.KindEndpointLimitChanged, c, e, detail)
}

func describeStatement(s throttler.Statement) string {
	switch s.Kind {
	case throttler.StatementLimit:
		return fmt.Sprintf("%g requests a second from all entries", s.Rate)
	case throttler.StatementInvalid:
		return "a limit that can't be read"
	}
	return "no limit"
}
