package operator

import (
	"github.com/goccy/go-yaml"
)

// DecodeTicket reads a ticket.
func DecodeTicket(_ string, data []byte) (*Ticket, error) {
	var t Ticket
	if err := yaml.UnmarshalWithOptions(data, &t, yaml.Strict()); err != nil {
		return nil, err
	}
	return &t, nil
}
