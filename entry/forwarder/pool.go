package forwarder

import (
	"context"
	"sync"
	"time"

	"comfreyplank.org/core/balancer"
)

// pool holds the connections to one address.
type pool struct {
	address string
	now     func() time.Time
	group   *sync.WaitGroup

	mu sync.Mutex
	// idle connections are ordered by their last use, the most recent at the end.
	idle []*connection
	// open counts idle connections and those in use.
	open    int
	retired bool
}

// takeIdle returns an idle connection that satisfies the rule, or nil. It closes those that
// can't be used again.
func (p *pool) takeIdle(rule balancer.ConnectionPolicy) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		lastGood := c.lastKnownGood()
		if !lastGood.After(rule.VerifiedAfter) {
			p.closeIdle(last)
			continue
		}
		if now.Sub(lastGood) > rule.MaxIdle {
			return nil // the others have been idle for longer
		}
		if !c.reusable() {
			p.closeIdle(last)
			continue
		}
		p.idle = p.idle[:last]
		c.attachReader()
		return c
	}
	return nil
}

func (p *pool) closeIdle(i int) {
	p.idle[i].close()
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	p.open--
}

// get returns a connection that satisfies the rule, and whether it has been used before.
func (p *pool) get(ctx context.Context, rule balancer.ConnectionPolicy) (*connection, bool, error) {
	if c := p.takeIdle(rule); c != nil {
		return c, true, nil
	}
	p.reserve(rule.MaxOpen)
	c, err := dial(ctx, p.address, p.now, p.group)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, false, err
	}
	return c, false, nil
}

// reserve counts a new connection, and closes the oldest idle ones where there would otherwise
// be more than maxOpen.
func (p *pool) reserve(maxOpen int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.open >= maxOpen && len(p.idle) > 0 {
		p.closeIdle(0)
	}
	p.open++
}

// put takes a connection back after a complete response.
func (p *pool) put(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.respondedAt = p.now()
	if p.retired || !c.releaseReader() {
		c.close()
		p.open--
		return
	}
	p.idle = append(p.idle, c)
}

// discard closes a connection that can't be used again.
func (p *pool) discard(c *connection) {
	c.close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// trim closes the connections that have been idle for longer than maxIdle, or whose endpoint
// has closed them or sent unsolicited bytes. It returns the number of idle connections left.
func (p *pool) trim(maxIdle time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if now.Sub(p.idle[i].lastKnownGood()) > maxIdle || !p.idle[i].reusable() {
			p.closeIdle(i)
		}
	}
	return len(p.idle)
}

// retire closes idle connections now, and the others when they are put back.
func (p *pool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	for len(p.idle) > 0 {
		p.closeIdle(0)
	}
}
