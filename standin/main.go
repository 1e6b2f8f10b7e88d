// Command standin simulates the systems around the router fleet (platform, model engines, plain services), generates load, and
// checks the ledger afterwards. Function subcommands lists its subcommands.
package main

import "os"

func main() {
	os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
}
