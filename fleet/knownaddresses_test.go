package fleet

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/proto"

	"lovagespread.example/peer/fleetpb"
)

// addressLoop returns a loop with a heartbeat socket, and its log.
func addressLoop(t *testing.T) (*Loop, *observer.ObservedLogs) {
	t.Helper()
	l := testLoop(t, nil)
	withHeartbeats(t, l)
	core, logs := observer.New(zapcore.WarnLevel)
	l.log = zap.New(core)
	l.heartbeats.log = l.log
	return l, logs
}

func dead(n int) string { return fmt.Sprintf("127.9.%d.%d:7721", n/250, 1+n%250) }

// Guards against an address of another writer that is looked up as a name, which stops
// the control loop, or that is sent to, told to others and logged again and again.
func TestOddHeartbeatAddressesAreRefused(t *testing.T) {
	odd := []string{
		"", "x", "localhost:1", "entry.example:7721", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1",
		"127.0.0.1:http", "127.0.0.01:1", " 127.0.0.1:1", "127.0.0.1:1\n", "[::1]:1", "[::ffff:127.0.0.1]:1", "0.0.0.0:1", "224.0.0.1:1",
		"255.255.255.255:1", "u:p@127.0.0.1:1", "127.0.0.1:1/x", "\xff\x00", strings.Repeat("1", 100_000) + ":1", `{"address":"127.0.0.1:1"}`,
	}
	for name, add := range map[string]func(*Loop, []string){
		"settings": func(l *Loop, list []string) { seedAddresses{list}.handle(l) },
		"records":  func(l *Loop, list []string) { listedAddresses{list}.handle(l) },
		"entries": func(l *Loop, list []string) {
			l.heartbeats.addAddressesOf(&fleetpb.Beat{Beats: "127.0.0.1:9", Known: list})
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, logs := addressLoop(t)
			for range 10 {
				add(l, append([]string{"127.0.0.1:2"}, odd...))
			}
			for _, address := range odd {
				if l.heartbeats.known[address] != nil {
					t.Errorf("%.50q is accepted", address)
				}
			}
			if l.heartbeats.known["127.0.0.1:2"] == nil {
				t.Error("the address of an entry is refused")
			}
			if n := logs.Len(); n == 0 || n > maxRefusalLines {
				t.Errorf("%d log lines, want 1 to %d", n, maxRefusalLines)
			}
			for _, line := range logs.All() {
				if text := fmt.Sprint(line.ContextMap()); len(text) > 1000 {
					t.Errorf("a log line of %d bytes", len(text))
				}
			}
			if n := refusedRecords(t, l.metrics)["address"]; n < float64(len(odd)-1) {
				t.Errorf("%v refused addresses are counted, want at least %d", n, len(odd)-1)
			}
		})
	}
}

// Guards against addresses that only look like those of entries and fill the memory, the
// link or the place of the addresses of entries.
func TestManyUnusedHeartbeatAddressesAreBounded(t *testing.T) {
	const many = 20_000
	l, _ := addressLoop(t)
	h := l.heartbeats
	now := time.Now()
	var list []string
	for n := range many {
		list = append(list, dead(n))
	}
	seedAddresses{[]string{"127.0.0.1:2"}}.handle(l)
	h.addAddressesOf(&fleetpb.Beat{Beats: "127.0.0.1:9", Known: list})
	listedAddresses{append(list, "127.0.0.1:3")}.handle(l)
	for n := range many {
		h.addAddressesOf(&fleetpb.Beat{Beats: list[n]})
	}
	limit := 0
	for _, most := range maxAddresses {
		limit += most
	}
	if n := len(h.known); n > limit {
		t.Errorf("%d addresses are kept, want at most %d", n, limit)
	}
	for _, address := range []string{"127.0.0.1:2", "127.0.0.1:9"} {
		if h.known[address] == nil {
			t.Errorf("%s has been displaced", address)
		}
	}
	l.sendHellos(now)
	sent := 0
	for _, k := range h.known {
		if k.helloAt.Equal(now) {
			sent++
		}
	}
	if sent != maxHellos {
		t.Errorf("%d hellos at once, want %d", sent, maxHellos)
	}
	for _, address := range h.addressesForOthers() {
		if h.known[address].source == fromOthers {
			t.Fatal("an address that only others have named is told to others")
		}
	}
}

// Guards against addresses that are kept for good although nobody names them any more,
// and against the loss of those that the settings or the list of entries name.
func TestUnusedHeartbeatAddressesAreForgotten(t *testing.T) {
	l, _ := addressLoop(t)
	h := l.heartbeats
	seedAddresses{[]string{"127.0.0.1:2"}}.handle(l)
	listedAddresses{[]string{"127.0.0.1:3", "127.0.0.1:4"}}.handle(l)
	h.addAddressesOf(&fleetpb.Beat{Beats: "127.0.0.1:5", Known: []string{"127.0.0.1:6", "127.0.0.1:4"}})
	listedAddresses{[]string{"127.0.0.1:3"}}.handle(l)
	for _, c := range []struct {
		after time.Duration
		want  string
	}{
		{addressRetention / 2, "2 3 4 5 6"},
		{addressRetention + time.Second, "2 3"},
	} {
		l.sendHellos(time.Now().Add(c.after))
		var kept []string
		for port := 2; port <= 6; port++ {
			if h.known[fmt.Sprintf("127.0.0.1:%d", port)] != nil {
				kept = append(kept, fmt.Sprint(port))
			}
		}
		if got := strings.Join(kept, " "); got != c.want {
			t.Errorf("after %v: addresses %s are kept, want %s", c.after, got, c.want)
		}
	}
}

// Guards against a heartbeat with an address that would have to be looked up, in the place
// where its sender receives heartbeats or calls.
func TestHeartbeatsWithOddAddressesAreSkipped(t *testing.T) {
	l, _ := addressLoop(t)
	for _, address := range []string{"localhost:1", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999", "[::1]:1", "x"} {
		for _, spoil := range []func(*fleetpb.Beat){
			func(b *fleetpb.Beat) { b.Beats = address },
			func(b *fleetpb.Beat) { b.Address = address },
		} {
			b := validHeartbeat()
			spoil(b)
			data, err := proto.Marshal(b)
			if err != nil {
				t.Fatal(err)
			}
			l.receiveDatagram(data)
			if len(l.messages) != 0 {
				t.Errorf("a heartbeat with the addresses %s and %s is accepted", b.Beats, b.Address)
				<-l.messages
			}
		}
	}
}

// Guards against a socket that sends to a known address no more.
func TestHeartbeatsAreSentToKnownAddresses(t *testing.T) {
	l, _ := addressLoop(t)
	receiver, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	listedAddresses{[]string{receiver.LocalAddr().String()}}.handle(l)
	l.sendHellos(time.Now())
	if err := receiver.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if n, err := receiver.Read(make([]byte, maxDatagram)); err != nil || n == 0 {
		t.Errorf("%d bytes, %v, want a hello", n, err)
	}
}
