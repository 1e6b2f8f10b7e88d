// Command router runs on every instance that accepts callers' requests. It reserves the cost of each request in the ledger and
// dispatches the request to an endpoint.
package main

import "os"

func main() {
	os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
}
