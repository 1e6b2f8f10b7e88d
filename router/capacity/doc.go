// Package capacity measures how the state, the messages and the processor time of each role grow, and writes
// the tables of docs/CAPACITY.md. Everything in it is tests; `make capacity` runs them.
package capacity
