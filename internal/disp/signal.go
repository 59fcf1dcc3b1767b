package disp

import "context"

// eventSignal notifies running requests of an event.
type eventSignal struct {
	ctx  context.Context
	fire context.CancelFunc
}

func newEventSignal() eventSignal {
	ctx, cancel := context.WithCancel(context.Background())
	return eventSignal{ctx: ctx, fire: cancel}
}
