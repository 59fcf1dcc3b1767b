package conf

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"gauteng", "kingston"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile("../../examples/" + name + ".yaml")
			is.NoErr(err)
			config, err := ParseConfig(data)
			is.NoErr(err)
			is.Equal(len(config.Ranks), 3)
			is.Equal(config.Services[1].WhenCut, Stay)
			is.Equal(config.ServiceForPath("/nowhere"), nil)
		})
	}
}

// The error for an invalid configuration names the location of the fault.
func TestFaultsNameTheirPlace(t *testing.T) {
	data, err := os.ReadFile("../../examples/gauteng.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, fault := range []struct{ old, new, want string }{
		{"route: /commission/", "route: /plan/x/", "services[1] commission: route"},
		{"rank: layout,", "rank: view,", "rules[0]: rank \"view\""},
		{"slots: 64", "slotz: 64", "slotz"},
		{"floor: 0.5", "floor: 0.9", "floors add up"},
		{"when-cut: stay", "when-cut: go", "neither move nor stay"},
		{"key: {segment: 2}", "key: {segment: 2, header: x}", "either a segment or a header"},
		{"worth: 20", "worth: -1", "Worth"},
		{"[GET, HEAD]", "[GET, TRACE]", "\"TRACE\" is no method"},
		{"[GET, HEAD]", "[get]", "\"get\" is no method"},
	} {
		t.Run(fault.old, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseConfig([]byte(strings.Replace(string(data), fault.old, fault.new, 1)))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), fault.want)) // the location is named
		})
	}
}

func TestHostCheck(t *testing.T) {
	is := is.New(t)
	host := Host{Name: "a1", Zone: "a", Hosts: []Peer{{Name: "a1", Zone: "a", Replica: true}}}
	is.True(strings.Contains(host.Check().Error(), "data-folder"))
	host.DataFolder = "x"
	is.NoErr(host.Check())
	host.Zone = "b"
	is.True(strings.Contains(host.Check().Error(), "zone"))
}

// Each configuration that ParseConfig accepts satisfies the invariants that other packages rely on.
func FuzzParseConfig(f *testing.F) {
	for _, name := range []string{"gauteng", "kingston"} {
		data, err := os.ReadFile("../../examples/" + name + ".yaml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		config, err := ParseConfig(data)
		if err != nil {
			return
		}
		for _, service := range config.Services {
			if service.Slots < 1 || service.BodyLimit < 1 || config.ServiceForPath(service.Route) == nil {
				t.Errorf("service %+v was accepted", service)
			}
			for _, rule := range service.Rules {
				if config.RankOf(rule.Rank) >= len(config.Ranks) || rule.Deadline <= 0 {
					t.Errorf("rule %+v was accepted", rule)
				}
			}
		}
	})
}

func TestChangesInWords(t *testing.T) {
	data, err := os.ReadFile("../../examples/gauteng.yaml")
	if err != nil {
		t.Fatal(err)
	}
	before, err := ParseConfig(data)
	if err != nil {
		t.Fatal(err)
	}
	for _, change := range []struct{ old, new, want string }{
		{"worth: 100", "worth: 100.0", ""},
		{"worth: 100", "worth: 50", "rank confirmation: worth was 100 and becomes 50"},
		{"deadline: 10s", "deadline: 8s", "service plan: POST: deadline was 10s and becomes 8s; service plan: PUT: deadline was 10s and becomes 8s"},
		{"[GET, HEAD]", "[GET]", "service plan: HEAD is refused from now on"},
		{"segment: 2", "header: X-Wall", "service plan: key was segment 2 and becomes header X-Wall"},
		{"when-cut: stay", "when-cut: move", "service commission: when-cut was stay and becomes move"},
		{"name: commission", "name: commissions", "service commission is gone: its route /commission/ leads nowhere; service commissions is new, with route /commission/"},
		{"  - {name: booking, target: 1s, worth: 20, floor: 0.2, wait: 5s}\n  - {name: layout, target: 500ms, worth: 1, floor: 0.1}", "  - {name: layout, target: 500ms, worth: 1, floor: 0.1}\n  - {name: booking, target: 1s, worth: 20, floor: 0.2, wait: 5s}", "the ranks' order is now confirmation, layout, booking"},
	} {
		t.Run(change.want, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(string(data), change.old, change.new, 1)
			is.True(text != string(data))
			after, err := ParseConfig([]byte(text))
			is.NoErr(err)
			is.Equal(strings.Join(Changes(before, after), "; "), change.want)
		})
	}
}
