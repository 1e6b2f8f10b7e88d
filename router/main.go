// Command router is the one program of every entry instance: it takes callers' requests, reserves
// their cost in the ledger and hands them to endpoints.
package main

import "os"

func main() {
	os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
}
