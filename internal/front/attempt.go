package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"lovagelink.example/lovagelink/internal/calls"
	"lovagelink.example/lovagelink/internal/http1"
	"lovagelink.example/lovagelink/internal/route"
)

// Sizes and counts of one attempt.
const (
	wholeBody = 256 << 10 // bytes of an answer that are read before any of it is passed on
	maxStrays = 3         // answers to other requests that are passed over
)

// deadlineMargin is taken off the time that an upstream is told, for the way back.
const deadlineMargin = 10 * time.Millisecond

// attempt sends a request to one upstream and passes its answer on.
func (f *Front) attempt(ctx context.Context, c *call, u *upstream) result {
	began := time.Now()
	link, err := u.connect(ctx, began, c.route.Repeat != route.Idempotent)
	if err != nil {
		f.unsend(ctx, c, u, err)
		return unsent
	}
	stop := context.AfterFunc(ctx, link.Interrupt)
	answer, judged, err := f.ask(c, u, link)
	if err != nil {
		stop()
		link.Close()
		return f.fail(ctx, c, u, err)
	}
	if judged.IsNotRun {
		_, _, err := http1.ReadBody(answer, wholeBody)
		f.release(u, link, stop(), answer, err)
		return f.notRun(c, u, answer, judged)
	}
	body, more, err := http1.ReadBody(answer, wholeBody)
	if err != nil {
		stop()
		link.Close()
		return f.fail(ctx, c, u, err)
	}
	now := time.Now()
	u.served(now, now.Sub(began), judged, answer.StatusCode < http.StatusInternalServerError)
	f.stats.Served.Add(1)
	f.took(c, answer.StatusCode)
	if !more {
		f.release(u, link, stop(), answer, nil)
		c.x.Reply(answer.StatusCode, forwarded(answer.Header), body)
		return answered
	}
	err = pass(c.x, answer, body)
	f.release(u, link, stop(), answer, err)
	if err != nil {
		_ = f.logger.Log("event", "answer-broken-off", "id", c.marks.ID, "upstream", u.known.ID, "reason", err)
	}
	return answered
}

var (
	errStrays   = errors.New("only answers to other requests came")
	errUnsigned = errors.New("the answer does not bear the upstream's mark")
	errPromise  = errors.New("the answer promises that the request has not run, and the upstream does not say so")
)

// ask sends the request and reads the head of its answer, passing over answers to other requests.
func (f *Front) ask(c *call, u *upstream, link *http1.ClientConn) (*http.Response, calls.ResponseInfo, error) {
	header := c.header.Clone()
	f.codec.Write(header, u.known.ID, time.Until(c.deadline)-deadlineMargin)
	c.sent++
	c.tried[u.known.ID] = true
	f.stats.Sent.Add(1)
	if c.sent > 1 {
		f.stats.Repeated.Add(1)
	}
	request := c.x.Request
	err := link.Send(http1.Outgoing{
		Method: request.Method, Target: c.target, Host: request.Host, Header: header, Body: c.x.Body,
		ForceContentLength: request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch,
	})
	if err != nil {
		return nil, calls.ResponseInfo{}, err
	}
	for stray := range maxStrays {
		answer, err := link.Receive(request.Method)
		if err != nil {
			return nil, calls.ResponseInfo{}, err
		}
		judged := f.codec.ParseResponse(answer.StatusCode, answer.Header, c.marks.ID, u.known.ID)
		if judged.IsMismatched {
			f.stats.Strays.Add(1)
			if _, err := io.Copy(io.Discard, answer.Body); err != nil {
				return nil, judged, err
			}
			continue
		}
		answer.Close = answer.Close || stray > 0 // an upstream that adds answers may add more
		switch {
		case judged.IsNotRun:
			return answer, judged, nil
		case !judged.MatchesID || !judged.IsSigned:
			return nil, judged, errUnsigned
		case isPromise(answer.StatusCode) && c.route.Repeat != route.Idempotent:
			return nil, judged, errPromise
		}
		return answer, judged, nil
	}
	return nil, calls.ResponseInfo{}, errStrays
}

// isPromise reports whether a status tells a caller that its request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// release keeps the connection for the next request if it can carry one.
func (f *Front) release(u *upstream, link *http1.ClientConn, isOwn bool, answer *http.Response, err error) {
	if err == nil && isOwn && link.MarkIdle(time.Now(), answer) {
		u.put(link)
		return
	}
	link.Close()
}

// unsend notes that an upstream could not be reached.
func (f *Front) unsend(ctx context.Context, c *call, u *upstream, err error) {
	now := time.Now()
	if ctx.Err() != nil {
		u.leave(now)
		return
	}
	u.failed(now, true)
	_ = f.logger.Log("event", "upstream-unreachable", "id", c.marks.ID, "upstream", u.known.ID, "address", u.known.Address, "reason", err)
}

// fail notes a request whose outcome is not known.
func (f *Front) fail(ctx context.Context, c *call, u *upstream, err error) result {
	now := time.Now()
	if ctx.Err() != nil {
		u.leave(now)
		return lost
	}
	if errors.Is(err, http1.ErrUnsent) {
		u.leave(now)
		return unsent
	}
	u.failed(now, false)
	_ = f.logger.Log("event", "attempt-lost", "id", c.marks.ID, "upstream", u.known.ID, "attempt", c.sent, "reason", err)
	return lost
}

// notRun notes a request that an upstream has not run.
func (f *Front) notRun(c *call, u *upstream, answer *http.Response, judged calls.ResponseInfo) result {
	now := time.Now()
	if judged.WrongUpstream {
		u.failed(now, true) // its address belongs to another upstream now
	} else if answer.StatusCode == http.StatusMisdirectedRequest {
		u.leave(now)
		u.lack(now, c.fence)
	}
	if answer.StatusCode == http.StatusMisdirectedRequest {
		_ = f.logger.Log("event", "attempt-misled", "id", c.marks.ID, "upstream", u.known.ID, "key", c.marks.Key,
			"other", judged.WrongUpstream, "index", f.view.Load().Index)
		return misled
	}
	f.stats.Shed.Add(1)
	u.shed(now)
	return shed
}

// pass streams a long answer to the caller.
func pass(x *http1.Exchange, answer *http.Response, first []byte) error {
	header := forwarded(answer.Header)
	if answer.ContentLength < 0 {
		rest, err := io.ReadAll(answer.Body)
		if err != nil {
			return err
		}
		x.Reply(answer.StatusCode, header, append(first, rest...))
		return nil
	}
	if err := x.Begin(answer.StatusCode, header, answer.ContentLength); err != nil {
		return err
	}
	if _, err := x.Write(first); err != nil {
		return err
	}
	if _, err := io.Copy(x, answer.Body); err != nil {
		return err
	}
	x.End()
	return nil
}
