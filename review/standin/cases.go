package main

// cases are the cases by number. Each reports whether a rule was broken.
var cases = map[string]func(*site) (bool, error){
	"poison":   playPoison,
	"bodies":   playBodies,
	"budget":   playBudget,
	"path":     playPath,
	"writeoff": playWriteoff,
}
