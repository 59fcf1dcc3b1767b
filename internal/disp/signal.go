package disp

import "context"

// signal tells running requests of an event.
type signal struct {
	ctx  context.Context
	fire context.CancelFunc
}

func newSignal() signal {
	ctx, cancel := context.WithCancel(context.Background())
	return signal{ctx: ctx, fire: cancel}
}
