package connections

const (
	// connectionBytes is the memory that a connection with a request in progress takes, beside a long head and the body.
	connectionBytes = 24 << 10
	// connectionDivisor, headDivisor and unreadDivisor are the parts of a machine's memory for connections, for heads and for unread bytes: one in
	// so many bytes.
	connectionDivisor = 4
	headDivisor       = 10
	unreadDivisor     = 10
	// callerSocketsNumerator of callerSocketsDenominator sockets may be those of callers. Endpoints, other routers and the platform need the others.
	callerSocketsNumerator, callerSocketsDenominator = 3, 4
	// receiveBytes is the size of a connection's receive buffer, for a head and a short body. bodyReceiveBytes is that of a connection on which a
	// long body is read: one of 4 MB takes 64 round trips at the most.
	receiveBytes     = 8 << 10
	bodyReceiveBytes = 64 << 10
	// maxHeadLines is the number of lines of a head. It is above the number of fields that routers serve, so that heads of somewhat more fields
	// are refused as a whole.
	maxHeadLines = 256
	// operatorConnections is the number of connections of operators and load balancers, operatorHeadMemory and operatorUnreadMemory the memory for
	// them.
	operatorConnections  = 64
	operatorHeadMemory   = 1 << 20
	operatorUnreadMemory = 1 << 20
)

// CallerLimits returns the limits on the connections of callers for a machine's memory in bytes and the number of sockets that the process may
// have. Zero stands for unknown.
func CallerLimits(memory int64, sockets int) Limits {
	limits := Limits{HeadLines: maxHeadLines, ReceiveBytes: receiveBytes, BodyReceiveBytes: bodyReceiveBytes, Connections: sockets * callerSocketsNumerator / callerSocketsDenominator}
	if memory <= 0 {
		return limits
	}
	limits.HeadMemory, limits.UnreadMemory = memory/headDivisor, memory/unreadDivisor
	if affordable := int(memory / connectionDivisor / connectionBytes); limits.Connections <= 0 || limits.Connections > affordable {
		limits.Connections = affordable
	}
	return limits
}

// OperatorLimits returns the limits on the connections of operators and load balancers.
func OperatorLimits() Limits {
	return Limits{
		Connections: operatorConnections, HeadMemory: operatorHeadMemory, HeadLines: maxHeadLines,
		ReceiveBytes: receiveBytes, UnreadMemory: operatorUnreadMemory,
	}
}
