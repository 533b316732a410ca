// Package throttler keeps the limits that endpoints name: how many requests per second an
// endpoint takes from all entries together.
package throttler
