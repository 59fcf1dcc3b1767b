package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lovagelink.example/lovagelink/examples"
	"lovagelink.example/lovagelink/internal/conf"
	"lovagelink.example/lovagelink/internal/disp"
	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/pkg/verd"
)

// Any request header is either refused as not run, with a remedy, or yields a valid slot, rank, id, age and
// deadline.
func FuzzRequestHead(f *testing.F) {
	config, err := conf.ParseConfig([]byte(examples.Gauteng))
	if err != nil {
		f.Fatal(err)
	}
	s := state.New()
	s.Config, s.ConfigVersion = config, 1
	f.Add("POST", "/plan/wall-7/bookings", "r1", "1", "0", "close")
	f.Add("GET", "/plan//layout", "", "x", "-5", "keep-alive, Request-Id")
	f.Add("POST", "/commission/confirmations", "", "2", "99999999999999999999", "")
	f.Fuzz(func(t *testing.T, method, path, id, attempt, age, connection string) {
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		request.Method = method
		request.URL.Path = path
		for name, value := range map[string]string{
			"Request-Id": id, headerAttempt: attempt, headerAge: age, "Connection": connection,
		} {
			request.Header.Set(name, value)
		}
		now := time.Unix(1000, 0)
		p, fault := parseWith(now, s, request)
		if fault != nil {
			if fault.Verdict != verd.NotRun || fault.Status < 400 || fault.Remedy == "" {
				t.Errorf("refused by %+v", fault)
			}
			return
		}
		slots := config.ServiceNamed(p.Service).Slots
		isInvalid := p.Slot < 0 || p.Slot >= slots || p.Rank < 0 || p.Rank >= len(config.Ranks)
		if isInvalid || p.ID == "" || !p.deadline.After(now) || p.age(now) < 0 || p.age(now) > disp.UnknownAge {
			t.Errorf("%s %s became %+v", method, path, p)
		}
	})
}
