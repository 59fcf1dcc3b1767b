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

// Limits of a single attempt.
const (
	maxBufferedBody = 256 << 10 // bytes of a response that are buffered before any of it is sent to the caller
	maxUnframedBody = 4 << 20   // bytes of a body of unknown length for a caller that does not read chunks
	maxUnframed     = 2         // bodies beyond maxBufferedBody that are held at a time for such callers
	maxMismatched   = 3         // consecutive mismatched responses after which the attempt fails
)

// deadlineMargin is subtracted from the remaining time that is announced to an upstream, so that its response can still
// reach the caller before the deadline.
const deadlineMargin = 10 * time.Millisecond

// attempt sends a request to one upstream and relays the response to the caller. Up to maxBufferedBody bytes of the
// response body are read before any of the response is sent to the caller, so that a request whose upstream fails
// before that can still be retried.
func (f *Front) attempt(ctx context.Context, c *call, u *upstream) result {
	start := time.Now()
	conn, err := u.connect(ctx, start, c.info.ID, c.route.Repeat != route.Idempotent)
	if err != nil {
		f.recordDialFailure(ctx, c, u, err)
		return unsent
	}
	stop := context.AfterFunc(ctx, conn.Interrupt)
	response, info, err := f.roundTrip(c, u, conn)
	if err != nil {
		stop()
		conn.Close()
		return f.recordFailure(ctx, c, u, conn.WasRefused(err), err)
	}
	if info.IsNotRun {
		err := http1.DiscardBody(response, maxBufferedBody)
		f.release(u, conn, stop(), response, err)
		return f.recordNotRun(c, u, response, info)
	}
	body, more, err := http1.ReadBody(response, maxBufferedBody)
	if err != nil {
		stop()
		conn.Close()
		return f.recordFailure(ctx, c, u, false, err)
	}
	now := time.Now()
	u.recordResponse(now, now.Sub(start), info, response.StatusCode < http.StatusInternalServerError)
	f.stats.Served.Add(1)
	f.recordLatency(c, response.StatusCode)
	if !more {
		f.release(u, conn, stop(), response, nil)
		c.exchange.Reply(response.StatusCode, endToEndHeaders(response.Header), body)
		return responded
	}
	err = f.stream(ctx, c.exchange, response, body)
	f.release(u, conn, stop(), response, err)
	if err != nil {
		_ = f.logger.Log("event", "answer-broken-off", "id", c.info.ID, "upstream", u.registration.ID, "reason", err)
	}
	return responded
}

var (
	errMismatched        = errors.New("received only responses to other requests")
	errUnsigned          = errors.New("response lacks the request id or the upstream's signature")
	errUnconfirmedNotRun = errors.New("response status implies that the request has not run, but the upstream did not confirm it")
)

// roundTrip sends the request and reads the head of its response. It skips mismatched responses, which belong to other
// requests.
func (f *Front) roundTrip(c *call, u *upstream, conn *http1.ClientConn) (*http.Response, calls.ResponseInfo, error) {
	header := c.header.Clone()
	f.codec.Write(header, u.registration.ID, time.Until(c.deadline)-deadlineMargin)
	c.sent++
	c.tried[u.registration.ID] = true
	f.stats.Sent.Add(1)
	if c.sent > 1 {
		f.stats.Resent.Add(1)
	}
	request := c.exchange.Request
	sentAt := time.Now()
	err := conn.Send(http1.Outgoing{
		Method: request.Method, Target: c.target, Host: request.Host, Header: header, Body: c.exchange.Body,
		ForceContentLength: request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch,
	})
	if err != nil {
		return nil, calls.ResponseInfo{}, err
	}
	for mismatched := range maxMismatched {
		response, err := conn.Receive(request.Method)
		if err != nil {
			return nil, calls.ResponseInfo{}, err
		}
		info := f.codec.ParseResponse(response.StatusCode, response.Header, c.info.ID, u.registration.ID)
		if isOwnWord(info) {
			f.recordNotices(c, u, info)
			if u.recordLimit(sentAt, time.Now(), info) {
				f.reportLimit(u.registration.Instance)
				_ = f.logger.Log("event", "upstream-limits", "id", c.info.ID, "upstream", u.registration.ID, "limit", info.Limit, "named", info.HasLimit)
			}
		}
		if info.IsMismatched {
			f.stats.Mismatched.Add(1)
			if err := http1.DiscardBody(response, maxBufferedBody); err != nil {
				return nil, info, err
			}
			continue
		}
		response.Close = response.Close || mismatched > 0 // an upstream that has sent a surplus response may send more
		switch {
		case info.IsNotRun && !info.MatchesID && conn.HasRefusals():
			return nil, info, errUnconfirmedNotRun // it may be an earlier refusal, written once more
		case info.IsNotRun:
			conn.RecordRefusal(c.info.ID)
			response.Close = response.Close || !info.MatchesID
			return response, info, nil
		case !info.MatchesID || !info.IsSigned:
			return nil, info, errUnsigned
		case impliesNotRun(response.StatusCode) && c.route.Repeat != route.Idempotent:
			return nil, info, errUnconfirmedNotRun
		}
		return response, info, nil
	}
	return nil, calls.ResponseInfo{}, errMismatched
}

