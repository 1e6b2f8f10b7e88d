package example

import "time"

// Shell runs commands in sequence and returns the output of each.
type Shell interface {
	Run(command string) (string, error)
}

// Plan defines how the commands of a page are run and compared.
type Plan struct {
	// Before maps the place of a command, such as "Top up 1", to shell commands to run before it.
	Before map[string]string
	// NotRun maps the place of each command that is skipped to the reason.
	NotRun map[string]string
	Fields []Field
}

const (
	// maxReadAttempts is the maximum number of runs of a read-only command.
	maxReadAttempts = 120
	// retryInterval is the delay between two runs of the same command.
	retryInterval = 250 * time.Millisecond
)

// Run runs the commands of a page in order and returns their outputs. If an output differs from that in the page only in
// fields of the plan, it returns the output in the page. Commands for which reads returns true are repeated until their output
// matches, because the running processes may need time to reach the state that the page shows. Other commands run once.
func (p *Page) Run(s Shell, ports *Ports, plan Plan, reads func(command string) bool) ([]string, error) {
	outputs := make([]string, 0, len(p.Commands))
	for _, c := range p.Commands {
		if plan.NotRun[c.Place] != "" {
			outputs = append(outputs, c.Output)
			continue
		}
		if before := plan.Before[c.Place]; before != "" {
			if _, err := s.Run(ports.ToFree(before)); err != nil {
				return nil, err
			}
		}
		attempts := 1
		if reads(c.Text) {
			attempts = maxReadAttempts
		}
		output, err := c.run(s, ports, plan.Fields, attempts)
		if err != nil {
			return nil, err
		}
		outputs = append(outputs, output)
	}
	return outputs, nil
}

// run repeats the command until its output matches the page, at most the given number of times, and returns the output in
// the page on a match or the last output otherwise.
func (c *Command) run(s Shell, ports *Ports, fields []Field, attempts int) (string, error) {
	for attempt := 1; ; attempt++ {
		printed, err := s.Run(ports.ToFree(c.Text))
		if err != nil {
			return "", err
		}
		printed = ports.ToPage(printed)
		if SameOutput(c.Output, printed, fields) {
			return c.Output, nil
		}
		if attempt == attempts {
			return printed, nil
		}
		time.Sleep(retryInterval)
	}
}
