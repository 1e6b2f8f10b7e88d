package peer

//go:generate go run github.com/tinylib/msgp@v1.6.5 -unexported -io=false -tests=false -file exchange_message.go -o exchange_message_gen.go

//msgp:tuple Exchange ExchangeHead ExchangeEnd HeaderField
//msgp:limit arrays:4096 maps:0

// Exchange is an HTTP request that the sender wants another router to send to an endpoint, once.
type Exchange struct {
	// Service, Endpoint, Address and StartedAt identify the endpoint's process as the directory lists it.
	Service, Endpoint, Address string
	StartedAt                  int64
	Method, Target, Host       string
	Header                     []HeaderField
	// Body is bounded by MaxRequestBytes, which the encoded exchange has to fit into.
	Body []byte `msg:"Body,limit=1052672"`
	// TimeLeftMilliseconds is the time after which the other router gives the exchange up.
	TimeLeftMilliseconds int64
}

// HeaderField is a header of an HTTP message with its values.
type HeaderField struct {
	Name   string
	Values []string
}

// ExchangeHead is the status and the headers of an endpoint's answer.
type ExchangeHead struct {
	Status     int
	StatusText string
	Header     []HeaderField
	// ContentLength is the length of the body in bytes, or -1 if the answer names none. IsChunked reports whether it is sent in chunks.
	ContentLength int64
	IsChunked     bool
	// Writes is how many times the request was written to the endpoint.
	Writes int
}

// ExchangeEnd is how an exchange ended. It is the last message of each exchange.
type ExchangeEnd struct {
	Outcome ExchangeOutcome
	// Writes is how many times the request was written to the endpoint, Cause a description of the failure.
	Writes int
	Cause  string
}

// ExchangeOutcome is the outcome of an exchange. The values are part of the protocol between routers.
type ExchangeOutcome uint8

const (
	// ExchangeComplete means that the endpoint's whole answer was passed on.
	ExchangeComplete ExchangeOutcome = iota + 1
	// ExchangeDeclined means that the other router sent nothing to the endpoint, for a reason of its own.
	ExchangeDeclined
	// ExchangeNotConnected means that the other router could open no connection to the endpoint.
	ExchangeNotConnected
	// ExchangeRefused means that the endpoint's machine refused the connection.
	ExchangeRefused
	// ExchangeFailed means that the endpoint gave no answer, or broke it off.
	ExchangeFailed
	// ExchangeNotAdmitted means that the other router sent nothing because its view of the endpoint forbids it.
	ExchangeNotAdmitted
)
