package core

import (
	"context"
	"time"

	"lovagelink.example/lovagelink/internal/quota"
	"lovagelink.example/lovagelink/internal/realm"
)

// SpendRequest asks whether one more request may be sent to an upstream that takes Limit requests per second from all
// hosts together. Each entry host asks the same control host about an upstream, which need not lead.
type SpendRequest struct {
	Upstream realm.Instance `json:"upstream"`
	Limit    float64        `json:"limit"`
	Rank     int            `json:"rank"`
}

func (h *Host) handleSpend(_ context.Context, _ string, request SpendRequest) (quota.Answer, error) {
	h.quotaMu.Lock()
	defer h.quotaMu.Unlock()
	return h.quotas.Take(time.Now(), request.Upstream, request.Limit, request.Rank), nil
}