// isOwnWord reports whether a response is the upstream's own to this request: signed with the request's id, or a refusal,
// which bears no signature and not always an id. Any other response may come from another process that had the address,
// or be damaged.
func isOwnWord(info calls.ResponseInfo) bool {
	if info.IsNotRun {
		return !info.IsMismatched && !info.WrongUpstream
	}
	return info.MatchesID && info.IsSigned
}

// recordNotices records what an upstream has said in a response about the requests that it wants, and tells the control
// hosts of an upstream that is leaving.
func (f *Front) recordNotices(c *call, u *upstream, info calls.ResponseInfo) {
	if info.Unreadable != "" {
		_ = f.logger.Log("event", "header-ignored", "id", c.info.ID, "upstream", u.registration.ID, "header", info.Unreadable)
	}
	if info.Pause > 0 {
		_ = f.logger.Log("event", "upstream-pauses", "id", c.info.ID, "upstream", u.registration.ID, "for", info.Pause)
	}
	if !u.recordNotices(time.Now(), info) {
		return
	}
	_ = f.logger.Log("event", "upstream-leaves", "id", c.info.ID, "upstream", u.registration.ID)
	select {
	case f.leavers <- u.registration.Instance:
	default: // this host sends it no more requests itself; others learn of it from their own responses
		_ = f.logger.Log("event", "upstream-leaves", "upstream", u.registration.ID, "outcome", "not-reported", "reason", "too many reports wait")
	}
}

// impliesNotRun reports whether a status tells the caller that its request has not run and never will.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// release returns the connection to the pool if it is reusable, and closes it otherwise. The argument uninterrupted is
// false if the end of the context has interrupted the connection.
func (f *Front) release(u *upstream, conn *http1.ClientConn, uninterrupted bool, response *http.Response, err error) {
	if err == nil && uninterrupted && conn.MarkIdle(time.Now(), response) {
		u.putIdle(conn)
		return
	}
	conn.Close()
}

// recordDialFailure records that no connection to the upstream could be opened. The end of the context says nothing
// about the upstream's health.
func (f *Front) recordDialFailure(ctx context.Context, c *call, u *upstream, err error) {
	now := time.Now()
	if ctx.Err() != nil {
		u.releasePermit(now)
		return
	}
	u.recordFailure(now, true)
	_ = f.logger.Log("event", "upstream-unreachable", "id", c.info.ID, "upstream", u.registration.ID, "address", u.registration.Address, "reason", err)
}

// recordFailure records an attempt that failed once a connection was open. The outcome of the request is unknown unless
// nothing of it was sent; that holds for a connection which the upstream has reset while it was new, too.
func (f *Front) recordFailure(ctx context.Context, c *call, u *upstream, isReset bool, err error) result {
	now := time.Now()
	if ctx.Err() != nil {
		u.releasePermit(now)
		return outcomeUnknown
	}
	if errors.Is(err, http1.ErrUnsent) {
		u.releasePermit(now)
		return unsent
	}
	if isReset {
		u.recordReset(now)
	} else {
		u.recordFailure(now, false)
	}
	_ = f.logger.Log("event", "attempt-lost", "id", c.info.ID, "upstream", u.registration.ID, "attempt", c.sent, "reason", err)
	return outcomeUnknown
}

// recordNotRun records that the upstream reported that it has not run the request: the request is misdirected, or the
// upstream is overloaded.
func (f *Front) recordNotRun(c *call, u *upstream, response *http.Response, info calls.ResponseInfo) result {
	now := time.Now()
	if info.WrongUpstream {
		u.recordFailure(now, true) // the address belongs to another upstream now
	} else if response.StatusCode == http.StatusMisdirectedRequest {
		u.releasePermit(now)
		u.recordMissingKeys(now, c.token)
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		_ = f.logger.Log("event", "attempt-misled", "id", c.info.ID, "upstream", u.registration.ID, "key", c.info.Key,
			"other", info.WrongUpstream, "index", f.view.Load().Index)
		return misdirected
	}
	f.stats.Shed.Add(1)
	u.recordOverload(now)
	return shed
}

// stream relays a response that is larger than maxBufferedBody; prefix is the part of the body that has been read.
func (f *Front) stream(ctx context.Context, x *http1.Exchange, response *http.Response, prefix []byte) error {
	header := endToEndHeaders(response.Header)
	if response.ContentLength < 0 && !x.Request.ProtoAtLeast(1, 1) {
		return f.replyWhole(ctx, x, response, header, prefix)
	}
	if err := x.Begin(response.StatusCode, header, response.ContentLength); err != nil {
		return err
	}
	if _, err := x.Write(prefix); err != nil {
		return err
	}
	if _, err := io.Copy(x, response.Body); err != nil {
		return err
	}
	return x.End()
}

// replyWhole relays a response of unknown length to a caller that could not tell a truncated body from a complete one. It
// waits for its turn, since the whole body is held.
func (f *Front) replyWhole(ctx context.Context, x *http1.Exchange, response *http.Response, header http.Header, prefix []byte) error {
	var rest []byte
	var more bool
	var err error
	select {
	case f.unframed <- struct{}{}:
		defer func() { <-f.unframed }()
		rest, more, err = http1.ReadBody(response, maxUnframedBody)
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil && more {
		err = http1.ErrBodyTooLong
	}
	if err != nil {
		x.Reply(http.StatusBadGateway, http.Header{}, []byte("the upstream gave no whole answer\n"))
		return err
	}
	x.Reply(response.StatusCode, header, append(prefix, rest...))
	return nil
}
