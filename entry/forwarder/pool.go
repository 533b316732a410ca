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
	// idle connections are ordered by their last use, the latest at the end.
	idle []*connection
	// open counts idle connections and those in use.
	open    int
	retired bool
}

// take returns an idle connection that may be used, or nil. Those that may not
// are closed.
func (p *pool) take(rule balancer.ConnectionPolicy) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		proof := c.lastProof()
		if !proof.After(rule.VerifiedAfter) {
			p.closeIdle(last)
			continue
		}
		if now.Sub(proof) > rule.MaxIdle {
			return nil // the others have been quiet for longer
		}
		if !c.alive() {
			p.closeIdle(last)
			continue
		}
		p.idle = p.idle[:last]
		c.begin()
		return c
	}
	return nil
}

func (p *pool) closeIdle(i int) {
	p.idle[i].close()
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	p.open--
}

// get returns a connection under the rule, and whether it was used before.
func (p *pool) get(ctx context.Context, rule balancer.ConnectionPolicy) (*connection, bool, error) {
	if c := p.take(rule); c != nil {
		return c, true, nil
	}
	p.makeRoom(rule.MaxOpen)
	c, err := dial(ctx, p.address, p.now, p.group)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, false, err
	}
	return c, false, nil
}

// makeRoom counts a new connection and closes the oldest idle one if there would
// be too many.
func (p *pool) makeRoom(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.open >= most && len(p.idle) > 0 {
		p.closeIdle(0)
	}
	p.open++
}

// put takes back a connection after a whole answer.
func (p *pool) put(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.answeredAt = p.now()
	if p.retired || !c.rest() {
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

// trim closes the idle connections that have been quiet for too long, or whose endpoint has
// closed them or sent what nobody asked for. It returns how many are left.
func (p *pool) trim(quiet time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if now.Sub(p.idle[i].lastProof()) > quiet || !p.idle[i].alive() {
			p.closeIdle(i)
		}
	}
	return len(p.idle)
}

// retire closes idle connections now, and the others when they come back.
func (p *pool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	for len(p.idle) > 0 {
		p.closeIdle(0)
	}
}
