package quest

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/matryer/is"

	"lovagelink.example/lovagelink/examples"
	"lovagelink.example/lovagelink/internal/conf"
)

// The answers of both users lead to their configurations, and to settings that hold together.
func TestAnswersOfBothUsers(t *testing.T) {
	for _, user := range []struct {
		name, answers, config string
		hosts                 int
	}{
		{"gauteng", examples.GautengAnswers, examples.Gauteng, 10},
		{"kingston", examples.KingstonAnswers, examples.Kingston, 11},
	} {
		t.Run(user.name, func(t *testing.T) {
			is := is.New(t)
			answers, faults, err := Check([]byte(user.answers))
			is.NoErr(err)
			is.Equal(len(faults), 0)
			files, err := Generate(answers)
			is.NoErr(err)
			is.Equal(len(files), user.hosts+1)
			want, err := conf.ParseConfig([]byte(user.config))
			is.NoErr(err)
			got, err := conf.ParseConfig(files[0].Data)
			is.NoErr(err)
			is.Equal(got, want)
			var host conf.Host
			is.NoErr(conf.Decode(files[1].Data, &host))
			is.Equal(host.Replicas(), []string{"a1", "b1", "c1"})
		})
	}
}

func TestSameAnswersSameFiles(t *testing.T) {
	is := is.New(t)
	answers, faults, err := Check([]byte(Template))
	is.NoErr(err)
	is.Equal(len(faults), 0)
	first, err := Generate(answers)
	is.NoErr(err)
	for range 20 {
		again, err := Generate(answers)
		is.NoErr(err)
		for i := range first {
			is.True(bytes.Equal(first[i].Data, again[i].Data))
		}
	}
}

// Each contradiction is found on its line, with a remedy.
func TestContradictions(t *testing.T) {
	for _, one := range []struct{ old, new, field, says string }{
		{"name: c1, zone: c", "name: c1, zone: d", "hosts[2].zone", "not among the zones"},
		{"zones: [a, b, c]", "zones: [a, b, c, d]", "zones[3]", "no entry host"},
		{"127.0.0.1:7010", "127.0.0.1:7003", "hosts[1].callers", "taken by host a1"},
		{"127.0.0.1:7010", "127.0.0.1:65533", "hosts[1].callers", "5 free ports"},
		{"7020\", disk: run", "7020\"", "hosts", "2 of them have a disk"},
		{"worth: 20", "worth: 0.5", "ranks[0].worth", "worth the least"},
		{"worth: 20", "worth: .nan", "ranks[0].worth", "not above 0"},
		{"kept-in-flood: 50", "kept-in-flood: 95", "ranks", "105 percent"},
		{"rank: view,", "rank: vew,", "services[0].work[0].rank", "not among the ranks"},
		{"rank: view,", "rank: booking,", "ranks[1].name", "no work has rank"},
		{"give-up-after: 10s", "give-up-after: 100ms", "services[0].work[1].give-up-after", "promises an answer"},
		{"path: /plan/", "path: plan", "services[0].path", "begin and end"},
		{"key: {segment: 2}", "key: {segment: 2, header: X-Key}", "services[0].key", "one place"},
		{"serve-elsewhere\n    #", "stop\n    #", "services[0].when-zone-is-cut-off", "no choice"},
		{"[POST, PUT]", "[POST, GET]", "services[0].work[1].methods", "two kinds of work"},
		{"[POST, PUT]", "[POST, put]", "services[0].work[1].methods", "no method"},
	} {
		t.Run(one.field+" "+one.says, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(Template, one.old, one.new, 1)
			is.True(text != Template)
			_, faults, err := Check([]byte(text))
			is.NoErr(err)
			is.True(len(faults) > 0)
			fault := faults[0]
			for _, other := range faults {
				if strings.Contains(other.Message, one.says) {
					fault = other
				}
			}
			is.Equal(fault.Field, one.field)
			is.True(strings.Contains(fault.Message, one.says))
			is.True(fault.Remedy != "")
			is.True(fault.Line > 0)
		})
	}
}

func TestTwoServicesOnOnePath(t *testing.T) {
	is := is.New(t)
	_, faults, err := Check([]byte(strings.Replace(examples.GautengAnswers, "path: /commission/", "path: /plan/x/", 1)))
	is.NoErr(err)
	is.Equal(len(faults), 1)
	is.Equal(faults[0].String(), fmt.Sprintf(
		"line %d: services[1].path: /plan/x/ leads to service plan as well; give each service a path of its own", faults[0].Line))
	is.Equal(strings.Split(examples.GautengAnswers, "\n")[faults[0].Line-1], "    path: /commission/")
}

// What the check lets through can always be generated.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(Template))
	f.Add([]byte(examples.GautengAnswers))
	f.Fuzz(func(t *testing.T, data []byte) {
		answers, faults, err := Check(data)
		if err != nil || len(faults) > 0 {
			return
		}
		if _, err := Generate(answers); err != nil {
			text, _ := yaml.Marshal(answers)
			t.Errorf("%v\n%s", err, text)
		}
	})
}
