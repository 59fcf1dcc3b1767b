package verd

import (
	"errors"
	"fmt"
)

//go:generate go tool stringer -type Verdict -linecomment

// Verdict says whether a request may have run.
type Verdict int

// The verdicts. The zero value is MayHaveRun, which is safe to assume for any request.
const (
	MayHaveRun Verdict = iota // may-have-run
	NotRun                    // not-run
	Ran                       // ran
)

// Header is the HTTP response header that carries the verdict.
const Header = "Lovagelink-Verdict"

// Parse returns the verdict that text names, or MayHaveRun if text names none.
func Parse(text string) Verdict {
	for _, v := range []Verdict{NotRun, Ran} {
		if v.String() == text {
			return v
		}
	}
	return MayHaveRun
}

// MarshalText returns the name of the verdict.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText sets the verdict to the one that text names, or to MayHaveRun if text names none.
func (v *Verdict) UnmarshalText(text []byte) error {
	*v = Parse(string(text))
	return nil
}

// Error describes a failed request: its verdict, what went wrong and where, and what the caller can do.
type Error struct {
	Verdict Verdict `json:"verdict"`
	Status  int     `json:"status"` // HTTP status code
	Reason  string  `json:"reason"`
	Place   string  `json:"place,omitempty"`
	Remedy  string  `json:"remedy,omitempty"`
}

// Error returns the reason together with the place and the remedy.
func (e *Error) Error() string {
	text := e.Reason
	if e.Place != "" {
		text = fmt.Sprintf("%s: %s", e.Place, text)
	}
	if e.Remedy != "" {
		text = fmt.Sprintf("%s; %s", text, e.Remedy)
	}
	return text
}

// Of returns the verdict that err carries, Ran if err is nil, or MayHaveRun if err carries no verdict.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
