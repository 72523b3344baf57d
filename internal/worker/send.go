package worker

import "context"

type sendCheckKey struct{}

// WithSendCheck returns a context whose call to a worker is sent only while check returns nil. Timers do not count the
// time for which a machine is suspended, and a process that was frozen may go on before they fire. So a client calls
// MaySend right before it writes a request to the network, however long ago the call began.
func WithSendCheck(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, check)
}

// MaySend returns the error of the context's send check; nil if the call may be sent or there is no check.
func MaySend(ctx context.Context) error {
	if check, ok := ctx.Value(sendCheckKey{}).(func() error); ok {
		return check()
	}
	return nil
}
