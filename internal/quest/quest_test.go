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

// The sample answers of both deployments generate their configurations, and settings with replicas on the same hosts.
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
			answers, issues, err := Check([]byte(user.answers))
			is.NoErr(err)
			is.Equal(len(issues), 0)
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
	answers, issues, err := Check([]byte(Template))
	is.NoErr(err)
	is.Equal(len(issues), 0)
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

// Check reports each contradiction with its field, line and remedy.
func TestContradictions(t *testing.T) {
	for _, test := range []struct{ old, new, field, message string }{
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
		t.Run(test.field+" "+test.message, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(Template, test.old, test.new, 1)
			is.True(text != Template)
			_, issues, err := Check([]byte(text))
			is.NoErr(err)
			is.True(len(issues) > 0)
			issue := issues[0]
			for _, other := range issues {
				if strings.Contains(other.Message, test.message) {
					issue = other
				}
			}
			is.Equal(issue.Field, test.field)
			is.True(strings.Contains(issue.Message, test.message))
			is.True(issue.Remedy != "")
			is.True(issue.Line > 0)
		})
	}
}

func TestTwoServicesOnOnePath(t *testing.T) {
	is := is.New(t)
	_, issues, err := Check([]byte(strings.Replace(examples.GautengAnswers, "path: /commission/", "path: /plan/x/", 1)))
	is.NoErr(err)
	is.Equal(len(issues), 1)
	is.Equal(issues[0].String(), fmt.Sprintf(
		"line %d: services[1].path: /plan/x/ leads to service plan as well; give each service a path of its own", issues[0].Line))
	is.Equal(strings.Split(examples.GautengAnswers, "\n")[issues[0].Line-1], "    path: /commission/")
}

// Files can be generated from all answers in which Check finds no issue.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(Template))
	f.Add([]byte(examples.GautengAnswers))
	f.Fuzz(func(t *testing.T, data []byte) {
		answers, issues, err := Check(data)
		if err != nil || len(issues) > 0 {
			return
		}
		if _, err := Generate(answers); err != nil {
			text, _ := yaml.Marshal(answers)
			t.Errorf("%v\n%s", err, text)
		}
	})
}
