// Package capacity measures how the memory, the messages and the CPU time of each role in the fleet, such as the folder of the
// ledger or the log, grow with the size of the fleet, and writes the tables of docs/CAPACITY.md. Its code is used by tests only; `make capacity` runs the measurement.
package capacity
