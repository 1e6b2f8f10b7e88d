// Command dragonflyctl submits change tickets to a router fleet and shows the state that the platform's log records.
package main

import "os"

func main() {
	os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
}
