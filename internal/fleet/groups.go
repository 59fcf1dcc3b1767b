package fleet

import "time"

// Gauteng are the upstreams of the Hanging Office.
func Gauteng() []Group {
	return []Group{
		{Service: "plan", Count: 25, Slots: 2, Keyed: true, Work: 20 * time.Millisecond},
		{Service: "commission", Count: 5, Slots: 2, Work: 20 * time.Millisecond},
	}
}

// Kingston are the upstreams of the Window Services Authority.
func Kingston() []Group {
	return []Group{
		{Service: "rounds", Count: 30, Slots: 6, Keyed: true, Work: 20 * time.Millisecond},
		{Service: "billing", Count: 5, Slots: 6, Work: 20 * time.Millisecond},
	}
}
