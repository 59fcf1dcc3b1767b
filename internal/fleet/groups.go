package fleet

import "time"

// Gauteng returns the upstream groups of the Hanging Office's deployment.
func Gauteng() []Group {
	return []Group{
		{Service: "plan", Count: 25, Concurrency: 2, Keyed: true, ServiceTime: 20 * time.Millisecond},
		{Service: "commission", Count: 5, Concurrency: 2, ServiceTime: 20 * time.Millisecond},
	}
}

// Kingston returns the upstream groups of the Window Services Authority's deployment.
func Kingston() []Group {
	return []Group{
		{Service: "rounds", Count: 30, Concurrency: 6, Keyed: true, ServiceTime: 20 * time.Millisecond},
		{Service: "billing", Count: 5, Concurrency: 6, ServiceTime: 20 * time.Millisecond},
	}
}
