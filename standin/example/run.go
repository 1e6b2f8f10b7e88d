package example

import "time"

// Shell runs commands one after the other and returns what each prints.
type Shell interface {
	Run(command string) (string, error)
}

// Plan says how the commands of a page are run.
type Plan struct {
	// Before holds shell commands that run before the command of a place, such as "Top up 1".
	Before map[string]string
	// NotRun gives the reason for each place whose command isn't run.
	NotRun map[string]string
	Fields []Field
}

const (
	// maxReadAttempts bounds the tries of a command that only reads.
	maxReadAttempts = 120
	// retryInterval is the time between two tries.
	retryInterval = 250 * time.Millisecond
)

// Run runs the commands of a page in their order and returns the outputs. Where nothing but fields that may differ
// differs, it returns the page's own output. The reads of the page are tried until the site has got that far; everything
// else is run once.
func (p *Page) Run(s Shell, ports *Ports, plan Plan, reads func(command string) bool) ([]string, error) {
	outputs := make([]string, 0, len(p.Commands))
	for _, c := range p.Commands {
		if plan.NotRun[c.Place] != "" {
			outputs = append(outputs, c.Output)
			continue
		}
		if before := plan.Before[c.Place]; before != "" {
			if _, err := s.Run(ports.Free(before)); err != nil {
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

// run returns the output that the page shows if it is one of the tries', and the last try's otherwise.
func (c *Command) run(s Shell, ports *Ports, fields []Field, attempts int) (string, error) {
	for attempt := 1; ; attempt++ {
		printed, err := s.Run(ports.Free(c.Text))
		if err != nil {
			return "", err
		}
		printed = ports.Shown(printed)
		if Same(c.Output, printed, fields) {
			return c.Output, nil
		}
		if attempt == attempts {
			return printed, nil
		}
		time.Sleep(retryInterval)
	}
}
