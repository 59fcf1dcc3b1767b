package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/go-kit/log"
	"github.com/goccy/go-yaml"

	"lovagelink.example/lovagelink/internal/conf"
	"lovagelink.example/lovagelink/internal/entry"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/upsim"
	"lovagelink.example/lovagelink/platform"
)

// usageError reports invalid arguments or flags of a subcommand.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

func isUsage(err error) bool {
	var usage usageError
	return errors.As(err, &usage)
}

func newLogger() log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	return log.With(logger, "time", log.DefaultTimestampUTC)
}

func entryCommand() command {
	var path string
	var metricsPort uint
	return command{
		name:    "entry",
		short:   "run an entry host",
		usage:   "entry [--settings FILE]; without --settings, the settings file is the one that " + platform.SettingsVariable + " names",
		example: "entry --settings run/a1.yaml",
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&path, "settings", "", "file with the settings of this host")
			flags.UintVar(&metricsPort, "metrics", 0, "port for metrics, with the platform's settings; 0 for none")
		},
		run: func(ctx context.Context, _ []string, _ io.Writer) error {
			if path == "" {
				return runFront(ctx, uint16(metricsPort))
			}
			return runEntry(ctx, path)
		},
	}
}

func runEntry(ctx context.Context, path string) error {
	settings, err := conf.LoadHost(path)
	if err != nil {
		return err
	}
	host, err := entry.New(time.Now(), settings, peer.TCP{}, newLogger())
	if err != nil {
		return err
	}
	if err := host.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	host.Stop(context.Background())
	return nil
}

func upstreamCommand() command {
	var s upsim.Settings
	var address, entries string
	return command{
		name:    "upstream",
		short:   "run a simulated upstream",
		usage:   "upstream --id ID --service NAME --zone ZONE --address IP:PORT --entries IP:PORT,...",
		example: "upstream --id plan-1 --service plan --zone a --address 127.0.0.1:9001 --entries 127.0.0.1:7001",
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&s.ID, "id", "", "name of the upstream")
			flags.StringVar(&s.Service, "service", "", "service of the upstream")
			flags.StringVar(&s.Zone, "zone", "", "availability zone")
			flags.StringVar(&address, "address", "", "address on which the upstream listens")
			flags.StringVar(&entries, "entries", "", "upstreams' addresses of entry hosts, separated by commas")
			flags.IntVar(&s.Concurrency, "slots", 2, "number of concurrent requests")
			flags.IntVar(&s.Connections, "connections", 120, "number of connections that the upstream announces it accepts")
			flags.BoolVar(&s.VerifiesGrants, "checks", true, "refuse requests without a valid grant")
			flags.BoolVar(&s.Keyed, "keyed", true, "each key of the service has one owner")
			flags.DurationVar(&s.ServiceTime, "work", 20*time.Millisecond, "service time of a request")
			flags.DurationVar(&s.Warmup, "cold", 0, "warm-up time after the start, in which requests take longer")
			flags.IntVar(&s.ShedAbove, "shed-above", 0, "number of concurrent requests above which a request is refused; 0 means no maximum")
			flags.IntVar(&s.AnswerBytes, "answer-bytes", 2048, "size of a response body in bytes")
		},
		run: func(ctx context.Context, _ []string, _ io.Writer) error {
			var err error
			if s.Address, err = netip.ParseAddrPort(address); err != nil {
				return usageError{fmt.Sprintf("--address %q is not IP:PORT", address)}
			}
			if s.Entries, err = parseAddresses(entries); err != nil {
				return usageError{"--entries: " + err.Error()}
			}
			return runUpstream(ctx, s)
		},
	}
}

func runUpstream(ctx context.Context, settings upsim.Settings) error {
	if settings.ID == "" || settings.Service == "" || settings.Zone == "" {
		return usageError{"--id, --service and --zone are required"}
	}
	upstream := upsim.New(time.Now(), settings, peer.TCP{}, &upsim.Ledger{})
	if err := upstream.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	upstream.Kill()
	return nil
}

func settingsCommand() command {
	var folder string
	var hosts, zones, port int
	return command{
		name:    "settings",
		short:   "write the settings of entry hosts on loopback addresses",
		usage:   "settings --folder DIR [--hosts N] [--zones N] [--port P]",
		example: "settings --folder run --hosts 10 --zones 3",
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&folder, "folder", "run", "folder for the settings files")
			flags.IntVar(&hosts, "hosts", 10, "number of entry hosts")
			flags.IntVar(&zones, "zones", 3, "number of zones; the first host of each holds a replica")
			flags.IntVar(&port, "port", 7000, "first port")
		},
		run: func(_ context.Context, _ []string, out io.Writer) error {
			if zones%2 == 0 || hosts < zones {
				return usageError{"--zones must be odd and no more than --hosts"}
			}
			return writeSettings(out, folder, hosts, zones, port)
		},
	}
}

// writeSettings writes the settings file of each host; host i gets the ports from port+10*i on.
func writeSettings(out io.Writer, folder string, hosts, zones, port int) error {
	at := func(i, offset int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port+10*i+offset))
	}
	var peers []conf.Peer
	for i := range hosts {
		zone := string(rune('a' + i%zones))
		peers = append(peers, conf.Peer{
			Name: fmt.Sprintf("%s%d", zone, i/zones+1), Zone: zone, Address: at(i, 3), Forward: at(i, 4), Replica: i < zones,
		})
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for i, p := range peers {
		settings := conf.Host{
			Name: p.Name, Zone: p.Zone, Hosts: peers,
			Callers: at(i, 0), Upstreams: at(i, 1), Operators: at(i, 2),
		}
		if p.Replica {
			settings.DataFolder = filepath.Join(folder, "data-"+p.Name)
		}
		data, err := yaml.Marshal(settings)
		if err != nil {
			return err
		}
		path := filepath.Join(folder, p.Name+".yaml")
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: zone %s, callers %s, upstreams %s, operators %s\n",
			path, p.Zone, settings.Callers, settings.Upstreams, settings.Operators)
	}
	return nil
}
